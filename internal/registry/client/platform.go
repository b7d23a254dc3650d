package client

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// Platform follows the list at one address, in the way of the platform's agents
// and its shared service: no epochs, no other replica to ask. Its methods are not
// safe for concurrent use.
type Platform struct {
	url            string
	client         *http.Client
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	attempts       atomic.Int32 // of the call under way
	hold           time.Duration
	grace          time.Duration
	sleep          func(context.Context, time.Duration) bool
	log            *slog.Logger
	index          uint64
	needsComplete  bool // the complete list is still to come: index means nothing
	lastCallFailed bool // the call before failed
	answers        int  // answers so far
	onList         func(registry.ListResponse)
	onFailure      func()

	polls   bool  // lists come only as answers to polls
	latest  *task // begun last
	running *task // under way; it alone uses url, hold, grace, index, needsComplete and lastCallFailed

	answerBegun atomic.Bool              // something of the answer to the call under way has come
	conn        atomic.Pointer[net.Conn] // made last
}

// task is what follows the list, until another one takes its place.
type task struct {
	stop   context.CancelFunc
	done   chan struct{} // closed when it has ended
	leaves atomic.Bool   // it makes no further call
}

func platformURL(address string) string { return "http://" + address + "/registry/instances" }

// NewPlatform makes a follower that knows the list of version index. Where lists
// come only when they are asked for, asked is true. Both functions are called
// from one task at a time.
func NewPlatform(
	address string,
	asked bool,
	index uint64,
	log *slog.Logger,
	listed func(registry.ListResponse),
	failed func(),
) *Platform {
	d := &Platform{
		url:       platformURL(address),
		polls:     asked,
		sleep:     backoff.Sleep,
		log:       log,
		index:     index,
		onList:    listed,
		onFailure: failed,
		running:   &task{},
		dial:      (&net.Dialer{Timeout: gracePolled}).DialContext,
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: d.connect}}
	d.setTimes(asked)
	return d
}

func (d *Platform) setTimes(asked bool) {
	if d.hold, d.grace = holdPushed, gracePushed; asked {
		d.hold, d.grace = holdPolled, gracePolled
	}
}

// Polls reports whether lists come only when they are asked for.
func (d *Platform) Polls() bool { return d.polls }

// watch follows the list until a call fails. The calls come back to back, so
// that discovery counts them as one watch.
func (d *Platform) watch(ctx context.Context) error {
	for {
		began, before := time.Now(), d.index
		if err := d.call(ctx, d.hold); err != nil {
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

// run watches until a call fails. It begins with one that is not held.
func (d *Platform) run(ctx context.Context) error {
	if err := d.call(ctx, minHold); err != nil {
		return err
	}
	return d.watch(ctx)
}

// follow watches for ever, as lists that are pushed need no leave of the balancer.
// It comes back from a failure at once, and from further ones in a row after a
// jittered wait that doubles up to a cap.
func (d *Platform) follow(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		began, before := time.Now(), d.answers
		err := d.run(ctx)
		if ctx.Err() != nil {
			return
		}
		if d.answers != before && time.Since(began) > backoffHigh {
			wait = 0
		}
		if wait == 0 { // a long outage is one line, not one for each try
			d.log.Warn("discovery failed, retrying", "err", err)
		}
		if !d.sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(max(2*wait, backoffLow), backoffHigh)
	}
}

// Follow starts to watch for ever. It begins with the complete list, as what the
// agent holds counts from the first moment, whatever this process knows. It ends
// with ctx.
func (d *Platform) Follow(ctx context.Context) {
	d.begin(ctx, func(ctx context.Context) {
		d.needsComplete = true
		d.follow(ctx)
	})
}

// begin starts a task and ends an earlier one first, as lists reach the balancer
// in order only from one at a time. It does not block, and is not safe for
// concurrent use.
func (d *Platform) begin(ctx context.Context, run func(context.Context)) {
	if d.latest != nil {
		d.latest.stop()
	}
	d.beginAfter(ctx, func(*task) {}, run)
}

// beginAfter has an earlier task end by itself, or by what end does.
func (d *Platform) beginAfter(ctx context.Context, end func(earlier *task), run func(context.Context)) {
	ctx, stop := context.WithCancel(ctx)
	earlier, t := d.latest, &task{stop: stop, done: make(chan struct{})}
	d.latest = t
	go func() {
		defer close(t.done)
		defer stop()
		defer d.client.CloseIdleConnections()
		if earlier != nil {
			end(earlier)
			<-earlier.done
		}
		d.running = t
		run(ctx)
	}()
}

// Poll does what the proxy's module asked for where lists are not pushed: a fetch, then
// a watch until it fails.
func (d *Platform) Poll(ctx context.Context, fetch, watch bool) {
	d.begin(ctx, func(ctx context.Context) {
		d.needsComplete = d.needsComplete || fetch
		var err error
		if watch {
			err = d.poll(ctx)
		} else if fetch {
			err = d.call(ctx, minHold)
		}
		d.end(ctx, err)
	})
}

// poll watches until a call fails. It makes one that broke or fell silent anew by
// itself, as the balancer would wait longer than the list's clock allows. Two in a
// row, or one that is refused, are a discovery that is down, to which the balancer
// spreads its calls.
func (d *Platform) poll(ctx context.Context) (err error) {
	for broke := 0; broke < 2; broke++ {
		if broke > 0 && !d.sleep(ctx, randomUpTo(spreadSilent)) {
			return ctx.Err()
		}
		began, before := time.Now(), d.answers
		if d.needsComplete || d.lastCallFailed {
			err = d.run(ctx)
		} else {
			err = d.watch(ctx)
		}
		if ctx.Err() != nil || errors.Is(err, errRejected) {
			return err
		}
		if d.answers != before && time.Since(began) > d.grace {
			broke = 0
		}
	}
	return err
}

// randomUpTo is a time of up to most.
func randomUpTo(most time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(most))
}

// end tells the balancer of a failure, unless the task was ended by another.
func (d *Platform) end(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.log.Warn("discovery failed", "err", err)
		d.onFailure()
	}
}
