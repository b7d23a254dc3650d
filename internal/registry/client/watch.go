package client

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// Follow watches the list until ctx ends, and retries after failures of the service. The call that follows a
// failed call has no hold, so that a second failure is noticed soon.
func (k *Client) Follow(ctx context.Context) {
	wait, hold := watchBackoff(), k.config.Hold
	for ctx.Err() == nil {
		effect, err := k.watch(ctx, hold)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && (effect == Changed || effect == TooNarrow || effect == Unchanged && k.watching()):
			wait, hold = watchBackoff(), k.config.Hold
			continue
		case err != nil:
			k.log.Warn("watching the endpoint list failed, keeping the known list", "address", k.address(), "err", err)
		case effect == Deferred:
			k.log.Error("deferring a suspect list of another epoch", "for", k.config.DeferralDelay)
		case effect == Stale:
			k.log.Warn("replica is behind this client", "address", k.address())
		}
		if hold = minHold; effect != Deferred {
			k.nextAddress()
		}
		if !backoff.Sleep(ctx, wait.Next(rand.Int64N)) {
			return
		}
	}
}

// watchBackoff returns the backoff between watches after failures.
func watchBackoff() backoff.FullJitter {
	return backoff.FullJitter{First: initialBackoff, Max: maxBackoff}
}

// watching reports whether the next call waits for a change. A call for the complete list does not wait.
func (k *Client) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	from, _ := k.list.Next()
	return from > 0
}

func (k *Client) address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.config.Addresses[k.current]
}

// nextAddress makes later calls go to the next replica in the list of addresses.
func (k *Client) nextAddress() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = (k.current + 1) % len(k.config.Addresses)
}

// watch makes one call and applies the response.
func (k *Client) watch(ctx context.Context, hold time.Duration) (Effect, error) {
	q := k.nextRead(hold)
	response, err := k.read(ctx, q)
	if err != nil {
		if k.deferMove(q, err) {
			return Unchanged, nil
		}
		return Unchanged, err
	}
	for _, err := range response.Skipped {
		k.log.Warn("endpoint entry skipped", "err", err)
	}
	if k.widensSubset(q, response) {
		return TooNarrow, nil
	}
	return k.apply(q.from, response), nil
}

// read makes one call and validates the response.
func (k *Client) read(ctx context.Context, request listRead) (response registry.ListResponse, err error) {
	q := url.Values{"hold_ms": {strconv.FormatInt(request.hold.Milliseconds(), 10)}}
	if k.config.ChooseSubset != nil {
		q.Set("part", request.subset.String())
	}
	timeout := request.hold + responseGrace
	if request.from > 0 {
		q.Set("from", strconv.FormatUint(request.from, 10))
		q.Set("epoch", request.epoch)
	} else {
		timeout = min(k.config.Hold+responseGrace, completeReadTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := k.call(ctx, http.MethodGet, k.address(), "/registry/instances?"+q.Encode(), nil)
	if err != nil {
		return response, err
	}
	if status != http.StatusOK {
		return response, responseError(status, body)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, fmt.Errorf("parse list response: %w", err)
	}
	if k.config.ChooseSubset != nil {
		if err := request.matchSubset(&response); err != nil {
			return response, err
		}
	}
	return response, isCompleteRead(response, request.from == 0)
}

// apply applies a response to the list, notifies OnChange and the watchers of Changed, and caches the list.
func (k *Client) apply(from uint64, response registry.ListResponse) Effect {
	k.mu.Lock()
	effect := k.list.Apply(time.Since(k.start), from, response)
	if effect != Stale {
		k.lastResponseAt = time.Now()
	}
	if effect == Changed || effect == Unchanged {
		k.chooseSubset(response)
	}
	// a response without endpoints changes only the version
	endpointsChanged := effect == Changed && (response.Snapshot || len(response.Endpoints) > 0)
	response.Total = k.list.total
	var list List
	if effect == Changed {
		if endpointsChanged && k.config.CacheFile != "" {
			list = k.list.List()
		}
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.mu.Unlock()
	if effect == Changed && k.config.OnChange != nil {
		k.config.OnChange(response)
	}
	if endpointsChanged && k.config.CacheFile != "" {
		if err := writeCache(k.config.CacheFile, list); err != nil {
			k.log.Warn("caching the endpoint list failed", "err", err)
		}
	}
	return effect
}
