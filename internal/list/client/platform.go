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
	backoffLow  = 50 * time.Millisecond
	backoffHigh = 250 * time.Millisecond // what the agent holds counts as told, outage or not
	notHeld     = 100 * time.Millisecond // before a call that follows an answer that was not held; 200 ms would end the watch
	maxPlatform = 4 << 20                // bytes of a list; a thousand servers take a twentieth

	// An answer may come so long after the hold is over. What a silent call misses
	// counts as told 2 s after that: the rest is for the call that is made anew.
	gracePushed = time.Second             // the agent is on this machine; three calls fit into the 4 s after a move
	graceAsked  = 1500 * time.Millisecond // the shared service takes calls in turn

	spreadSilent = 250 * time.Millisecond // over which nodes ask again whose calls to the shared service fell silent together
	spreadMove   = 600 * time.Millisecond // and whose discovery moved: two calls fit into what is left of the 4 s
)

// Platform follows the list at one address, in the way of the platform's agents
// and its shared service: no epochs, no other replica to ask. Its methods are not
// safe for concurrent use.
type Platform struct {
	url    string
	client *http.Client
	hold   time.Duration
	grace  time.Duration
	sleep  func(context.Context, time.Duration) bool
	log    *slog.Logger
	index  uint64
	told   int // answers so far
	listed func(list.Answer)
	failed func()

	stop context.CancelFunc // of the task under way, which owns url, index and told
	done chan struct{}      // closed when it has ended
}

func platformURL(address string) string { return "http://" + address + "/registry/instances" }

// NewPlatform makes a follower that knows the list of version index. Where lists
// come only when they are asked for, asked is true. Both functions are called
// from one task at a time.
func NewPlatform(address string, asked bool, index uint64, log *slog.Logger, listed func(list.Answer), failed func()) *Platform {
	hold, grace := holdPushed, gracePushed
	if asked {
		hold, grace = holdAsked, graceAsked
	}
	return &Platform{url: platformURL(address), hold: hold, grace: grace, sleep: pause.For, log: log, index: index, listed: listed, failed: failed,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1,
			DialContext: (&net.Dialer{Timeout: grace}).DialContext}}}
}

// call asks once and passes the answer on. A call that has no whole answer by
// the end of its time has fallen silent: it may have been cut off at its first
// byte or amid the answer.
func (d *Platform) call(ctx context.Context, query string, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+d.grace)
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
	d.told++
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
			if !d.sleep(ctx, notHeld) {
				return ctx.Err()
			}
		}
	}
}

// run watches until a call fails, where that is said with the whole list first.
// It tells whether the whole list is still to come.
func (d *Platform) run(ctx context.Context, whole bool) (bool, error) {
	if whole {
		if err := d.fetch(ctx); err != nil {
			return true, err
		}
	}
	return false, d.watch(ctx)
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
		whole, err = d.run(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		if d.index != before || time.Since(began) > d.hold+d.grace {
			wait = backoffLow
		}
		if wait == backoffLow { // a long outage is one line, not one for each try
			d.log.Warn("discovery failed, watching again", "err", err)
		}
		if !d.sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(2*wait, backoffHigh)
	}
}

// Follow starts to watch for ever. It begins with the whole list, as what the
// agent holds counts from the first moment, whatever this process knows. It ends
// with ctx.
func (d *Platform) Follow(ctx context.Context) {
	d.begin(ctx, func(ctx context.Context) { d.follow(ctx, true) })
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
		if watch {
			err = d.ask(ctx, fetch)
		} else if fetch {
			err = d.fetch(ctx)
		}
		d.end(ctx, err)
	})
}

// ask watches until a call fails. One that fell silent is made anew at once, as
// the module would wait longer than the list's clock allows. Two silent calls in
// a row are a discovery that is down, to which the module spreads its calls.
func (d *Platform) ask(ctx context.Context, whole bool) (err error) {
	for silent := 0; silent < 2; silent++ {
		if silent > 0 && !d.sleep(ctx, drawn(spreadSilent)) {
			return ctx.Err()
		}
		before := d.told
		if whole, err = d.run(ctx, whole); !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if d.told != before {
			silent = 0
		}
	}
	return err
}

// drawn is a time of up to most.
func drawn(most time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(most)) }

// end tells the module of a failure, unless the task was ended by another.
func (d *Platform) end(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.log.Warn("discovery failed", "err", err)
		d.failed()
	}
}

// Move goes on at another address. Versions seen at the old one mean nothing
// there, so it begins with the whole list.
func (d *Platform) Move(ctx context.Context, address string, pushed bool) {
	d.begin(ctx, func(ctx context.Context) {
		d.client.CloseIdleConnections()
		d.url, d.index = platformURL(address), 0
		if pushed {
			d.follow(ctx, true)
		} else if d.sleep(ctx, drawn(spreadMove)) {
			d.end(ctx, d.ask(ctx, true))
		}
	})
}
