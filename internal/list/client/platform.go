package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"indigotack/internal/list"
	"indigotack/internal/pause"
)

const (
	holdPushed  = 5 * time.Second  // a watch on the agent costs nothing; a short one finds a dead link soon
	holdAsked   = 20 * time.Second // a call to the shared service costs it work
	callGrace   = 2 * time.Second  // an answer may come so long after the hold is over
	backoffLow  = 50 * time.Millisecond
	backoffHigh = time.Second
	maxPlatform = 4 << 20 // bytes of a list; a thousand servers take a twentieth
)

// Platform follows the list at one address, in the way of the platform's agents
// and its shared service: no epochs, no other replica to ask. Its methods are not
// safe for concurrent use.
type Platform struct {
	url    string
	client *http.Client
	hold   time.Duration
	log    *slog.Logger
	index  uint64
	listed func(list.Answer)
	failed func()

	stop context.CancelFunc // of the task under way, which owns url and index
	done chan struct{}      // closed when it has ended
}

func platformURL(address string) string { return "http://" + address + "/registry/instances" }

// NewPlatform makes a follower that knows the list of version index. Where lists
// come only when they are asked for, asked is true. Both functions are called
// from one task at a time.
func NewPlatform(address string, asked bool, index uint64, log *slog.Logger, listed func(list.Answer), failed func()) *Platform {
	hold := holdPushed
	if asked {
		hold = holdAsked
	}
	return &Platform{url: platformURL(address), hold: hold, log: log, index: index, listed: listed, failed: failed,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1,
			DialContext: (&net.Dialer{Timeout: callGrace}).DialContext}}}
}

// call asks once and passes the answer on. The time-out guards against a
// discovery that takes a call and says nothing.
func (d *Platform) call(ctx context.Context, query string, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+callGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlatform+1))
	if err != nil {
		return err
	}
	if len(body) > maxPlatform {
		return errors.New("discovery's list is too long")
	}
	var l list.Answer
	if err := json.Unmarshal(body, &l); err != nil {
		return fmt.Errorf("discovery's list: %w", err)
	}
	d.index = l.Index
	for _, err := range l.Odd {
		d.log.Warn("list entry skipped", "err", err)
	}
	d.listed(l)
	return nil
}

// fetch asks for the whole list.
func (d *Platform) fetch(ctx context.Context) error { return d.call(ctx, "", 0) }

// watch follows the list until a call fails. The calls come back to back, so
// that discovery counts them as one watch.
func (d *Platform) watch(ctx context.Context) error {
	for {
		began, before := time.Now(), d.index
		if err := d.call(ctx, fmt.Sprintf("?from=%d&hold_ms=%d", d.index, d.hold.Milliseconds()), d.hold); err != nil {
			return err
		}
		if d.index == before && time.Since(began) < d.hold/100 {
			// An agent that does not hold calls must not be called in a loop.
			if !pause.For(ctx, 100*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
}

// follow watches for ever, as lists that are pushed need no leave of the
// module. Where the version last seen means nothing, it begins with the whole
// list. It comes back from a failure after a jittered wait that doubles up
// to a cap: nodes that lost discovery together must not return together.
func (d *Platform) follow(ctx context.Context, whole bool) {
	wait := backoffLow
	for ctx.Err() == nil {
		began, before := time.Now(), d.index
		var err error
		if whole {
			err = d.fetch(ctx)
		}
		if err == nil {
			whole = false
			err = d.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if d.index != before || time.Since(began) > d.hold+callGrace {
			wait = backoffLow
		}
		if wait == backoffLow { // a long outage is one line, not one for each try
			d.log.Warn("discovery failed, watching again", "err", err)
		}
		if !pause.For(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(2*wait, backoffHigh)
	}
}

// Follow starts to watch for ever, with the whole list first if that is said. It
// ends with ctx.
func (d *Platform) Follow(ctx context.Context, whole bool) {
	d.begin(ctx, func(ctx context.Context) { d.follow(ctx, whole) })
}

// begin starts a task and ends an earlier one first, as lists reach the module
// in order only from one at a time. It does not block, and is not safe for
// concurrent use.
func (d *Platform) begin(ctx context.Context, task func(context.Context)) {
	ctx, stop := context.WithCancel(ctx)
	earlier, done := d.done, make(chan struct{})
	if d.stop != nil {
		d.stop()
	}
	d.stop, d.done = stop, done
	go func() {
		defer close(done)
		defer stop()
		if earlier != nil {
			<-earlier
		}
		task(ctx)
	}()
}

// Ask does what the node's module asked for where lists are not pushed: a fetch, then
// a watch until it fails.
func (d *Platform) Ask(ctx context.Context, fetch, watch bool) {
	d.begin(ctx, func(ctx context.Context) {
		var err error
		if fetch {
			err = d.fetch(ctx)
		}
		if watch && err == nil {
			err = d.watch(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("discovery failed", "err", err)
			d.failed()
		}
	})
}

// Move goes on at another address. Versions seen at the old one mean nothing
// there. Where lists are not pushed, the module is told that its watch broke.
func (d *Platform) Move(ctx context.Context, address string, pushed bool) {
	d.begin(ctx, func(ctx context.Context) {
		d.client.CloseIdleConnections()
		d.url, d.index = platformURL(address), 0
		if pushed {
			d.follow(ctx, true)
		} else {
			d.failed()
		}
	})
}
