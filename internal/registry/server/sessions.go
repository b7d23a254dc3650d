package server

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wrenspread/internal/registry"
)

// A lease is granted up to grantBurst times without a delay, and then once per grantInterval, so that a lease
// is not granted again and again to candidates that crash in a loop.
const (
	grantBurst    = 4
	grantInterval = 2 * time.Second
)

// sessions holds the deadlines of sessions while this replica leads, closes expired sessions, and limits the
// rate at which leases are granted.
type sessions struct {
	start   time.Time
	machine *machine
	apply   func(registry.Command) (registry.Result, error)
	log     *slog.Logger

	mu            sync.Mutex
	deadlines     *registry.SessionExpiry // nil while this replica does not lead
	closing       map[string]bool         // expired sessions that are not closed yet; they can't be renewed
	grantLimiters map[string]*rate.Limiter
	expired       int // number of sessions expired so far
}

func (x *sessions) now() time.Duration { return time.Since(x.start) }

// startLeading starts the TTL of every session. It must be called after this replica, as the leader, has
// applied all earlier commands.
func (x *sessions) startLeading() {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadlines, x.closing, x.grantLimiters = registry.NewSessionExpiry(
		x.machine.state.Sessions(),
		x.now(),
	), map[string]bool{}, map[string]*rate.Limiter{}
}

// stopLeading drops the deadlines, as this replica does not lead any more.
func (x *sessions) stopLeading() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadlines = nil
}

// applied updates the deadlines after a command was applied. The caller holds the machine's lock.
func (x *sessions) applied(c registry.Command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	switch c.Op {
	case registry.OpOpenSession:
		if !x.closing[c.Session.ID] {
			x.deadlines.Set(*c.Session, x.now())
		}
	case registry.OpCloseSessions:
		for _, id := range c.Sessions {
			x.deadlines.Drop(id)
			delete(x.closing, id)
		}
	}
}

// renew restarts the TTL of sessions and returns the ids of the sessions that have ended. ok is false if this
// replica does not lead. The caller must have verified, after it received the request, that this replica
// leads.
func (x *sessions) renew(ids []string) (unknown []string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return nil, false
	}
	for _, id := range ids {
		if !x.deadlines.Renew(id, x.now()) {
			unknown = append(unknown, id)
		}
	}
	return unknown, true
}

// takeGrants returns the leases among names that may be granted now, and counts them as granted.
func (x *sessions) takeGrants(names []string) (granted []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, n := range names {
		limiter := x.grantLimiters[n]
		if limiter == nil {
			if x.grantLimiters == nil {
				return nil // this replica does not lead
			}
			limiter = rate.NewLimiter(rate.Every(grantInterval), grantBurst)
			x.grantLimiters[n] = limiter
		}
		if limiter.Allow() {
			granted = append(granted, n)
		}
	}
	return granted
}

// leasesToGrant returns the leases that a command on sessions may free, or that are free already.
func (x *sessions) leasesToGrant(c registry.Command) (names []string) {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	addIfFree := func(id, name string) {
		if lease, ok := x.machine.state.Lease(
			name,
		); !ok && c.Op == registry.OpCampaign ||
			ok && (lease.Holder == id || lease.Holder == "") && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	switch c.Op {
	case registry.OpCampaign, registry.OpRelease:
		for _, candidacy := range c.Candidacies {
			addIfFree(c.Session.ID, candidacy.Lease)
		}
	case registry.OpCloseSessions:
		for _, id := range c.Sessions {
			leases, _ := x.machine.state.Leases(id)
			for _, lease := range leases {
				addIfFree(id, lease.Name)
			}
		}
	}
	return names
}

// applyWithGrants applies a command on sessions or leases. The command also grants the leases that it frees,
// as far as the rate limit allows.
func (x *sessions) applyWithGrants(c registry.Command) (registry.Result, error) {
	c.Grant = x.takeGrants(x.leasesToGrant(c))
	return x.apply(c)
}

// run closes expired sessions and makes delayed grants of leases, until ctx ends.
func (x *sessions) run(ctx context.Context) {
	checkPeriodically(ctx, x.now, func(time.Duration) { x.restartAll() }, x.expireDue)
}

// restartAll restarts the TTL of every session that is not being closed.
func (x *sessions) restartAll() {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	renewable := slices.DeleteFunc(
		x.machine.state.Sessions(),
		func(s registry.Session) bool { return x.closing[s.ID] },
	)
	x.deadlines = registry.NewSessionExpiry(renewable, x.now())
}

// expireDue closes expired sessions and grants free leases that have candidates.
func (x *sessions) expireDue(now time.Duration) {
	x.mu.Lock()
	if x.deadlines == nil {
		x.mu.Unlock()
		return
	}
	for _, id := range x.deadlines.Due(now) {
		x.closing[id] = true
		x.expired++
		x.log.Info("session expired", "session", id)
	}
	var ids []string
	for id := range x.closing {
		ids = append(ids, id)
	}
	x.mu.Unlock()
	if len(ids) > 0 {
		slices.Sort(ids)
		if _, err := x.applyWithGrants(registry.Command{Op: registry.OpCloseSessions, Sessions: ids}); err != nil {
			x.log.Warn("closing expired sessions failed", "sessions", len(ids), "err", err)
		}
	}
	x.machine.mu.RLock()
	waiting := x.machine.state.UnheldLeases()
	x.machine.mu.RUnlock()
	if grants := x.takeGrants(waiting); len(grants) > 0 {
		if _, err := x.apply(registry.Command{Op: registry.OpGrant, Grant: grants}); err != nil {
			x.log.Warn("granting leases failed", "duties", len(grants), "err", err)
		}
	}
}

// expiredCount returns how many sessions have expired at this replica.
func (x *sessions) expiredCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.expired
}

// verifyLeadership checks with a quorum that this replica still leads.
func (r *replica) verifyLeadership() error {
	if err := r.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}
