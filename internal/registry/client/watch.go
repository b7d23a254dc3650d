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

// Follow watches the list until ctx ends, over whatever failures of the service.
// A watch that comes after a failure is not held, so that its own silence shows soon.
func (k *Client) Follow(ctx context.Context) {
	wait, hold := watchBackoff(), k.c.Hold
	for ctx.Err() == nil {
		verdict, err := k.watch(ctx, hold)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && (verdict == Taken || verdict == Narrow || verdict == Nothing && k.watching()):
			wait, hold = watchBackoff(), k.c.Hold
			continue
		case err != nil:
			k.log.Warn("the list service does not answer; the last list stands", "address", k.address(), "err", err)
		case verdict == Kept:
			k.log.Error("a list of another epoch lacks most entries and is held back", "for", k.c.HoldBack)
		case verdict == Stale:
			k.log.Warn("a replica has an older list than this client", "address", k.address())
		}
		if hold = holdLeast; verdict != Kept {
			k.turn()
		}
		if !backoff.Sleep(ctx, wait.Next(rand.Int64N)) {
			return
		}
	}
}

// watchBackoff is the backoff between watches after failures.
func watchBackoff() backoff.FullJitter { return backoff.FullJitter{First: firstWait, Max: mostWait} }

// watching tells whether the next call is held until there is news; one for the whole list is not.
func (k *Client) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	from, _ := k.belief.Ask()
	return from > 0
}

func (k *Client) address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c.Addresses[k.at]
}

// turn goes on to the next replica.
func (k *Client) turn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = (k.at + 1) % len(k.c.Addresses)
}

// watch makes one call and takes its answer.
func (k *Client) watch(ctx context.Context, hold time.Duration) (Verdict, error) {
	q := k.ask(hold)
	a, err := k.read(ctx, q)
	if err != nil {
		if k.failed(q, err) {
			return Nothing, nil
		}
		return Nothing, err
	}
	for _, err := range a.Odd {
		k.log.Warn("an entry of the list is passed over", "err", err)
	}
	if k.widens(q, a) {
		return Narrow, nil
	}
	return k.take(q.from, a), nil
}

func (k *Client) read(ctx context.Context, asked asking) (a registry.Answer, err error) {
	q := url.Values{"hold_ms": {strconv.FormatInt(asked.hold.Milliseconds(), 10)}}
	if k.c.Part != nil {
		q.Set("part", asked.part.String())
	}
	most := asked.hold + grace
	if asked.from > 0 {
		q.Set("from", strconv.FormatUint(asked.from, 10))
		q.Set("epoch", asked.epoch)
	} else {
		most = min(k.c.Hold+grace, wholeTime)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	status, body, err := k.call(ctx, http.MethodGet, k.address(), "/registry/instances?"+q.Encode(), nil)
	if err != nil {
		return a, err
	}
	if status != http.StatusOK {
		return a, refusal(status, body)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("an answer that can't be read: %w", err)
	}
	if k.c.Part != nil {
		if err := asked.fit(&a); err != nil {
			return a, err
		}
	}
	return a, wholeList(a, asked.from == 0)
}

func (k *Client) take(from uint64, a registry.Answer) Verdict {
	k.mu.Lock()
	verdict := k.belief.Take(time.Since(k.start), from, a)
	if verdict != Stale {
		k.told = time.Now()
	}
	if verdict == Taken || verdict == Nothing {
		k.settle(a)
	}
	news := verdict == Taken && (a.Snapshot || len(a.Endpoints) > 0) // else but the version
	a.Total = k.belief.total
	var v View
	if verdict == Taken {
		if news && k.c.File != "" {
			v = k.belief.View()
		}
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.mu.Unlock()
	if verdict == Taken && k.c.Taken != nil {
		k.c.Taken(a)
	}
	if news && k.c.File != "" {
		if err := save(k.c.File, v); err != nil {
			k.log.Warn("the list is not kept for the next start", "err", err)
		}
	}
	return verdict
}
