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

// OpenSession opens a session under a new id, or changes the word of one that is open.
func (k *Client) OpenSession(ctx context.Context, s registry.Session) error {
	var r registry.Result
	return k.send(ctx, http.MethodPut, sessionPath(s.ID), registry.SessionCall{Process: s.Process, TTLms: s.TTL.Milliseconds(), Word: s.Word}, &r)
}

// CloseSession ends a session; what it holds goes to the next.
func (k *Client) CloseSession(ctx context.Context, id string) error {
	var r registry.Result
	return k.send(ctx, http.MethodDelete, sessionPath(id), nil, &r)
}

// RenewSession makes one try to renew a session, at one replica. known is false
// for a session that has ended. The caller knows when it made the call.
func (k *Client) RenewSession(ctx context.Context, id string) (known bool, err error) {
	raw := []byte(`{"sessions":[` + strconv.Quote(id) + `]}`)
	var r registry.SessionRenewal
	if err := k.once(ctx, http.MethodPost, "/registry/sessions/renew", raw, &r); err != nil {
		k.turn()
		return true, err
	}
	return len(r.Unknown) == 0, nil
}

// Campaign has a session wait for duties.
func (k *Client) Campaign(ctx context.Context, id string, wishes []registry.Wish) (registry.Result, error) {
	var r registry.Result
	err := k.send(ctx, http.MethodPost, sessionPath(id)+"/campaign", registry.Wishes{Duties: wishes}, &r)
	return r, err
}

// GiveUp has a session leave duties and their queues.
func (k *Client) GiveUp(ctx context.Context, id string, wishes []registry.Wish) (registry.Result, error) {
	var r registry.Result
	err := k.send(ctx, http.MethodPost, sessionPath(id)+"/give-up", registry.Wishes{Duties: wishes}, &r)
	return r, err
}

// SessionDuties makes one try to read the duties of a session once they are newer than a version. A try that comes
// after one that failed is not held, so that its own silence shows soon.
func (k *Client) SessionDuties(ctx context.Context, id string, from uint64, hold time.Duration) (registry.DutyAnswer, error) {
	if k.dutiesFailed.Load() {
		hold = min(hold, holdLeast)
	}
	q := url.Values{"session": {id}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	if from > 0 {
		q.Set("from", strconv.FormatUint(from, 10))
	}
	try, cancel := context.WithTimeout(ctx, hold+grace)
	defer cancel()
	var a registry.DutyAnswer
	err := k.once(try, http.MethodGet, "/registry/duties?"+q.Encode(), nil, &a)
	if err != nil {
		k.turn()
	}
	k.dutiesFailed.Store(err != nil && ctx.Err() == nil)
	return a, err
}

// Duties reads all duties and sessions as they are now.
func (k *Client) Duties(ctx context.Context) (registry.DutyAnswer, error) {
	var a registry.DutyAnswer
	err := k.send(ctx, http.MethodGet, "/registry/duties?current=1", nil, &a)
	return a, err
}

// Yield asks the holder of a duty to hand on, to a certain process if one is named.
func (k *Client) Yield(ctx context.Context, duty, to string) error {
	var r registry.Result
	return k.send(ctx, http.MethodPost, "/registry/duties/"+url.PathEscape(duty)+"/yield", registry.DutyOrder{Process: to}, &r)
}

// Block keeps a process from a duty, or lets it again.
func (k *Client) Block(ctx context.Context, duty, process string, on bool) error {
	var r registry.Result
	return k.send(ctx, http.MethodPost, "/registry/duties/"+url.PathEscape(duty)+"/block", registry.DutyOrder{Process: process, On: on}, &r)
}

// Holder writes to the list as the holder of a duty: each write is turned down
// (Refused, 409) unless the fence is still that of the holder.
type Holder struct {
	k *Client
	f registry.Fence
}

// As gives the writer of a holder.
func (k *Client) As(f registry.Fence) Holder { return Holder{k, f} }

// Register is Client.Register under the fence.
func (h Holder) Register(ctx context.Context, e registry.Entry, ttl time.Duration, cond *uint64) (registry.Result, error) {
	return h.k.write(ctx, http.MethodPut, entryPath(e.Name), registry.Write{Entry: &e, TTLms: ttl.Milliseconds(), If: cond, Fence: &h.f})
}

// Drain is Client.Drain under the fence.
func (h Holder) Drain(ctx context.Context, name string, cond *uint64) (registry.Result, error) {
	return h.k.write(ctx, http.MethodPost, entryPath(name)+"/drain", registry.Write{If: cond, Fence: &h.f})
}

// Remove is Client.Remove under the fence.
func (h Holder) Remove(ctx context.Context, name string, cond *uint64) (registry.Result, error) {
	return h.k.write(ctx, http.MethodDelete, entryPath(name), registry.Write{If: cond, Fence: &h.f})
}
