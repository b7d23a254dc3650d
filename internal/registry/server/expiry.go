package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wrenspread/internal/registry"
)

const (
	expiryInterval = 100 * time.Millisecond // between two checks of the deadlines
	// maxLoopDelay is the delay of a check from which on all TTLs are restarted: the process was paused, and did
	// not receive renewals during the pause.
	maxLoopDelay = time.Second
)

// expiry holds the deadlines of entries while this replica leads, and expires overdue entries.
type expiry struct {
	start   time.Time
	machine *machine
	apply   func(registry.Command) (registry.Result, error)
	log     *slog.Logger

	mu        sync.Mutex
	deadlines *registry.EndpointExpiry // nil while this replica does not lead
	retained  int                      // number of overdue entries that do not expire, as too many are overdue
	expired   int                      // number of entries expired so far
}

func (x *expiry) now() time.Duration { return time.Since(x.start) }

// startLeading starts the TTL of every entry. It must be called after this replica, as the leader, has
// applied all earlier commands.
func (x *expiry) startLeading() {
	x.machine.mu.RLock()
	registrations := x.machine.state.Registrations()
	x.mu.Lock() // locked before the machine is unlocked, so that no change is missed
	x.deadlines, x.retained = registry.NewEndpointExpiry(registrations, x.now()), 0
	x.mu.Unlock()
	x.machine.mu.RUnlock()
}

// stopLeading drops the deadlines, as this replica does not lead any more.
func (x *expiry) stopLeading() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadlines, x.retained = nil, 0
}

// applied updates the deadlines after a command was applied. The caller holds the machine's lock.
func (x *expiry) applied(c registry.Command, state *registry.State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	switch c.Op {
	case registry.OpRegister:
		if registration, ok := state.Registration(c.Endpoint.Name); ok {
			x.deadlines.Set(registration, x.now())
		}
	case registry.OpDrain:
		if registration, ok := state.Registration(c.Name); ok {
			x.deadlines.Set(registration, x.now())
		}
	case registry.OpRemove:
		if _, exists := state.Registration(c.Name); !exists {
			x.deadlines.Drop(c.Name)
		}
	case registry.OpRestore:
		x.deadlines = registry.NewEndpointExpiry(state.Registrations(), x.now())
	}
}

// renew restarts the TTL of entries and returns the names without an entry that has a time to live. ok is
// false if this replica does not lead.
func (x *expiry) renew(names []string) (unknown []string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return nil, false
	}
	for _, n := range names {
		if !x.deadlines.Renew(n, x.now()) {
			unknown = append(unknown, n)
		}
	}
	return unknown, true
}

// run expires overdue entries until ctx ends.
func (x *expiry) run(ctx context.Context) {
	checkPeriodically(ctx, x.now, func(late time.Duration) {
		x.log.Warn("process was paused, restarting all TTLs", "for", late)
		x.restartAll()
	}, x.expireDue)
}

// checkPeriodically calls check every expiryInterval until ctx ends. If the process was paused since the
// previous check, it first calls onPause with the length of the pause.
func checkPeriodically(
	ctx context.Context,
	now func() time.Duration,
	onPause func(time.Duration),
	check func(now time.Duration),
) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for lastCheck := now(); ; {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		checkTime := now()
		if checkTime-lastCheck > expiryInterval+maxLoopDelay {
			onPause(checkTime - lastCheck)
		}
		lastCheck = checkTime
		check(checkTime)
	}
}

// restartAll restarts the TTL of every entry if this replica leads.
func (x *expiry) restartAll() {
	x.mu.Lock()
	leads := x.deadlines != nil
	x.mu.Unlock()
	if leads {
		x.startLeading()
	}
}

// expireDue expires the entries that are overdue, in batches of registry.MaxExpire.
func (x *expiry) expireDue(now time.Duration) {
	x.mu.Lock()
	if x.deadlines == nil {
		x.mu.Unlock()
		return
	}
	due, retained := x.deadlines.Due(now)
	if (retained > 0) != (x.retained > 0) {
		if retained > 0 {
			x.log.Error("too many endpoints overdue at once, expiring none", "overdue", retained)
		} else {
			x.log.Info("endpoints expire again")
		}
	}
	x.retained = retained
	x.mu.Unlock()
	for len(due) > 0 {
		batch := due[:min(len(due), registry.MaxExpire)]
		due = due[len(batch):]
		if _, err := x.apply(registry.Command{Op: registry.OpExpire, Expired: batch}); err != nil {
			x.log.Warn("expiring endpoints failed, restarting all TTLs", "entries", len(batch), "err", err)
			x.restartAll()
			return
		}
		x.mu.Lock()
		x.expired += len(batch)
		x.mu.Unlock()
		for _, expired := range batch {
			x.log.Info("endpoint expired", "entry", expired.Name)
		}
	}
}

// counts returns the number of overdue entries that do not expire and the number of entries expired so far.
func (x *expiry) counts() (retained, expired int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retained, x.expired
}
