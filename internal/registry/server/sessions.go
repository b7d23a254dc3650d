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

// One lease is granted at most paceBurst times at once, and then once in paceEvery,
// so that candidates that crash in a loop do not pass it around.
const (
	paceBurst = 4
	paceEvery = 2 * time.Second
)

// sessions keeps the deadlines of sessions while this replica leads, and paces grants.
type sessions struct {
	start   time.Time
	machine *machine
	apply   func(registry.Command) (registry.Result, error)
	log     *slog.Logger

	mu        sync.Mutex
	deadlines *registry.SessionExpiry // nil while another leads
	ending    map[string]bool         // due, and not known to have ended: none of them can be renewed
	pace      map[string]*rate.Limiter
	expired   int // so far
}

func (x *sessions) now() time.Duration { return time.Since(x.start) }

// lead begins with the full TTL of every session, once all that was done before is known here.
func (x *sessions) lead() {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadlines, x.ending, x.pace = registry.NewSessionExpiry(
		x.machine.state.Sessions(),
		x.now(),
	), map[string]bool{}, map[string]*rate.Limiter{}
}

func (x *sessions) follow() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deadlines = nil
}

// applied keeps the deadlines in step. The caller holds the machine's lock.
func (x *sessions) applied(c registry.Command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	switch c.Op {
	case registry.OpOpenSession:
		if !x.ending[c.Session.ID] {
			x.deadlines.Set(*c.Session, x.now())
		}
	case registry.OpCloseSessions:
		for _, id := range c.Sessions {
			x.deadlines.Drop(id)
			delete(x.ending, id)
		}
	}
}

// renew restarts the TTL of sessions and lists those that have ended. The caller has proved since the call
// came that this replica leads.
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

// grantable returns those of the leases that may be granted now.
func (x *sessions) grantable(names []string) (may []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, n := range names {
		l := x.pace[n]
		if l == nil {
			if x.pace == nil {
				return nil // it does not lead
			}
			l = rate.NewLimiter(rate.Every(paceEvery), paceBurst)
			x.pace[n] = l
		}
		if l.Allow() {
			may = append(may, n)
		}
	}
	return may
}

// freedLeases names the leases that a command of a session may free, or finds free.
func (x *sessions) freedLeases(c registry.Command) (names []string) {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	look := func(id, name string) {
		if d, ok := x.machine.state.Lease(
			name,
		); !ok && c.Op == registry.OpCampaign ||
			ok && (d.Holder == id || d.Holder == "") && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	switch c.Op {
	case registry.OpCampaign, registry.OpRelease:
		for _, w := range c.Candidacies {
			look(c.Session.ID, w.Lease)
		}
	case registry.OpCloseSessions:
		for _, id := range c.Sessions {
			all, _ := x.machine.state.Leases(id)
			for _, d := range all {
				look(id, d.Name)
			}
		}
	}
	return names
}

// applyPaced applies a command on leases, with leave to grant what it frees as far as the pace allows.
func (x *sessions) applyPaced(c registry.Command) (registry.Result, error) {
	c.Grant = x.grantable(x.freedLeases(c))
	return x.apply(c)
}

// run ends sessions that are due, and grants what was held back, until ctx ends.
func (x *sessions) run(ctx context.Context) {
	every(ctx, x.now, func(time.Duration) { x.restartAll() }, x.expireDue)
}

// restartAll restarts the TTL of every session, but for those that are doomed.
func (x *sessions) restartAll() {
	x.machine.mu.RLock()
	defer x.machine.mu.RUnlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.deadlines == nil {
		return
	}
	all := slices.DeleteFunc(x.machine.state.Sessions(), func(s registry.Session) bool { return x.ending[s.ID] })
	x.deadlines = registry.NewSessionExpiry(all, x.now())
}

func (x *sessions) expireDue(now time.Duration) {
	x.mu.Lock()
	if x.deadlines == nil {
		x.mu.Unlock()
		return
	}
	for _, id := range x.deadlines.Due(now) {
		x.ending[id] = true
		x.expired++
		x.log.Info("session expired", "session", id)
	}
	var ids []string
	for id := range x.ending {
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
	if may := x.grantable(waiting); len(may) > 0 {
		if _, err := x.apply(registry.Command{Op: registry.OpGrant, Grant: may}); err != nil {
			x.log.Warn("granting leases failed", "duties", len(may), "err", err)
		}
	}
}

// figures tells how many sessions have lapsed here.
func (x *sessions) figures() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.expired
}

// verify proves to a quorum that this replica leads now.
func (r *replica) verify() error {
	if err := r.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeading, err)
	}
	return nil
}
