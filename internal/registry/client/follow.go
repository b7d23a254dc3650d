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

// Records are all records under a prefix, as of one version of the service.
type Records struct {
	Epoch   string
	Version uint64
	All     []registry.Record // by key, with their values
}

// recordFollower is what a reader of records knows. It is pure.
type recordFollower struct {
	epoch           string
	version         uint64
	records         map[string]registry.Record
	otherEpochSince time.Time // since when only another epoch of no higher version answers; zero: it does not
}

// apply judges an answer. A replica that lags, or one of an epoch whose versions do not go past what is
// known, is stale; the latter until it has held for so long that the service must have lost its state.
func (f *recordFollower) apply(
	now time.Time,
	holdBack time.Duration,
	a registry.RecordsResponse,
) (Change, error) {
	known := f.records
	switch {
	case a.Epoch == f.epoch && a.Index < f.version:
		return Stale, nil
	case a.Epoch != f.epoch && a.Index <= f.version:
		if f.otherEpochSince.IsZero() {
			f.otherEpochSince = now
		}
		if now.Sub(f.otherEpochSince) < holdBack {
			return Stale, nil
		}
	}
	if a.Epoch != f.epoch {
		known = nil
	}
	next, changed := make(
		map[string]registry.Record,
		len(a.Records),
	), f.epoch != a.Epoch ||
		len(a.Records) != len(known)
	for _, r := range a.Records {
		if r.Value == nil {
			has, ok := known[r.Key]
			if !ok || has.Version != r.Version {
				return NeedsComplete, fmt.Errorf("record %s of version %d came without its value", r.Key, r.Version)
			}
			r = has
		} else if known[r.Key].Version != r.Version {
			changed = true
		}
		next[r.Key] = r
	}
	f.epoch, f.version, f.records, f.otherEpochSince = a.Epoch, a.Index, next, time.Time{}
	if !changed {
		return Unchanged, nil
	}
	return Changed, nil
}

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

// FollowRecords watches the records under a prefix until ctx ends, over whatever failures of the service.
// taken gets them whole: at first, and after each change, in order, from this goroutine. What it gets is a
// state that was, never an older one after a newer; how old it is, the session of whoever relies on it has to
// say. A call that comes after a failure is not held, so that its own silence shows soon.
func (k *Client) FollowRecords(ctx context.Context, prefix string, taken func(Records)) {
	f, wait, hold := &recordFollower{}, watchBackoff(), k.config.Hold
	for ctx.Err() == nil {
		verdict, err := k.watchRecords(ctx, f, prefix, hold)
		if ctx.Err() != nil {
			return
		}
		if err == nil && verdict != Stale {
			if verdict == Changed {
				taken(f.snapshot())
			}
			wait, hold = watchBackoff(), k.config.Hold
			continue
		}
		if hold = minHold; verdict == NeedsComplete {
			*f = recordFollower{epoch: f.epoch, otherEpochSince: f.otherEpochSince} // read completely, as of now
		}
		k.log.Warn(
			"following records failed, keeping the known ones",
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

func (k *Client) watchRecords(
	ctx context.Context,
	f *recordFollower,
	prefix string,
	hold time.Duration,
) (Change, error) {
	q := url.Values{"prefix": {prefix}, "hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	if f.epoch != "" {
		q.Set("epoch", f.epoch)
		q.Set("from", strconv.FormatUint(f.version, 10))
		q.Set("had", strconv.Itoa(len(f.records)))
	}
	ctx, cancel := context.WithTimeout(ctx, hold+answerGrace)
	defer cancel()
	status, body, err := k.call(ctx, http.MethodGet, k.address(), "/registry/watch/records?"+q.Encode(), nil)
	if err != nil {
		return Unchanged, err
	}
	if status != http.StatusOK {
		return Unchanged, refusal(status, body)
	}
	var a registry.RecordsResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return Unchanged, fmt.Errorf("an answer that can't be read: %w", err)
	}
	return f.apply(time.Now(), k.config.HoldBack, a)
}
