package tenant

import (
	"fmt"
	"time"
)

// advance moves a tenant to its next state if the members that it waits for are ready, or if the time limit
// of its state has passed.
func (m *StateMachine) advance(r *round, t *Tenant) {
	entry := m.entries[t.Name]
	if t.State.isSettled() {
		m.expireTombstone(r, t)
		return
	}
	if !entryOf(t).equivalent(entry) {
		return // the state is on record and not yet in the catalogue: a controller failed between the two writes
	}
	switch t.State {
	case Reserved:
		if m.waitForMembers(r, t, entry) {
			m.applyNext(r, t)
		} else if m.orderExpired(r, t) {
			m.reject(r, t, m.lateMembersReason(t))
		}
	case Changing:
		if m.waitForMembers(r, t, entry) {
			if reason := m.recheck(r, t); reason != "" {
				m.revert(r, t, reason)
				return
			}
			m.setState(r, t, Switching)
		} else if m.orderExpired(r, t) {
			m.revert(r, t, m.lateMembersReason(t))
		}
	case Switching:
		if m.waitForMembers(r, t, entry) {
			m.applyNext(r, t)
		} else if r.now-m.stateSince[t.Name] >= m.times.Switch {
			m.setState(r, t, Changing) // no proxy has served the next spec, so the current one may be served again
		}
	case Draining:
		if m.waitForMembers(r, t, entry) {
			m.setState(r, t, Removed)
			t.recordOutcome("")
			t.ExpiresAt = m.clockAt(r.now) + m.times.Tombstone
		}
	}
}

// waitForMembers reports whether all members that the tenant's state waits for have applied its entry. It
// records in waitingFor the members that have not.
func (m *StateMachine) waitForMembers(r *round, t *Tenant, entry *Entry) bool {
	m.waitingFor[t.Name] = m.membersBehind(r, entry.Since, t.State.waitScope(), entry.drainTime())
	return len(m.waitingFor[t.Name]) == 0
}

// applyNext puts the next spec into effect, or begins the drain if there is none.
func (m *StateMachine) applyNext(r *round, t *Tenant) {
	if t.State == Reserved {
		if reason := m.recheck(r, t); reason != "" {
			m.reject(r, t, reason)
			return
		}
	}
	if t.Next == nil {
		m.setState(r, t, Draining)
		return
	}
	t.Current, t.Next = t.Next, nil
	t.recordOutcome("")
	m.settle(r, t)
}

// settle sets a tenant's state to Active or Suspended, by its current spec.
func (m *StateMachine) settle(r *round, t *Tenant) {
	state := Active
	if t.Current.Suspended {
		state = Suspended
	}
	m.setState(r, t, state)
}

// orderExpired reports whether a tenant's order has waited for longer than the prepare timeout.
func (m *StateMachine) orderExpired(r *round, t *Tenant) bool {
	return r.now-m.orderSeenAt[t.Name] >= m.prepareTimeout()
}

// lateMembersReason returns the outcome's reason for an order that members have not prepared in time.
func (m *StateMachine) lateMembersReason(t *Tenant) string {
	return fmt.Sprintf("taken back: %s had not taken it up in time", summarizeNames(m.waitingFor[t.Name]))
}

// revert drops a tenant's next spec and returns the tenant to the state before its order.
func (m *StateMachine) revert(r *round, t *Tenant, reason string) {
	t.Next = nil
	t.recordOutcome(reason)
	m.settle(r, t)
}

// reject ends the order to add a tenant that no proxy has served.
func (m *StateMachine) reject(r *round, t *Tenant, reason string) {
	t.Current, t.Next, t.ExpiresAt = nil, nil, m.clockAt(r.now)+m.times.Tombstone
	t.recordOutcome(reason)
	m.setState(r, t, Rejected)
}

// expireTombstone deletes the record of a removed or rejected tenant when it expires.
func (m *StateMachine) expireTombstone(r *round, t *Tenant) {
	if t.ExpiresAt > 0 && m.clockAt(r.now) >= t.ExpiresAt {
		r.removed[t.Name] = true
	}
}

// takeOrder starts a pending order, or records the reason why it can't be started, and deletes the order's
// record. If the tenant's record already has the order's id, takeOrder only deletes the order's record.
func (m *StateMachine) takeOrder(r *round, pending PendingOrder) {
	if pending.Order.Op == OrderForgetMember {
		m.forgetMember(r, pending)
		return
	}
	t := m.tenants[pending.Name]
	if t != nil &&
		(!t.State.isSettled() || r.removed[pending.Name] || !entryOf(t).equivalent(m.entries[pending.Name])) {
		return // the previous order has to be done and published first
	}
	if t == nil {
		if len(m.tenants) >= m.maxTenants() {
			return // the order waits until there is capacity for another tenant
		}
		if CheckName(pending.Name) != nil { // no record can have this name; the operator's command rejects it
			r.writes = append(r.writes, RecordWrite{Stage: stageCleanup, Key: pending.Key, Version: pending.Version})
			return
		}
		t = &Tenant{
			Format:    documentFormat,
			Name:      pending.Name,
			State:     Rejected,
			ExpiresAt: m.clockAt(r.now) + m.times.Tombstone,
		}
		m.tenants[pending.Name] = t
	}
	if pending.Order.ID != t.Order {
		t.Order = pending.Order.ID
		m.orderSeenAt[pending.Name] = r.now
		r.changed[pending.Name] = true
		if reason := m.startOrder(r, t, pending.Order); reason != "" {
			t.recordOutcome(reason)
		}
	}
	r.writes = append(r.writes, RecordWrite{Stage: stageCleanup, Key: pending.Key, Version: pending.Version})
}

// startOrder starts an order. It returns the reason if it rejects the order, and "" otherwise.
func (m *StateMachine) startOrder(r *round, t *Tenant, order Order) (reason string) {
	served := t.State == Active || t.State == Suspended
	if order.Op != OrderAdd && !served {
		return fmt.Sprintf("%s: the tenant is %s", order.Op, t.State)
	}
	var next *Spec
	switch order.Op {
	case OrderAdd, OrderChange:
		next = order.Spec
	case OrderSuspend, OrderResume:
		copied := *t.Current
		copied.Suspended = order.Op == OrderSuspend
		next = &copied
	case OrderRemove:
		m.setState(r, t, Changing)
		return ""
	default:
		return fmt.Sprintf("%q is no order", order.Op)
	}
	switch {
	case order.Op == OrderAdd && t.State == Removed:
		return fmt.Sprintf("add: its tombstone stays for %v", (t.ExpiresAt - m.clockAt(r.now)).Round(time.Second))
	case order.Op == OrderAdd && served:
		return "add: there is one already"
	}
	if order.Op != OrderSuspend { // a tenant must be suspended even if its spec is no longer valid
		if reason := m.check(r, t, next); reason != "" {
			return reason
		}
	}
	next.PolicyVersion, t.Next, t.ExpiresAt = r.Policy.Version, next, 0
	if order.Op == OrderAdd {
		m.setState(r, t, Reserved)
	} else {
		m.setState(r, t, Changing)
	}
	for _, limit := range m.claims.add(t) { // later orders of this round are checked against these floors, too
		r.floorSum += r.Policy.Floors[limit]
	}
	return ""
}
