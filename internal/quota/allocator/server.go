// Package allocator runs the quota allocator (package quota) in a process that may hold the lease "quota": it
// reads and writes the record of slots under the lease's fencing token, and passes datagrams between the core
// and the caller.
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

// Config configures an allocator.
type Config struct {
	Fleet     uint32 // hash of the fleet's name
	Name      string // the process's name as a membership member, to which proxies send claims
	Registry  *client.Client
	Leases    *lease.Session
	Datagrams <-chan []byte                // received datagrams that satisfy quota.IsOurs; Run owns them
	Send      func(to string, data []byte) // sends to a member by its membership name, without blocking
	Events    <-chan quota.Event           // TableChanged, WallClock, ExpectedProxies and Forget
	Log       *slog.Logger                 // nil means no log
}

// tenure is a period in which the process holds the lease, with the last record of slots that was read or
// written.
type tenure struct {
	token   lease.Token
	slots   []quota.Slot
	version uint64 // of the record
}

// writeResult is the result of writing the record or, after a failed write, of reading it.
type writeResult struct {
	token   lease.Token
	slots   []quota.Slot
	version uint64
	err     error
	wasRead bool // the record was read
}

// server owns the core in the goroutine of loop. At most one other goroutine at a time writes or reads the
// record.
type server struct {
	config  Config
	core    *quota.Allocator
	start   time.Time   // origin of the core's times
	tenures chan tenure // new tenures, from holdLease to loop
	// ends of tenures, from holdLease to loop, which closes the received channel once it no longer acts on the
	// lease
	tenureEnds chan chan struct{}
	writes     chan writeResult
	done       chan struct{} // closed once loop has ended
	tenure     tenure        // its fencing token is 0 while the lease is not held
	writing    bool          // a write or read of the record is in progress
}

// Run competes for the lease and allocates quotas whenever the process holds it, until ctx ends.
func Run(ctx context.Context, c Config) error {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &server{
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
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.loop(ctx, group); return ctx.Err() })
	group.Go(func() error { return c.Leases.Run(ctx, LeaseName, s.holdLease) })
	return group.Wait()
}

// holdLease reads the record, announces this process as the allocator and passes a tenure to loop. It returns
// after ctx has ended and loop has stopped acting for the tenure.
func (s *server) holdLease(ctx context.Context, token lease.Token) error {
	slots, version, err := readSlots(ctx, s.config.Registry)
	if err != nil {
		return err
	}
	if err := announce(ctx, s.config.Registry, token, s.config.Name); err != nil {
		return err
	}
	select {
	case s.tenures <- tenure{token, slots, version}:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-ctx.Done()
	ended := make(chan struct{})
	select {
	case s.tenureEnds <- ended:
		<-ended
	case <-s.done:
	}
	return ctx.Err()
}

// loop handles tenures, datagrams, events, results of writes and ticks, until ctx ends.
func (s *server) loop(ctx context.Context, group *errgroup.Group) {
	defer close(s.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.tenures:
			s.tenure = t
			s.extendLease()
			s.handle(ctx, group, quota.RecordRead{Token: t.token.Number, Slots: t.slots})
		case ended := <-s.tenureEnds:
			s.core.Handle(s.time(), quota.LeaseHeld{Token: s.tenure.token.Number})
			s.tenure = tenure{}
			close(ended)
		case data := <-s.config.Datagrams:
			s.handle(ctx, group, quota.Message{Data: data})
		case e := <-s.config.Events:
			s.handle(ctx, group, e)
		case w := <-s.writes:
			s.writeEnded(ctx, group, w)
		case <-tick.C:
			s.extendLease()
			s.handle(ctx, group, quota.Tick{})
		}
	}
}

// time returns the core's time: the time since start.
func (s *server) time() time.Duration { return time.Since(s.start) }

// extendLease notifies the core of how long it may act on the lease.
func (s *server) extendLease() {
	if s.tenure.token.Number == 0 {
		return
	}
	var until time.Duration
	if heldUntil := s.config.Leases.HeldUntil(s.tenure.token); !heldUntil.IsZero() {
		until = heldUntil.Sub(s.start)
	}
	s.core.Handle(s.time(), quota.LeaseHeld{Token: s.tenure.token.Number, Until: until})
}

// handle passes an event to the core, with the present time, and carries out the core's actions.
func (s *server) handle(ctx context.Context, group *errgroup.Group, e quota.Event) {
	for _, a := range s.core.Handle(s.time(), e) {
		switch a := a.(type) {
		case quota.Send:
			s.config.Send(a.To, a.Data)
		case quota.WriteRecord:
			s.write(ctx, group, a)
		}
	}
}

// write starts a write of the record, unless a write or read is in progress. If the write is not started, the
// core requests it again later.
func (s *server) write(ctx context.Context, group *errgroup.Group, a quota.WriteRecord) {
	if s.writing || a.Token != s.tenure.token.Number {
		return
	}
	s.writing = true
	t := s.tenure
	group.Go(func() error {
		version, err := writeSlots(ctx, s.config.Registry, t.token, a.Slots, t.version)
		s.writes <- writeResult{t.token, a.Slots, version, err, false}
		return nil
	})
}

// writeEnded passes the record to the core after a successful write or read. After a failed write the record
// is read, since the write may have succeeded nevertheless; the core requests another write if slots are
// missing.
func (s *server) writeEnded(ctx context.Context, group *errgroup.Group, w writeResult) {
	s.writing = false
	switch {
	case w.token != s.tenure.token:
	case w.err == nil:
		s.tenure.version = w.version
		s.handle(ctx, group, quota.RecordRead{Token: w.token.Number, Slots: w.slots})
	default:
		s.config.Log.Warn("slot record request failed", "err", w.err)
		if !w.wasRead {
			s.reread(ctx, group)
		}
	}
}

// reread starts a read of the record.
func (s *server) reread(ctx context.Context, group *errgroup.Group) {
	s.writing = true
	t := s.tenure
	group.Go(func() error {
		slots, version, err := readSlots(ctx, s.config.Registry)
		s.writes <- writeResult{t.token, slots, version, err, true}
		return nil
	})
}
