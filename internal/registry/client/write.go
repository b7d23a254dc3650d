package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// Error is the error response of the service to a call.
type Error struct {
	Status int
	registry.ErrorResponse
}

// Error returns the response's code and reason.
func (r *Error) Error() string { return fmt.Sprintf("registry error %s: %s", r.Code, r.Reason) }

// responseError parses an error response.
func responseError(status int, body []byte) error {
	r := &Error{Status: status}
	if json.Unmarshal(body, &r.ErrorResponse) != nil || r.Code == "" {
		r.Code, r.Reason = "odd", fmt.Sprintf("status %d without a readable error response", status)
	}
	return r
}

// ErrOutcomeUnknown marks a write that may or may not have been applied, or may still be applied.
var ErrOutcomeUnknown = errors.New("it is not known whether the write was applied")

const (
	attemptTimeout = 8 * time.Second // for one attempt of a call; a replica answers within 5 or 6 s
	retryPause     = 100 * time.Millisecond
)

func entryPath(name string) string { return "/registry/instances/" + url.PathEscape(name) }

// Register adds an entry to the list or changes it. With ttl 0 the entry stays until it is removed; with
// another ttl it has to be renewed. ifVersion, if not nil, is the version that the entry must have; 0 means
// that the entry must be absent. Like every write, Register is repeated under one write id until its outcome
// is known or ctx ends.
func (k *Client) Register(
	ctx context.Context,
	e registry.Endpoint,
	ttl time.Duration,
	ifVersion *uint64,
) (registry.Result, error) {
	return k.write(
		ctx,
		http.MethodPut,
		entryPath(e.Name),
		registry.WriteRequest{Endpoint: &e, TTLMS: ttl.Milliseconds(), IfVersion: ifVersion},
	)
}

// Drain marks an entry as draining: it finishes its requests and gets no new ones.
func (k *Client) Drain(ctx context.Context, name string, ifVersion *uint64) (registry.Result, error) {
	return k.write(ctx, http.MethodPost, entryPath(name)+"/drain", registry.WriteRequest{IfVersion: ifVersion})
}

// Remove removes an entry from the list.
func (k *Client) Remove(ctx context.Context, name string, ifVersion *uint64) (registry.Result, error) {
	return k.write(ctx, http.MethodDelete, entryPath(name), registry.WriteRequest{IfVersion: ifVersion})
}

// write makes a write under a new write id.
func (k *Client) write(
	ctx context.Context,
	method, path string,
	request registry.WriteRequest,
) (registry.Result, error) {
	request.ID = newID()
	var r registry.Result
	err := k.send(ctx, method, path, request, &r)
	return r, err
}

// Renew restarts the TTL of entries and returns the names of the entries that have to be registered again.
func (k *Client) Renew(ctx context.Context, names []string) (unknown []string, err error) {
	var r registry.Renewal
	err = k.send(ctx, http.MethodPost, "/registry/renew", registry.Renewal{Names: names}, &r)
	return r.Unknown, err
}

// CurrentList reads the current list from the leader; other replicas may lag behind.
func (k *Client) CurrentList(ctx context.Context) (registry.ListResponse, error) {
	var a registry.ListResponse
	err := k.send(ctx, http.MethodGet, "/registry/instances?current=1", nil, &a)
	return a, err
}

// Registrations reads the current list with the entries' versions and times to live.
func (k *Client) Registrations(ctx context.Context) (registry.Registrations, error) {
	var a registry.Registrations
	err := k.send(ctx, http.MethodGet, "/registry/items", nil, &a)
	return a, err
}

// Replicas lists the replicas.
func (k *Client) Replicas(ctx context.Context) ([]registry.Replica, error) {
	var replicas []registry.Replica
	err := k.send(ctx, http.MethodGet, "/registry/members", nil, &replicas)
	return replicas, err
}

// AddReplica adds a replica that was started on an empty folder, and waits until it votes. If the address is
// empty, it is taken from the other replicas' configurations.
func (k *Client) AddReplica(
	ctx context.Context,
	name string,
	address registry.Address,
) (m registry.Replica, err error) {
	for {
		if err = k.send(
			ctx,
			http.MethodPut,
			"/registry/members/"+url.PathEscape(name),
			address,
			&m,
		); err != nil ||
			m.Voter {
			return m, err
		}
		if !backoff.Sleep(ctx, retryPause) {
			return m, fmt.Errorf(
				"%w: the replica does not vote yet, as it is not up to date; repeat the call to continue",
				ctx.Err(),
			)
		}
	}
}

// RemoveReplica removes a replica from the cluster. Its process has to be stopped afterwards.
func (k *Client) RemoveReplica(ctx context.Context, name string) error {
	var r registry.Result
	return k.send(ctx, http.MethodDelete, "/registry/members/"+url.PathEscape(name), nil, &r)
}

// Backup returns a copy of the registry's current state with a checksum.
func (k *Client) Backup(ctx context.Context) ([]byte, error) {
	var raw []byte
	err := k.send(ctx, http.MethodGet, "/registry/backup", nil, &raw)
	return raw, err
}

// Restore replaces the state of the registry by a backup. replacedEpoch must be the epoch of the present
// list.
func (k *Client) Restore(ctx context.Context, backup []byte, replacedEpoch string) (registry.Result, error) {
	var r registry.Result
	err := k.send(
		ctx,
		http.MethodPost,
		"/registry/restore?"+url.Values{"epoch": {replacedEpoch}, "id": {newID()}}.Encode(),
		backup,
		&r,
	)
	return r, err
}

// newID draws a random write id.
func newID() string {
	id := make([]byte, 16)
	rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

// send makes a call that can be repeated: at one replica after the other, until the result is final or ctx
// ends. A body of type []byte and a response of type *[]byte are passed unchanged, others as JSON.
func (k *Client) send(ctx context.Context, method, path string, body, response any) error {
	raw, isBytes := body.([]byte)
	if body != nil && !isBytes {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	for {
		err := k.sendOnce(ctx, method, path, raw, response)
		if err == nil || isFinal(err) {
			return err
		}
		k.nextAddress()
		if !backoff.Sleep(ctx, retryPause) {
			if method == http.MethodGet {
				return fmt.Errorf("%w: %w", ctx.Err(), err)
			}
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// sendOnce makes one attempt of a call at the current replica.
func (k *Client) sendOnce(ctx context.Context, method, path string, raw []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, body, err := k.call(ctx, method, k.address(), path, raw)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return responseError(status, body)
	}
	if bytes, ok := response.(*[]byte); ok {
		*bytes = body
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("parse registry response: %w", err)
	}
	return nil
}

// isFinal reports whether a repeat of a failed call would fail in the same way, because the failure is due to
// the call itself or the state of the list.
func isFinal(err error) bool {
	var r *Error
	if !errors.As(err, &r) || r.Status == http.StatusTooManyRequests {
		return false
	}
	return r.Status < 500 || r.Status == http.StatusInsufficientStorage
}
