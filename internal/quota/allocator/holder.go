// Package holder runs the apportioner in a process that may hold the duty "quota".
package allocator

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/lease"
	"wrenspread/internal/quota"
	"wrenspread/internal/registry/client"
)

// Duty is the one whose holder shares limits out.
const Duty = "quota"

const tickEvery = 20 * time.Millisecond

// Config is what a holder works with.
type Config struct {
	Fleet  uint32 // the fleet's name as a hash
	Name   string // by which nodes send to it: that of its member of the view
	List   *client.Client
	Duties *lease.Session
	In     <-chan []byte                // datagrams whose first byte is quota.Ours, no longer the sender's
	Send   func(to string, data []byte) // to a member of the view; it never waits
	Events <-chan quota.Event           // Table, Wall, Expect and Forget
	Log    *slog.Logger                 // nil: none
}

// tenure is a time in which the duty is held.
type tenure struct {
	fence   lease.Token
	seats   []quota.Seat
	version uint64 // of the record
}

// written is the end of a write.
type written struct {
	fence   lease.Token
	seats   []quota.Seat
	version uint64
	err     error
	reading bool
}

// holder owns the core in one goroutine, loop. What is written has one goroutine at a time.
type holder struct {
	c       Config
	core    *quota.Apportioner
	start   time.Time
	tenures chan tenure
	ends    chan chan struct{}
	writes  chan written
	done    chan struct{} // the loop has ended
	now     tenure        // its fence is 0 while the duty is not held
	writing bool
}

// Run shares limits out whenever the process holds the duty, until ctx ends.
func Run(ctx context.Context, c Config) error {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	h := &holder{
		c: c, core: quota.NewApportioner(quota.HolderConfig{Fleet: c.Fleet, Name: c.Name}), start: time.Now(),
		tenures: make(chan tenure), ends: make(chan chan struct{}), writes: make(chan written, 1), done: make(chan struct{}),
	}
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() error { h.loop(ctx, all); return ctx.Err() })
	all.Go(func() error { return c.Duties.Run(ctx, Duty, h.work) })
	return all.Wait()
}

// work hands a tenure to the loop, and comes back once the loop acts for it no more.
func (h *holder) work(ctx context.Context, f lease.Token) error {
	seats, version, err := read(ctx, h.c.List)
	if err != nil {
		return err
	}
	if err := announce(ctx, h.c.List, f, h.c.Name); err != nil {
		return err
	}
	select {
	case h.tenures <- tenure{f, seats, version}:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-ctx.Done()
	ended := make(chan struct{})
	select {
	case h.ends <- ended:
		<-ended
	case <-h.done:
	}
	return ctx.Err()
}

func (h *holder) loop(ctx context.Context, all *errgroup.Group) {
	defer close(h.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-h.tenures:
			h.now = t
			h.hold()
			h.tell(ctx, all, quota.Record{Fence: t.fence.Number, Seats: t.seats})
		case ended := <-h.ends:
			h.core.Handle(h.time(), quota.Held{Fence: h.now.fence.Number})
			h.now = tenure{}
			close(ended)
		case data := <-h.c.In:
			h.tell(ctx, all, quota.Message{Data: data})
		case e := <-h.c.Events:
			h.tell(ctx, all, e)
		case w := <-h.writes:
			h.wrote(ctx, all, w)
		case <-tick.C:
			h.hold()
			h.tell(ctx, all, quota.Tick{})
		}
	}
}

func (h *holder) time() time.Duration { return time.Since(h.start) }

// hold tells the core how long it may act.
func (h *holder) hold() {
	if h.now.fence.Number == 0 {
		return
	}
	var until time.Duration
	if at := h.c.Duties.HeldUntil(h.now.fence); !at.IsZero() {
		until = at.Sub(h.start)
	}
	h.core.Handle(h.time(), quota.Held{Fence: h.now.fence.Number, Until: until})
}

// tell gives the core an event at the time at which it has been taken up, and does what comes of it.
func (h *holder) tell(ctx context.Context, all *errgroup.Group, e quota.Event) {
	for _, a := range h.core.Handle(h.time(), e) {
		switch a := a.(type) {
		case quota.Send:
			h.c.Send(a.To, a.Data)
		case quota.Write:
			h.write(ctx, all, a)
		}
	}
}

// write begins a write, if none is under way. One that is not begun is asked for again.
func (h *holder) write(ctx context.Context, all *errgroup.Group, a quota.Write) {
	if h.writing || a.Fence != h.now.fence.Number {
		return
	}
	h.writing = true
	t := h.now
	all.Go(func() error {
		version, err := write(ctx, h.c.List, t.fence, a.Seats, t.version)
		h.writes <- written{t.fence, a.Seats, version, err, false}
		return nil
	})
}

// wrote tells the core of a record as it is. After a write that did not come through it is read again, since it may
// have been written all the same; what is missing in it the core asks for once more.
func (h *holder) wrote(ctx context.Context, all *errgroup.Group, w written) {
	h.writing = false
	switch {
	case w.fence != h.now.fence:
	case w.err == nil:
		h.now.version = w.version
		h.tell(ctx, all, quota.Record{Fence: w.fence.Number, Seats: w.seats})
	default:
		h.c.Log.Warn("the enrolled nodes", "err", w.err)
		if !w.reading {
			h.reread(ctx, all)
		}
	}
}

func (h *holder) reread(ctx context.Context, all *errgroup.Group) {
	h.writing = true
	t := h.now
	all.Go(func() error {
		seats, version, err := read(ctx, h.c.List)
		h.writes <- written{t.fence, seats, version, err, true}
		return nil
	})
}
