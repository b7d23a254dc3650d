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
	Client  *client.Client // the process's own: it goes on to another replica when one fails
	Process string         // its name, the same over its restarts
	TTL     time.Duration  // after so long without a word from it, others get its duties; 0: DefaultTTL
	Word    registry.Word  // what it tells others of itself
	Log     *slog.Logger   // nil: none
}

// Fence proves that an order comes from the holder of a duty.
type Fence = registry.Fence

// ErrClosed ends the wish of a process that closes.
var ErrClosed = errors.New("duty: this process is closing")

// Work is done by the holder of a duty. Its context ends in time before anybody
// else can hold the duty; work has TTL/8 to stop then. nil ends the wish for the
// duty, an error gives it up and has it wanted again after a while.
type Work func(ctx context.Context, f Fence) error

// Process is one process's session with the service. It is safe for concurrent use.
type Process struct {
	c     Config
	log   *slog.Logger
	start time.Time
	ctx   context.Context // of the session's own calls
	stop  context.CancelFunc
	tasks sync.WaitGroup

	mu      sync.Mutex
	core    *core
	session string
	works   map[*want]*work
	wake    chan struct{}
	renew   chan struct{}
	changed chan struct{} // closed and replaced after every step
	late    int           // works that did not stop in their time

	mute bool // of keep alone: a failure has been told
}

// work is the run of a want's Work, and what ends it.
type work struct {
	do     Work
	cancel context.CancelFunc // nil: none is under way
}

const (
	callTime = 10 * time.Second // for a campaign or a giving up, over the service's failures
	failWait = 100 * time.Millisecond
	holdTime = 20 * time.Second // of a watch
)

// Open begins a session, which goes on until Close.
func Open(c Config) (*Process, error) {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Process == "" || c.Client == nil {
		return nil, errors.New("duty: a process needs a name and a client of the list service")
	}
	if c.TTL < registry.MinSessionTTL || c.TTL > registry.MaxSessionTTL {
		return nil, fmt.Errorf("duty: ttl: %v is not between %v and %v", c.TTL, registry.MinSessionTTL, registry.MaxSessionTTL)
	}
	p := &Process{c: c, log: c.Log, start: time.Now(), core: &core{ttl: c.TTL}, works: map[*want]*work{}, wake: make(chan struct{}, 1),
		renew: make(chan struct{}, 1), changed: make(chan struct{})}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.tasks.Go(p.loop)
	p.tasks.Go(p.keep)
	p.tasks.Go(p.watch)
	return p, nil
}

func (p *Process) now() time.Duration { return time.Since(p.start) + 1 } // never 0, which stands for never

// wanted is a wish, with what only its process has to know.
type wanted struct {
	registry.Wish
	rank int
}

// Option is a way to want a duty.
type Option func(*wanted)

// Priority has the process go before those of a lower one.
func Priority(n int) Option { return func(w *wanted) { w.Priority = n } }

// Over asks a holder of lower priority to hand on.
func Over() Option { return func(w *wanted) { w.Over = true } }

// Rank has the duty handed on, when the process closes, before those of a lower
// rank and after those of a higher one. Without it the rank is 0.
func Rank(n int) Option { return func(w *wanted) { w.rank = n } }

// Spread shares many duties out evenly among the processes that want them all:
// each duty goes to the one that comes first for it by a hash of both names.
func Spread(process, duty string) Option {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s\x00%s", duty, process)
	x := h.Sum32()
	x ^= x >> 16 // the last bytes alone move too little of the sum
	x *= 0x85ebca6b
	x ^= x >> 13
	return func(w *wanted) { w.Priority, w.Over = int(x>>1), true }
}

// Run does work whenever this process holds a duty, until the work says that it
// is done (nil), ctx ends (its error) or the process closes. It returns once the
// work has stopped and the duty is given up.
func (p *Process) Run(ctx context.Context, name string, do Work, options ...Option) error {
	wish := wanted{Wish: registry.Wish{Duty: name}}
	for _, o := range options {
		o(&wish)
	}
	p.mu.Lock()
	if p.core.ending {
		p.mu.Unlock()
		return ErrClosed
	}
	if slices.ContainsFunc(p.core.wants, func(w *want) bool { return w.wish.Duty == name }) {
		p.mu.Unlock()
		return fmt.Errorf("duty: this process wants %s already", name)
	}
	w := p.core.add(wish.Wish, wish.rank)
	p.works[w] = &work{do: do}
	p.mu.Unlock()
	p.stir()
	return p.await(ctx, w)
}

// await waits until a want has come to its end.
func (p *Process) await(ctx context.Context, w *want) error {
	done := ctx.Done()
	for {
		p.mu.Lock()
		changed, gone := p.changed, p.core.gone(w)
		if gone {
			p.core.drop(w)
			delete(p.works, w)
		}
		p.mu.Unlock()
		if gone && !w.over {
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
			w.over = true
			p.mu.Unlock()
			p.stir()
		}
	}
}

// Close hands on what is held, by rank, and ends the session. Work that does not stop within patience is left to
// its fence, and told of in the error.
func (p *Process) Close(patience time.Duration) error {
	p.mu.Lock()
	p.core.ending = true
	p.mu.Unlock()
	p.stir()
	limit := time.After(patience)
	var err error
	for err == nil {
		p.mu.Lock()
		changed := p.changed
		left := slices.ContainsFunc(p.core.wants, func(w *want) bool { return !p.core.gone(w) })
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
	id, open := p.session, p.core.open
	p.mu.Unlock()
	if open && err == nil { // else it lapses, once it is sure that the work may not go on
		err = p.c.Client.CloseSession(ctx, id)
	}
	p.stop()
	p.tasks.Wait()
	return err
}

// Late is how many times work did not stop in its time.
func (p *Process) Late() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late
}

func (p *Process) stir() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// note changes the core and has the loop look at it.
func (p *Process) note(change func(now time.Duration)) {
	p.mu.Lock()
	change(p.now())
	p.mu.Unlock()
	p.stir()
}

// loop carries out what the core wants.
func (p *Process) loop() {
	for {
		p.mu.Lock()
		now := p.now()
		actions := p.core.step(now)
		next := p.core.next(now) - now
		if p.core.unsure() {
			select {
			case p.renew <- struct{}{}:
			default:
			}
		}
		calls := map[string][]*want{}
		for _, a := range actions {
			switch a.do {
			case "start":
				p.begin(a.want, a.fence)
			case "stop":
				p.end(a.want)
			default:
				calls[a.do] = append(calls[a.do], a.want)
			}
		}
		session := p.session
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
		for do, wants := range calls {
			for some := range slices.Chunk(wants, registry.MaxBatch) {
				p.tasks.Go(func() { p.call(do, session, some) })
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

// begin starts work. The caller holds the lock.
func (p *Process) begin(w *want, fence uint64) {
	k := p.works[w]
	if k == nil { // a want of nobody's
		w.running, w.over = 0, true
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	k.cancel = cancel
	p.log.Info("duty begun", "duty", w.wish.Duty, "fence", fence)
	p.tasks.Go(func() {
		err := k.do(ctx, Fence{Duty: w.wish.Duty, Fence: fence})
		cancel()
		p.note(func(now time.Duration) {
			if err != nil && w.told == 0 {
				p.log.Warn("duty failed; it is given up", "duty", w.wish.Duty, "fence", fence, "err", err)
			} else {
				p.log.Info("duty ended", "duty", w.wish.Duty, "fence", fence)
			}
			p.core.ended(now, w, err)
		})
	})
}

// end tells work to stop, and looks whether it does. The caller holds the lock.
func (p *Process) end(w *want) {
	fence := w.running
	p.works[w].cancel()
	time.AfterFunc(p.c.TTL/stopPart, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.running == fence && w.told != 0 {
			p.late++
			p.log.Error("work does not stop though its duty may be another's by now; only its fence keeps its writes out", "duty", w.wish.Duty, "fence", fence)
		}
	})
}

// call makes a campaign or a giving up.
func (p *Process) call(do, session string, wants []*want) {
	ctx, cancel := context.WithTimeout(p.ctx, callTime)
	defer cancel()
	var wishes []registry.Wish
	for _, w := range wants {
		wishes = append(wishes, w.wish)
	}
	ask := p.c.Client.Campaign
	if do == "give-up" {
		ask = p.c.Client.GiveUp
	}
	_, err := ask(ctx, session, wishes)
	if err != nil && p.ctx.Err() == nil {
		p.log.Warn("the list service does not take it", "call", do, "duties", len(wishes), "err", err)
		backoff.Sleep(p.ctx, failWait)
	}
	p.note(func(time.Duration) {
		if session != p.session {
			return
		}
		for _, w := range wants {
			p.core.called(w, do == "give-up", err == nil)
		}
	})
}

// keep opens sessions and renews them.
func (p *Process) keep() {
	every := p.c.TTL / 4
	for p.ctx.Err() == nil {
		p.mu.Lock()
		open, id := p.core.open, p.session
		p.mu.Unlock()
		wait := every
		if !open {
			if err := p.openOne(every); err != nil {
				p.log.Warn("no session with the list service", "err", err)
				wait = failWait
			} else {
				wait = 0
			}
		} else if !p.renewOne(id, every) {
			wait = failWait
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-p.renew:
		case <-p.ctx.Done():
		}
		t.Stop()
	}
}

func (p *Process) openOne(within time.Duration) error {
	b := make([]byte, 12)
	rand.Read(b) // never fails
	id := hex.EncodeToString(b)
	ctx, cancel := context.WithTimeout(p.ctx, max(within, time.Second))
	defer cancel()
	if err := p.c.Client.OpenSession(ctx, registry.Session{ID: id, Process: p.c.Process, TTL: p.c.TTL, Word: p.c.Word}); err != nil {
		return err
	}
	p.note(func(time.Duration) {
		p.session = id
		p.core.opened()
	})
	return nil
}

// renewOne makes one renewal and tells whether it was answered.
func (p *Process) renewOne(id string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(p.ctx, within)
	defer cancel()
	sent := p.now()
	known, err := p.c.Client.RenewSession(ctx, id)
	if err != nil {
		if p.ctx.Err() == nil && !p.mute { // an outage is one line, not one for each try
			p.log.Warn("renewals are not answered", "err", err)
			p.mute = true
		}
		return false
	}
	if p.mute {
		p.log.Info("renewals are answered again")
		p.mute = false
	}
	p.note(func(time.Duration) {
		if known {
			p.core.renewed(sent)
		} else {
			p.log.Warn("the session has lapsed; another is opened", "session", id)
			p.core.lost()
		}
	})
	return true
}

// watch follows the session's duties.
func (p *Process) watch() {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		open, id, from, changed := p.core.open, p.session, p.core.index, p.changed
		p.mu.Unlock()
		if !open {
			select {
			case <-changed:
			case <-p.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		go p.leaveWith(ctx, cancel, id)
		a, err := p.c.Client.SessionDuties(ctx, id, from, holdTime)
		cancel()
		switch {
		case err != nil: // also of a replica that lags and does not know the session: the renewal finds out
			backoff.Sleep(p.ctx, failWait)
		default:
			p.note(func(now time.Duration) {
				if id == p.session {
					p.core.hear(now, id, a)
				}
			})
		}
	}
}

// leaveWith ends a watch once its session is no more.
func (p *Process) leaveWith(ctx context.Context, cancel context.CancelFunc, id string) {
	for {
		p.mu.Lock()
		changed, same := p.changed, p.core.open && p.session == id
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
