package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Config says who holds duties, and by which service.
type Config struct {
	Client  *client.Client       // the process's own: it goes on to another replica when one fails
	Process string               // its name, the same over its restarts
	TTL     time.Duration        // after so long without a word from it, others get its duties; 0: DefaultTTL
	Info    registry.ProcessInfo // what it tells others of itself
	Log     *slog.Logger         // nil: none
}

// Token proves that an order comes from the holder of a duty.
type Token = registry.FencingToken

// ErrClosed ends the wish of a process that closes.
var ErrClosed = errors.New("duty: this process is closing")

// Work is done by the holder of a duty. Its context ends in time before anybody
// else can hold the duty; work has TTL/8 to stop then. nil ends the wish for the
// duty, an error gives it up and has it wanted again after a while.
type Work func(ctx context.Context, f Token) error

// Session is one process's session with the service. It is safe for concurrent use.
type Session struct {
	config     Config
	log        *slog.Logger
	start      time.Time
	ctx        context.Context // of the session's own calls
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	core      *core
	id        string
	runs      map[*candidacy]*run
	wake      chan struct{}
	renewNow  chan struct{}
	changed   chan struct{} // closed and replaced after every step
	lateStops int           // works that did not stop in their time

	renewalsFailing bool // of keep alone: a failure has been told
}

// run is the run of a want's Work, and what ends it.
type run struct {
	work   Work
	cancel context.CancelFunc // nil: none is under way
}

const (
	callTimeout = 10 * time.Second // for a campaign or a giving up, over the service's failures
	retryPause  = 100 * time.Millisecond
	watchHold   = 20 * time.Second // of a watch
)

// Open begins a session, which goes on until Close.
func Open(c Config) (*Session, error) {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Process == "" || c.Client == nil {
		return nil, errors.New("duty: a process needs a name and a client of the list service")
	}
	if c.TTL < registry.MinSessionTTL || c.TTL > registry.MaxSessionTTL {
		return nil, fmt.Errorf("duty: ttl: %v is not between %v and %v", c.TTL, registry.MinSessionTTL, registry.MaxSessionTTL)
	}
	p := &Session{config: c, log: c.Log, start: time.Now(), core: &core{ttl: c.TTL}, runs: map[*candidacy]*run{}, wake: make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1), changed: make(chan struct{})}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.goroutines.Go(p.loop)
	p.goroutines.Go(p.keepSession)
	p.goroutines.Go(p.watchLeases)
	return p, nil
}

func (p *Session) now() time.Duration { return time.Since(p.start) + 1 } // never 0, which stands for never

// request is a wish, with what only its process has to know.
type request struct {
	registry.Candidacy
	releaseOrder int
}

// Option is a way to want a duty.
type Option func(*request)

// Priority has the process go before those of a lower one.
func Priority(n int) Option { return func(w *request) { w.Priority = n } }

// Preempt asks a holder of lower priority to hand on.
func Preempt() Option { return func(w *request) { w.Preempt = true } }

// ReleaseOrder has the duty handed on, when the process closes, before those of a lower
// rank and after those of a higher one. Without it the rank is 0.
func ReleaseOrder(n int) Option { return func(w *request) { w.releaseOrder = n } }

// Spread shares many duties out evenly among the processes that want them all:
// each duty goes to the one that comes first for it by a hash of both names.
func Spread(process, duty string) Option {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s\x00%s", duty, process)
	x := h.Sum32()
	x ^= x >> 16 // the last bytes alone move too little of the sum
	x *= 0x85ebca6b
	x ^= x >> 13
	return func(w *request) { w.Priority, w.Preempt = int(x>>1), true }
}

// Run does work whenever this process holds a duty, until the work says that it
// is done (nil), ctx ends (its error) or the process closes. It returns once the
// work has stopped and the duty is given up.
func (p *Session) Run(ctx context.Context, name string, do Work, options ...Option) error {
	wish := request{Candidacy: registry.Candidacy{Lease: name}}
	for _, o := range options {
		o(&wish)
	}
	p.mu.Lock()
	if p.core.closing {
		p.mu.Unlock()
		return ErrClosed
	}
	if slices.ContainsFunc(p.core.candidacies, func(w *candidacy) bool { return w.spec.Lease == name }) {
		p.mu.Unlock()
		return fmt.Errorf("duty: this process wants %s already", name)
	}
	w := p.core.add(wish.Candidacy, wish.releaseOrder)
	p.runs[w] = &run{work: do}
	p.mu.Unlock()
	p.wakeLoop()
	return p.await(ctx, w)
}

// await waits until a want has come to its end.
func (p *Session) await(ctx context.Context, w *candidacy) error {
	done := ctx.Done()
	for {
		p.mu.Lock()
		changed, gone := p.changed, p.core.isOver(w)
		if gone {
			p.core.remove(w)
			delete(p.runs, w)
		}
		p.mu.Unlock()
		if gone && !w.cancelled {
			return ErrClosed
		}
		if gone {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return ErrClosed
		case <-done:
			done = nil
			p.mu.Lock()
			w.cancelled = true
			p.mu.Unlock()
			p.wakeLoop()
		}
	}
}

// Close hands on what is held, by rank, and ends the session. Work that does not stop within patience is left to
// its fence, and told of in the error.
func (p *Session) Close(patience time.Duration) error {
	p.mu.Lock()
	p.core.closing = true
	p.mu.Unlock()
	p.wakeLoop()
	limit := time.After(patience)
	var err error
	for err == nil {
		p.mu.Lock()
		changed := p.changed
		left := slices.ContainsFunc(p.core.candidacies, func(w *candidacy) bool { return !p.core.isOver(w) })
		p.mu.Unlock()
		if !left {
			break
		}
		select {
		case <-changed:
		case <-limit:
			err = fmt.Errorf("duty: not all is handed on within %v", patience)
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	p.mu.Lock()
	id, open := p.id, p.core.open
	p.mu.Unlock()
	if open && err == nil { // else it lapses, once it is sure that the work may not go on
		err = p.config.Client.CloseSession(ctx, id)
	}
	p.stop()
	p.goroutines.Wait()
	return err
}

// LateStops is how many times work did not stop in its time.
func (p *Session) LateStops() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lateStops
}

func (p *Session) wakeLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// update changes the core and has the loop look at it.
func (p *Session) update(change func(now time.Duration)) {
	p.mu.Lock()
	change(p.now())
	p.mu.Unlock()
	p.wakeLoop()
}

// loop carries out what the core wants.
func (p *Session) loop() {
	for {
		p.mu.Lock()
		now := p.now()
		actions := p.core.step(now)
		next := p.core.nextStepAt(now) - now
		if p.core.needsRenewal() {
			select {
			case p.renewNow <- struct{}{}:
			default:
			}
		}
		calls := map[string][]*candidacy{}
		for _, a := range actions {
			switch a.kind {
			case "start":
				p.startWork(a.candidacy, a.token)
			case "stop":
				p.stopWork(a.candidacy)
			default:
				calls[a.kind] = append(calls[a.kind], a.candidacy)
			}
		}
		session := p.id
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
		for do, wants := range calls {
			for some := range slices.Chunk(wants, registry.MaxLeaseBatch) {
				p.goroutines.Go(func() { p.callRegistry(do, session, some) })
			}
		}
		t := time.NewTimer(next)
		select {
		case <-p.wake:
		case <-t.C:
		case <-p.ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// startWork starts work. The caller holds the lock.
func (p *Session) startWork(w *candidacy, fence uint64) {
	k := p.runs[w]
	if k == nil { // a want of nobody's
		w.runningToken, w.cancelled = 0, true
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	k.cancel = cancel
	p.log.Info("duty begun", "duty", w.spec.Lease, "fence", fence)
	p.goroutines.Go(func() {
		err := k.work(ctx, Token{Lease: w.spec.Lease, Number: fence})
		cancel()
		p.update(func(now time.Duration) {
			if err != nil && w.stopRequestedAt == 0 {
				p.log.Warn("duty failed; it is given up", "duty", w.spec.Lease, "fence", fence, "err", err)
			} else {
				p.log.Info("duty ended", "duty", w.spec.Lease, "fence", fence)
			}
			p.core.workEnded(now, w, err)
		})
	})
}

// stopWork tells work to stop, and looks whether it does. The caller holds the lock.
func (p *Session) stopWork(w *candidacy) {
	fence := w.runningToken
	p.runs[w].cancel()
	time.AfterFunc(p.config.TTL/stopFraction, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.runningToken == fence && w.stopRequestedAt != 0 {
			p.lateStops++
			p.log.Error("work does not stop though its duty may be another's by now; only its fence keeps its writes out", "duty", w.spec.Lease, "fence", fence)
		}
	})
}

// callRegistry makes a campaign or a giving up.
func (p *Session) callRegistry(do, session string, wants []*candidacy) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	var wishes []registry.Candidacy
	for _, w := range wants {
		wishes = append(wishes, w.spec)
	}
	ask := p.config.Client.Campaign
	if do == "give-up" {
		ask = p.config.Client.ReleaseLeases
	}
	_, err := ask(ctx, session, wishes)
	if err != nil && p.ctx.Err() == nil {
		p.log.Warn("the list service does not take it", "call", do, "duties", len(wishes), "err", err)
		backoff.Sleep(p.ctx, retryPause)
	}
	p.update(func(time.Duration) {
		if session != p.id {
			return
		}
		for _, w := range wants {
			p.core.callEnded(w, do == "give-up", err == nil)
		}
	})
}

// keepSession opens sessions and renews them.
func (p *Session) keepSession() {
	every := p.config.TTL / 4
	for p.ctx.Err() == nil {
		p.mu.Lock()
		open, id := p.core.open, p.id
		p.mu.Unlock()
		wait := every
		if !open {
			if err := p.openSession(every); err != nil {
				p.log.Warn("no session with the list service", "err", err)
				wait = retryPause
			} else {
				wait = 0
			}
		} else if !p.renewSession(id, every) {
			wait = retryPause
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-p.renewNow:
		case <-p.ctx.Done():
		}
		t.Stop()
	}
}

func (p *Session) openSession(within time.Duration) error {
	b := make([]byte, 12)
	rand.Read(b) // never fails
	id := hex.EncodeToString(b)
	ctx, cancel := context.WithTimeout(p.ctx, max(within, time.Second))
	defer cancel()
	if err := p.config.Client.OpenSession(ctx, registry.Session{ID: id, Process: p.config.Process, TTL: p.config.TTL, Info: p.config.Info}); err != nil {
		return err
	}
	p.update(func(time.Duration) {
		p.id = id
		p.core.sessionOpened()
	})
	return nil
}

// renewSession makes one renewal and tells whether it was answered.
func (p *Session) renewSession(id string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(p.ctx, within)
	defer cancel()
	sent := p.now()
	known, err := p.config.Client.RenewSession(ctx, id)
	if err != nil {
		if p.ctx.Err() == nil && !p.renewalsFailing { // an outage is one line, not one for each try
			p.log.Warn("renewals are not answered", "err", err)
			p.renewalsFailing = true
		}
		return false
	}
	if p.renewalsFailing {
		p.log.Info("renewals are answered again")
		p.renewalsFailing = false
	}
	p.update(func(time.Duration) {
		if known {
			p.core.renewed(sent)
		} else {
			p.log.Warn("the session has lapsed; another is opened", "session", id)
			p.core.sessionLost()
		}
	})
	return true
}

// watchLeases follows the session's duties.
func (p *Session) watchLeases() {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		open, id, from, changed := p.core.open, p.id, p.core.index, p.changed
		p.mu.Unlock()
		if !open {
			select {
			case <-changed:
			case <-p.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		go p.cancelWhenSessionEnds(ctx, cancel, id)
		a, err := p.config.Client.SessionLeases(ctx, id, from, watchHold)
		cancel()
		switch {
		case err != nil: // also of a replica that lags and does not know the session: the renewal finds out
			backoff.Sleep(p.ctx, retryPause)
		default:
			p.update(func(now time.Duration) {
				if id == p.id {
					p.core.leasesReported(now, id, a)
				}
			})
		}
	}
}

// cancelWhenSessionEnds ends a watch once its session is no more.
func (p *Session) cancelWhenSessionEnds(ctx context.Context, cancel context.CancelFunc, id string) {
	for {
		p.mu.Lock()
		changed, same := p.changed, p.core.open && p.id == id
		p.mu.Unlock()
		if !same {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
