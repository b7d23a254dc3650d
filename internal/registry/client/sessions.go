package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wrenspread/internal/registry"
)

func sessionPath(id string) string { return "/registry/sessions/" + url.PathEscape(id) }

// OpenSession opens a session under its id or, if it is open, changes its process info.
func (k *Client) OpenSession(ctx context.Context, s registry.Session) error {
	var r registry.Result
	return k.send(
		ctx,
		http.MethodPut,
		sessionPath(s.ID),
		registry.OpenSessionRequest{Process: s.Process, TTLMS: s.TTL.Milliseconds(), Info: s.Info},
		&r,
	)
}

// CloseSession ends a session. Its leases are granted to their next candidates.
func (k *Client) CloseSession(ctx context.Context, id string) error {
	var r registry.Result
	return k.send(ctx, http.MethodDelete, sessionPath(id), nil, &r)
}

// RenewSession makes one attempt to renew a session, at one replica. known is false if the session has ended.
// It does not retry, so that the caller knows when the renewal was sent.
func (k *Client) RenewSession(ctx context.Context, id string) (known bool, err error) {
	raw := []byte(`{"sessions":[` + strconv.Quote(id) + `]}`)
	var r registry.SessionRenewal
	if err := k.sendOnce(ctx, http.MethodPost, "/registry/sessions/renew", raw, &r); err != nil {
		k.nextAddress()
		return true, err
	}
	return len(r.Unknown) == 0, nil
}

// Campaign adds a session to the queues of leases.
func (k *Client) Campaign(
	ctx context.Context,
	id string,
	candidacies []registry.Candidacy,
) (registry.Result, error) {
	var r registry.Result
	err := k.send(
		ctx,
		http.MethodPost,
		sessionPath(id)+"/campaign",
		registry.CandidacyRequest{Candidacies: candidacies},
		&r,
	)
	return r, err
}

// ReleaseLeases removes a session from leases that it holds or waits for.
func (k *Client) ReleaseLeases(
	ctx context.Context,
	id string,
	candidacies []registry.Candidacy,
) (registry.Result, error) {
	var r registry.Result
	err := k.send(
		ctx,
		http.MethodPost,
		sessionPath(id)+"/give-up",
		registry.CandidacyRequest{Candidacies: candidacies},
		&r,
	)
	return r, err
}

// SessionLeases makes one attempt to read the leases of a session. The replica answers once a lease has
// changed since version from, or after hold. The attempt that follows a failed attempt has no hold, so that a
// second failure is noticed soon.
func (k *Client) SessionLeases(
	ctx context.Context,
	id string,
	from uint64,
	hold time.Duration,
) (registry.LeasesResponse, error) {
	if k.leasesFailed.Load() {
		hold = min(hold, minHold)
	}
	q := url.Values{"session": {id}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	if from > 0 {
		q.Set("from", strconv.FormatUint(from, 10))
	}
	attemptCtx, cancel := context.WithTimeout(ctx, hold+responseGrace)
	defer cancel()
	var a registry.LeasesResponse
	err := k.sendOnce(attemptCtx, http.MethodGet, "/registry/duties?"+q.Encode(), nil, &a)
	if err != nil {
		k.nextAddress()
	}
	k.leasesFailed.Store(err != nil && ctx.Err() == nil)
	return a, err
}

// Leases reads all current leases and sessions.
func (k *Client) Leases(ctx context.Context) (registry.LeasesResponse, error) {
	var a registry.LeasesResponse
	err := k.send(ctx, http.MethodGet, "/registry/duties?current=1", nil, &a)
	return a, err
}

// TransferLease asks the holder of a lease to transfer it. If successor is not empty, the lease goes to the
// process of that name.
func (k *Client) TransferLease(ctx context.Context, lease, successor string) error {
	var r registry.Result
	return k.send(
		ctx,
		http.MethodPost,
		"/registry/duties/"+url.PathEscape(lease)+"/yield",
		registry.LeaseChangeRequest{Process: successor},
		&r,
	)
}

// BlockProcess forbids a process to hold a lease, or allows it again if block is false.
func (k *Client) BlockProcess(ctx context.Context, lease, process string, block bool) error {
	var r registry.Result
	return k.send(
		ctx,
		http.MethodPost,
		"/registry/duties/"+url.PathEscape(lease)+"/block",
		registry.LeaseChangeRequest{Process: process, Block: block},
		&r,
	)
}

// FencedClient writes to the registry as the lease holder. Each write is rejected (*Error with status 409)
// unless its fencing token is still the holder's token.
type FencedClient struct {
	client *Client
	token  registry.FencingToken
}

// WithToken returns a client whose writes carry the fencing token.
func (k *Client) WithToken(token registry.FencingToken) FencedClient { return FencedClient{k, token} }

// Register is Client.Register under the fencing token.
func (h FencedClient) Register(
	ctx context.Context,
	e registry.Endpoint,
	ttl time.Duration,
	ifVersion *uint64,
) (registry.Result, error) {
	return h.client.write(
		ctx,
		http.MethodPut,
		entryPath(e.Name),
		registry.WriteRequest{Endpoint: &e, TTLMS: ttl.Milliseconds(), IfVersion: ifVersion, Token: &h.token},
	)
}

// Drain is Client.Drain under the fencing token.
func (h FencedClient) Drain(ctx context.Context, name string, ifVersion *uint64) (registry.Result, error) {
	return h.client.write(
		ctx,
		http.MethodPost,
		entryPath(name)+"/drain",
		registry.WriteRequest{IfVersion: ifVersion, Token: &h.token},
	)
}

// Remove is Client.Remove under the fencing token.
func (h FencedClient) Remove(ctx context.Context, name string, ifVersion *uint64) (registry.Result, error) {
	return h.client.write(
		ctx,
		http.MethodDelete,
		entryPath(name),
		registry.WriteRequest{IfVersion: ifVersion, Token: &h.token},
	)
}
