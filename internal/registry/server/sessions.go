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

// A lease is granted up to grantBurst times without a delay, and then once in grantInterval, so that
// candidates that crash in a loop do not pass it around.
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
	deadlines     *registry.SessionExpiry // nil while another leads
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

// stopLeading drops the deadlines, as another replica leads.
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

// renew restarts the TTL of sessions and returns the ids of those that have ended. ok is false if this
// replica does not lead. The caller has verified, after the request came, that this replica leads.
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

// grantable returns the leases among names that may be granted now, and counts them as granted.
func (x *sessions) grantable(names []string) (granted []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, n := range names {
		l := x.grantLimiters[n]
		if l == nil {
			if x.grantLimiters == nil {
				return nil // this replica does not lead
			}
			l = rate.NewLimiter(rate.Every(grantInterval), grantBurst)
			x.grantLimiters[n] = l
		}
		if l.Allow() {
			granted = append(granted, n)
		}
	}
	return granted
}

// freedLeases returns the leases that a command on sessions may free, or that are free already.
func (x *sessions) freedLeases(c registry.Command) (names []string) {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	addIfFree := func(id, name string) {
		if d, ok := x.machine.state.Lease(
			name,
		); !ok && c.Op == registry.OpCampaign ||
			ok && (d.Holder == id || d.Holder == "") && !slices.Contains(names, name) {
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
			all, _ := x.machine.state.Leases(id)
			for _, d := range all {
				addIfFree(id, d.Name)
			}
		}
	}
	return names
}

// applyPaced applies a command on sessions or leases. The command may grant the leases that it frees, as far
// as the rate limit allows.
func (x *sessions) applyPaced(c registry.Command) (registry.Result, error) {
	c.Grant = x.grantable(x.freedLeases(c))
	return x.apply(c)
}

// run closes expired sessions and grants leases whose grant was delayed, until ctx ends.
func (x *sessions) run(ctx context.Context) {
	checkPeriodically(ctx, x.now, func(time.Duration) { x.restartAll() }, x.expireDue)
}

// restartAll restarts the TTL of every session except those that are being closed.
func (x *sessions) restartAll() {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	all := slices.DeleteFunc(
		x.machine.state.Sessions(),
		func(s registry.Session) bool { return x.closing[s.ID] },
	)
	x.deadlines = registry.NewSessionExpiry(all, x.now())
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
		if _, err := x.applyPaced(registry.Command{Op: registry.OpCloseSessions, Sessions: ids}); err != nil {
			x.log.Warn("closing expired sessions failed", "sessions", len(ids), "err", err)
		}
	}
	x.machine.mu.RLock()
	waiting := x.machine.state.UnheldLeases()
	x.machine.mu.RUnlock()
	if grants := x.grantable(waiting); len(grants) > 0 {
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

// verify checks with a quorum that this replica still leads.
func (r *replica) verify() error {
	if err := r.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}
