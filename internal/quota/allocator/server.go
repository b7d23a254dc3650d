// Package allocator runs the quota allocator (package quota) in a process that may hold the lease "quota": it
// reads and writes the record of slots under the lease's fencing token, and passes datagrams on.
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

// LeaseName is the lease whose holder is the allocator.
const LeaseName = "quota"

const tickInterval = 20 * time.Millisecond

// Config is what an allocator works with.
type Config struct {
	Fleet    uint32 // the fleet's name as a hash
	Name     string // by which proxies send to it: that of its member of membership
	Registry *client.Client
	Leases   *lease.Session
	In       <-chan []byte                // datagrams whose first byte is quota.Ours, no longer the sender's
	Send     func(to string, data []byte) // to a member of membership; it never waits
	Events   <-chan quota.Event           // TableChanged, WallClock, ExpectedProxies and Forget
	Log      *slog.Logger                 // nil: none
}

// tenure is a time in which the lease is held.
type tenure struct {
	token   lease.Token
	slots   []quota.Slot
	version uint64 // of the record
}

// writeResult is the end of a write.
type writeResult struct {
	token   lease.Token
	slots   []quota.Slot
	version uint64
	err     error
	reading bool
}

// server owns the core in one goroutine, loop. What is written has one goroutine at a time.
type server struct {
	config     Config
	core       *quota.Allocator
	start      time.Time
	tenures    chan tenure
	tenureEnds chan chan struct{}
	writes     chan writeResult
	done       chan struct{} // the loop has ended
	tenure     tenure        // its fencing token is 0 while the lease is not held
	writing    bool
}

// Run allocates quotas whenever the process holds the lease, until ctx ends.
func Run(ctx context.Context, c Config) error {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	h := &server{
		config: c,
		core:   quota.NewAllocator(quota.AllocatorConfig{Fleet: c.Fleet, Name: c.Name}),
		start:  time.Now(),
		tenures: make(
			chan tenure,
		),
		tenureEnds: make(chan chan struct{}),
		writes:     make(chan writeResult, 1),
		done:       make(chan struct{}),
	}
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() error { h.loop(ctx, all); return ctx.Err() })
	all.Go(func() error { return c.Leases.Run(ctx, LeaseName, h.holdLease) })
	return all.Wait()
}

// holdLease passes a tenure to the loop, and comes back once the loop acts for it no more.
func (h *server) holdLease(ctx context.Context, f lease.Token) error {
	seats, version, err := readSlots(ctx, h.config.Registry)
	if err != nil {
		return err
	}
	if err := announce(ctx, h.config.Registry, f, h.config.Name); err != nil {
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
	case h.tenureEnds <- ended:
		<-ended
	case <-h.done:
	}
	return ctx.Err()
}

func (h *server) loop(ctx context.Context, all *errgroup.Group) {
	defer close(h.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-h.tenures:
			h.tenure = t
			h.extendLease()
			h.handle(ctx, all, quota.RecordRead{Token: t.token.Number, Slots: t.slots})
		case ended := <-h.tenureEnds:
			h.core.Handle(h.time(), quota.LeaseHeld{Token: h.tenure.token.Number})
			h.tenure = tenure{}
			close(ended)
		case data := <-h.config.In:
			h.handle(ctx, all, quota.Message{Data: data})
		case e := <-h.config.Events:
			h.handle(ctx, all, e)
		case w := <-h.writes:
			h.writeEnded(ctx, all, w)
		case <-tick.C:
			h.extendLease()
			h.handle(ctx, all, quota.Tick{})
		}
	}
}

func (h *server) time() time.Duration { return time.Since(h.start) }

// extendLease tells the core how long it may act.
func (h *server) extendLease() {
	if h.tenure.token.Number == 0 {
		return
	}
	var until time.Duration
	if at := h.config.Leases.HeldUntil(h.tenure.token); !at.IsZero() {
		until = at.Sub(h.start)
	}
	h.core.Handle(h.time(), quota.LeaseHeld{Token: h.tenure.token.Number, Until: until})
}

// handle gives the core an event at the time at which it has been taken up, and does what comes of it.
func (h *server) handle(ctx context.Context, all *errgroup.Group, e quota.Event) {
	for _, a := range h.core.Handle(h.time(), e) {
		switch a := a.(type) {
		case quota.Send:
			h.config.Send(a.To, a.Data)
		case quota.WriteRecord:
			h.write(ctx, all, a)
		}
	}
}

// write begins a write, if none is under way. One that is not begun is asked for again.
func (h *server) write(ctx context.Context, all *errgroup.Group, a quota.WriteRecord) {
	if h.writing || a.Token != h.tenure.token.Number {
		return
	}
	h.writing = true
	t := h.tenure
	all.Go(func() error {
		version, err := writeSlots(ctx, h.config.Registry, t.token, a.Slots, t.version)
		h.writes <- writeResult{t.token, a.Slots, version, err, false}
		return nil
	})
}

// writeEnded tells the core of a record as it is. After a write that did not come through it is read again,
// since it may have been written all the same; what is missing in it the core asks for once more.
func (h *server) writeEnded(ctx context.Context, all *errgroup.Group, w writeResult) {
	h.writing = false
	switch {
	case w.token != h.tenure.token:
	case w.err == nil:
		h.tenure.version = w.version
		h.handle(ctx, all, quota.RecordRead{Token: w.token.Number, Slots: w.slots})
	default:
		h.config.Log.Warn("slot record", "err", w.err)
		if !w.reading {
			h.reread(ctx, all)
		}
	}
}

func (h *server) reread(ctx context.Context, all *errgroup.Group) {
	h.writing = true
	t := h.tenure
	all.Go(func() error {
		seats, version, err := readSlots(ctx, h.config.Registry)
		h.writes <- writeResult{t.token, seats, version, err, true}
		return nil
	})
}
