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

// Error is the answer of a service that did not do what was asked.
type Error struct {
	Status int
	registry.ErrorResponse
}

func (r *Error) Error() string { return fmt.Sprintf("the registry says %s: %s", r.Code, r.Reason) }

func refusal(status int, body []byte) error {
	r := &Error{Status: status}
	if json.Unmarshal(body, &r.ErrorResponse) != nil || r.Code == "" {
		r.Code, r.Reason = "odd", fmt.Sprintf("status %d with no reason that can be read", status)
	}
	return r
}

// ErrOutcomeUnknown marks a write that may have been done or not, or may still be.
var ErrOutcomeUnknown = errors.New("it is not known whether it was done")

const (
	attemptTimeout = 8 * time.Second // for one call; a replica answers within its own five or six
	retryPause     = 100 * time.Millisecond
)

func entryPath(name string) string { return "/registry/instances/" + url.PathEscape(name) }

// Register puts an entry into the list. ttl 0 keeps it until it is removed; with
// another, it has to be renewed. cond, if there is one, is the version that the
// entry must have, 0 for none. Every write is repeated under one id until its end
// is known or ctx ends.
func (k *Client) Register(
	ctx context.Context,
	e registry.Endpoint,
	ttl time.Duration,
	cond *uint64,
) (registry.Result, error) {
	return k.write(
		ctx,
		http.MethodPut,
		entryPath(e.Name),
		registry.WriteRequest{Endpoint: &e, TTLMS: ttl.Milliseconds(), IfVersion: cond},
	)
}

// Drain says that an entry finishes what it holds and takes nothing new.
func (k *Client) Drain(ctx context.Context, name string, cond *uint64) (registry.Result, error) {
	return k.write(ctx, http.MethodPost, entryPath(name)+"/drain", registry.WriteRequest{IfVersion: cond})
}

// Remove takes an entry off the list.
func (k *Client) Remove(ctx context.Context, name string, cond *uint64) (registry.Result, error) {
	return k.write(ctx, http.MethodDelete, entryPath(name), registry.WriteRequest{IfVersion: cond})
}

func (k *Client) write(
	ctx context.Context,
	method, path string,
	w registry.WriteRequest,
) (registry.Result, error) {
	w.ID = newID()
	var r registry.Result
	err := k.send(ctx, method, path, w, &r)
	return r, err
}

// Renew restarts the TTL of entries and names those that have to be registered anew.
func (k *Client) Renew(ctx context.Context, names []string) (unknown []string, err error) {
	var r registry.Renewal
	err = k.send(ctx, http.MethodPost, "/registry/renew", registry.Renewal{Names: names}, &r)
	return r.Unknown, err
}

// Current reads the list as it is now, not as some replica has it.
func (k *Client) Current(ctx context.Context) (registry.ListResponse, error) {
	var a registry.ListResponse
	err := k.send(ctx, http.MethodGet, "/registry/instances?current=1", nil, &a)
	return a, err
}

// Registrations reads the list as it is now, with the entries' versions and times to live.
func (k *Client) Registrations(ctx context.Context) (registry.Registrations, error) {
	var a registry.Registrations
	err := k.send(ctx, http.MethodGet, "/registry/items", nil, &a)
	return a, err
}

// Replicas lists the replicas.
func (k *Client) Replicas(ctx context.Context) ([]registry.Replica, error) {
	var all []registry.Replica
	err := k.send(ctx, http.MethodGet, "/registry/members", nil, &all)
	return all, err
}

// AddReplica adds a replica that was started on an empty folder, and waits until it
// has its vote. Without an address it is where the others' configurations have it.
func (k *Client) AddReplica(
	ctx context.Context,
	name string,
	at registry.Address,
) (m registry.Replica, err error) {
	for {
		if err = k.send(
			ctx,
			http.MethodPut,
			"/registry/members/"+url.PathEscape(name),
			at,
			&m,
		); err != nil ||
			m.Voter {
			return m, err
		}
		if !backoff.Sleep(ctx, retryPause) {
			return m, fmt.Errorf(
				"%w: it learns, and is not up to date yet; the same call goes on from here",
				ctx.Err(),
			)
		}
	}
}

// RemoveReplica takes a replica out of the cluster. Its process is to be ended afterwards.
func (k *Client) RemoveReplica(ctx context.Context, name string) error {
	var r registry.Result
	return k.send(ctx, http.MethodDelete, "/registry/members/"+url.PathEscape(name), nil, &r)
}

// Backup returns a copy of the registry's state as it is now, with a checksum.
func (k *Client) Backup(ctx context.Context) ([]byte, error) {
	var raw []byte
	err := k.send(ctx, http.MethodGet, "/registry/backup", nil, &raw)
	return raw, err
}

// Restore puts a copy in place of the list that has that epoch.
func (k *Client) Restore(ctx context.Context, copy []byte, over string) (registry.Result, error) {
	var r registry.Result
	err := k.send(
		ctx,
		http.MethodPost,
		"/registry/restore?"+url.Values{"epoch": {over}, "id": {newID()}}.Encode(),
		copy,
		&r,
	)
	return r, err
}

// newID draws the id of a write.
func newID() string {
	id := make([]byte, 16)
	rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

// send makes a call that can be repeated, at one replica after the other, until
// one gives an answer that is final. Bytes go out and come in as they are, all else as JSON.
func (k *Client) send(ctx context.Context, method, path string, body, into any) error {
	raw, asIs := body.([]byte)
	if body != nil && !asIs {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	for {
		err := k.once(ctx, method, path, raw, into)
		if err == nil || final(err) {
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

func (k *Client) once(ctx context.Context, method, path string, raw []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, body, err := k.call(ctx, method, k.address(), path, raw)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return refusal(status, body)
	}
	if bytes, ok := into.(*[]byte); ok {
		*bytes = body
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("an answer that can't be read: %w", err)
	}
	return nil
}

// final reports whether a refusal would only come again: what is wrong is the call, or the list as it is.
func final(err error) bool {
	var r *Error
	if !errors.As(err, &r) || r.Status == http.StatusTooManyRequests {
		return false
	}
	return r.Status < 500 || r.Status == http.StatusInsufficientStorage
}
