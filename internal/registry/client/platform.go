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

// PlatformFollower follows the list of the platform's own discovery at one address: the address of the agent
// on this machine, which pushes lists, or the address of the shared service, which is polled. The platform's
// protocol has neither epochs nor replicas. The methods are not safe for concurrent use.
type PlatformFollower struct {
	url            string
	client         *http.Client
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	attempts       atomic.Int32 // connections requested by net/http for the call in progress
	hold           time.Duration
	grace          time.Duration
	sleep          func(context.Context, time.Duration) bool
	log            *slog.Logger
	index          uint64
	needsComplete  bool // the next call has to request the complete list; index has no meaning
	lastCallFailed bool
	responses      int // responses so far
	onList         func(registry.ListResponse)
	onFailure      func()

	polls      bool  // lists are polled, not pushed
	latestTask *task // the task that was started last
	// runningTask is the task that runs. It alone uses url, hold, grace, index, needsComplete and
	// lastCallFailed.
	runningTask *task

	responseBegun atomic.Bool              // a part of the response to the call in progress has been read
	conn          atomic.Pointer[net.Conn] // the connection that was dialed last
}

// task is a goroutine that follows the list until another task replaces it.
type task struct {
	stop     context.CancelFunc
	done     chan struct{} // closed when the task has ended
	stopping atomic.Bool   // the task makes no further call
}

func platformURL(address string) string { return "http://" + address + "/registry/instances" }

// NewPlatformFollower returns a follower that knows the list of version index. polled says whether lists are
// polled or pushed. onList is called with each list and onFailure after a failure, from one goroutine at a
// time.
func NewPlatformFollower(
	address string,
	polled bool,
	index uint64,
	log *slog.Logger,
	onList func(registry.ListResponse),
	onFailure func(),
) *PlatformFollower {
	d := &PlatformFollower{
		url:         platformURL(address),
		polls:       polled,
		sleep:       backoff.Sleep,
		log:         log,
		index:       index,
		onList:      onList,
		onFailure:   onFailure,
		runningTask: &task{},
		dial:        (&net.Dialer{Timeout: gracePolled}).DialContext,
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: d.connect}}
	d.setTimes(polled)
	return d
}

// setTimes sets the hold and the grace for polled or pushed lists.
func (d *PlatformFollower) setTimes(polled bool) {
	if d.hold, d.grace = holdPushed, gracePushed; polled {
		d.hold, d.grace = holdPolled, gracePolled
	}
}

// Polls reports whether lists are polled, not pushed.
func (d *PlatformFollower) Polls() bool { return d.polls }

// watch follows the list until a call fails. The calls follow each other without a pause, so that discovery
// counts them as one watch.
func (d *PlatformFollower) watch(ctx context.Context) error {
	for {
		began, previousIndex := time.Now(), d.index
		if err := d.call(ctx, d.hold); err != nil {
			return err
		}
		if d.index == previousIndex && time.Since(began) < d.hold/100 {
			// An agent that answers every call at once must not be called in a tight loop.
			if !d.sleep(ctx, immediateResponsePause) {
				return ctx.Err()
			}
		}
	}
}

// run watches until a call fails. Its first call has no hold.
func (d *PlatformFollower) run(ctx context.Context) error {
	if err := d.call(ctx, minHold); err != nil {
		return err
	}
	return d.watch(ctx)
}

// follow watches until ctx ends, without requests of the balancer, and is used for pushed lists. It retries
// at once after a first failure, and after further failures in a row with a jittered backoff that doubles up
// to maxPlatformBackoff.
func (d *PlatformFollower) follow(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		began, previousResponses := time.Now(), d.responses
		err := d.run(ctx)
		if ctx.Err() != nil {
			return
		}
		if d.responses != previousResponses && time.Since(began) > maxPlatformBackoff {
			wait = 0
		}
		if wait == 0 { // a long outage is logged once, not at each attempt
			d.log.Warn("discovery failed, retrying", "err", err)
		}
		if !d.sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(max(2*wait, minPlatformBackoff), maxPlatformBackoff)
	}
}

// Follow starts a task that watches pushed lists until ctx ends. It begins with the complete list, because a
// change that the agent has counts as known from the start, whatever list this process knows.
func (d *PlatformFollower) Follow(ctx context.Context) {
	d.startTask(ctx, func(ctx context.Context) {
		d.needsComplete = true
		d.follow(ctx)
	})
}

// startTask stops the latest task and starts another one, which runs once the latest task has ended: lists
// reach the balancer in order only from one task at a time. startTask does not block, and is not safe for
// concurrent use.
func (d *PlatformFollower) startTask(ctx context.Context, run func(context.Context)) {
	if d.latestTask != nil {
		d.latestTask.stop()
	}
	d.startTaskAfter(ctx, func(*task) {}, run)
}

// startTaskAfter starts a task. The task first calls end with the earlier task, waits until the earlier task
// has ended, and then calls run.
func (d *PlatformFollower) startTaskAfter(
	ctx context.Context,
	end func(earlier *task),
	run func(context.Context),
) {
	ctx, stop := context.WithCancel(ctx)
	earlier, t := d.latestTask, &task{stop: stop, done: make(chan struct{})}
	d.latestTask = t
	go func() {
		defer close(t.done)
		defer stop()
		defer d.client.CloseIdleConnections()
		if earlier != nil {
			end(earlier)
			<-earlier.done
		}
		d.runningTask = t
		run(ctx)
	}()
}

// Poll starts a task for polled lists at the request of the balancer: it fetches the complete list, watches
// until the watch fails, or does both.
func (d *PlatformFollower) Poll(ctx context.Context, fetch, watch bool) {
	d.startTask(ctx, func(ctx context.Context) {
		d.needsComplete = d.needsComplete || fetch
		var err error
		if watch {
			err = d.poll(ctx)
		} else if fetch {
			err = d.call(ctx, minHold)
		}
		d.reportFailure(ctx, err)
	})
}

// poll watches until discovery counts as down: two calls fail in a row, or the response to a call has an
// unexpected status. poll itself repeats a single failed call, because the balancer would wait longer than
// the list may be out of date. Once discovery counts as down, the balancer spreads its calls.
func (d *PlatformFollower) poll(ctx context.Context) (err error) {
	for failures := 0; failures < 2; failures++ {
		if failures > 0 && !d.sleep(ctx, randomUpTo(silentRetrySpread)) {
			return ctx.Err()
		}
		began, previousResponses := time.Now(), d.responses
		if d.needsComplete || d.lastCallFailed {
			err = d.run(ctx)
		} else {
			err = d.watch(ctx)
		}
		if ctx.Err() != nil || errors.Is(err, errUnexpectedStatus) {
			return err
		}
		if d.responses != previousResponses && time.Since(began) > d.grace {
			failures = 0
		}
	}
	return err
}

// randomUpTo returns a random duration below limit.
func randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(limit))
}

// reportFailure logs an error and calls onFailure, unless the task was stopped.
func (d *PlatformFollower) reportFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.log.Warn("discovery failed", "err", err)
		d.onFailure()
	}
}
