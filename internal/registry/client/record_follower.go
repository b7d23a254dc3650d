package client

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// Records holds all records under a prefix as of one version of the list.
type Records struct {
	Epoch   string
	Version uint64
	All     []registry.Record // with their values, sorted by key
}

// recordFollower is the state of a reader that follows records. It does no I/O and reads no clock.
type recordFollower struct {
	epoch   string
	version uint64
	records map[string]registry.Record
	// otherEpochSince is the time of the first in an unbroken series of responses of another epoch whose
	// version is not above the known version; zero: the last response was not of this kind.
	otherEpochSince time.Time
}

// apply applies a response or rejects it as stale. A response of the known epoch is stale if it is older than
// the known version. A response of another epoch is stale if its version is not above the known version;
// it is accepted once such responses have come for deferralDelay, as the service must have lost its state.
func (f *recordFollower) apply(
	now time.Time,
	deferralDelay time.Duration,
	response registry.RecordsResponse,
) (Effect, error) {
	known := f.records
	switch {
	case response.Epoch == f.epoch && response.Index < f.version:
		return Stale, nil
	case response.Epoch != f.epoch && response.Index <= f.version:
		if f.otherEpochSince.IsZero() {
			f.otherEpochSince = now
		}
		if now.Sub(f.otherEpochSince) < deferralDelay {
			return Stale, nil
		}
	}
	if response.Epoch != f.epoch {
		known = nil
	}
	next, changed := make(
		map[string]registry.Record,
		len(response.Records),
	), f.epoch != response.Epoch ||
		len(response.Records) != len(known)
	for _, r := range response.Records {
		if r.Value == nil {
			current, ok := known[r.Key]
			if !ok || current.Version != r.Version {
				return NeedsComplete, fmt.Errorf("response lacks the value of record %q, version %d", r.Key, r.Version)
			}
			r = current
		} else if known[r.Key].Version != r.Version {
			changed = true
		}
		next[r.Key] = r
	}
	f.epoch, f.version, f.records, f.otherEpochSince = response.Epoch, response.Index, next, time.Time{}
	if !changed {
		return Unchanged, nil
	}
	return Changed, nil
}

// snapshot returns the known records.
func (f *recordFollower) snapshot() Records {
	return Records{
		f.epoch,
		f.version,
		slices.SortedFunc(
			maps.Values(f.records),
			func(a, b registry.Record) int { return cmp.Compare(a.Key, b.Key) },
		),
	}
}

// FollowRecords watches the records under a prefix until ctx ends, and retries after failures of the service.
// It calls onRecords from this goroutine with all records: once at first, and after each change. It never
// passes an older state after a newer state, but any state may be out of date: a caller that needs to know
// how old the records are has to rely on its session. The call that follows a failed call has no hold, so
// that a second failure is noticed soon.
func (k *Client) FollowRecords(ctx context.Context, prefix string, onRecords func(Records)) {
	f, wait, hold := &recordFollower{}, watchBackoff(), k.config.Hold
	for ctx.Err() == nil {
		effect, err := k.watchRecords(ctx, f, prefix, hold)
		if ctx.Err() != nil {
			return
		}
		if err == nil && effect != Stale {
			if effect == Changed {
				onRecords(f.snapshot())
			}
			wait, hold = watchBackoff(), k.config.Hold
			continue
		}
		if hold = minHold; effect == NeedsComplete {
			*f = recordFollower{epoch: f.epoch, otherEpochSince: f.otherEpochSince} // version 0: read all records
		}
		k.log.Warn(
			"watching records failed, keeping the known records",
			"prefix",
			prefix,
			"address",
			k.address(),
			"err",
			err,
		)
		k.nextAddress()
		if !backoff.Sleep(ctx, wait.Next(rand.Int64N)) {
			return
		}
	}
}

// watchRecords makes one call and applies the response to f.
func (k *Client) watchRecords(
	ctx context.Context,
	f *recordFollower,
	prefix string,
	hold time.Duration,
) (Effect, error) {
	q := url.Values{"prefix": {prefix}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	if f.epoch != "" {
		q.Set("epoch", f.epoch)
		q.Set("from", strconv.FormatUint(f.version, 10))
		q.Set("had", strconv.Itoa(len(f.records)))
	}
	ctx, cancel := context.WithTimeout(ctx, hold+responseGrace)
	defer cancel()
	status, body, err := k.call(ctx, http.MethodGet, k.address(), "/registry/watch/records?"+q.Encode(), nil)
	if err != nil {
		return Unchanged, err
	}
	if status != http.StatusOK {
		return Unchanged, responseError(status, body)
	}
	var a registry.RecordsResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return Unchanged, fmt.Errorf("parse records response: %w", err)
	}
	return f.apply(time.Now(), k.config.DeferralDelay, a)
}
