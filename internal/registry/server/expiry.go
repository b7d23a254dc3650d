package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wrenspread/internal/registry"
)

const (
	expiryEvery = 100 * time.Millisecond
	// stall is how late the loop may be before its own deadlines mean nothing: a
	// process that stood still has not heard the renewals of that time.
	stall = time.Second
)

// expiry keeps the deadlines while this replica leads.
type expiry struct {
	start   time.Time
	machine *machine
	apply   func(registry.Command) (registry.Result, error)
	log     *slog.Logger

	mu       sync.Mutex
	leases   *registry.EndpointExpiry // nil while another leads
	heldBack int                      // overdue entries that are held back
	expired  int                      // expired so far
}

func (x *expiry) now() time.Duration { return time.Since(x.start) }

// lead begins with the full TTL of every entry, once all that was done before is known here.
func (x *expiry) lead() {
	x.machine.mu.RLock()
	items := x.machine.state.Registrations()
	x.mu.Lock() // under the other lock, so that no change falls between the two
	x.leases, x.heldBack = registry.NewEndpointExpiry(items, x.now()), 0
	x.mu.Unlock()
	x.machine.mu.RUnlock()
}

func (x *expiry) follow() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leases, x.heldBack = nil, 0
}

// applied keeps the leases in step with the list. The caller holds the machine's lock.
func (x *expiry) applied(c registry.Command, state *registry.State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leases == nil {
		return
	}
	switch c.Op {
	case registry.OpRegister:
		if i, ok := state.Registration(c.Endpoint.Name); ok {
			x.leases.Set(i, x.now())
		}
	case registry.OpDrain:
		if i, ok := state.Registration(c.Name); ok {
			x.leases.Set(i, x.now())
		}
	case registry.OpRemove:
		if _, there := state.Registration(c.Name); !there {
			x.leases.Drop(c.Name)
		}
	case registry.OpRestore:
		x.leases = registry.NewEndpointExpiry(state.Registrations(), x.now())
	}
}

// renew restarts the TTL of entries and lists those that have no lease. ok is false where this replica does
// not lead.
func (x *expiry) renew(names []string) (unknown []string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.leases == nil {
		return nil, false
	}
	for _, n := range names {
		if !x.leases.Renew(n, x.now()) {
			unknown = append(unknown, n)
		}
	}
	return unknown, true
}

// run expires what is due until ctx ends.
func (x *expiry) run(ctx context.Context) {
	every(ctx, x.now, func(late time.Duration) {
		x.log.Warn("process was paused, restarting all TTLs", "for", late)
		x.restartAll()
	}, x.expireDue)
}

// every looks at deadlines again and again until ctx ends, and says before a look
// if the process stood still since the one before.
func every(
	ctx context.Context,
	now func() time.Duration,
	stoodStill func(time.Duration),
	look func(now time.Duration),
) {
	t := time.NewTicker(expiryEvery)
	defer t.Stop()
	for last := now(); ; {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		at := now()
		if at-last > expiryEvery+stall {
			stoodStill(at - last)
		}
		last = at
		look(at)
	}
}

// restartAll restarts the TTL of every entry, if this replica leads.
func (x *expiry) restartAll() {
	x.mu.Lock()
	leads := x.leases != nil
	x.mu.Unlock()
	if leads {
		x.lead()
	}
}

func (x *expiry) expireDue(now time.Duration) {
	x.mu.Lock()
	if x.leases == nil {
		x.mu.Unlock()
		return
	}
	due, kept := x.leases.Due(now)
	if (kept > 0) != (x.heldBack > 0) {
		if kept > 0 {
			x.log.Error("too many endpoints overdue at once, expiring none", "overdue", kept)
		} else {
			x.log.Info("endpoints expire again")
		}
	}
	x.heldBack = kept
	x.mu.Unlock()
	for len(due) > 0 {
		some := due[:min(len(due), registry.MaxExpire)]
		due = due[len(some):]
		if _, err := x.apply(registry.Command{Op: registry.OpExpire, Expired: some}); err != nil {
			x.log.Warn("overdue endpoints kept", "entries", len(some), "err", err)
			x.restartAll()
			return
		}
		x.mu.Lock()
		x.expired += len(some)
		x.mu.Unlock()
		for _, l := range some {
			x.log.Info("expired", "entry", l.Name)
		}
	}
}

// figures tells what is held back and what has expired.
func (x *expiry) figures() (kept, expired int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heldBack, x.expired
}
