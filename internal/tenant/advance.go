package tenant

import (
	"fmt"
	"time"
)

// advance moves a tenant on when what it waits for has come, or its time has.
func (m *StateMachine) advance(r *round, t *Tenant) {
	e := m.entries[t.Name]
	if t.State.isSettled() {
		m.expireTombstone(r, t)
		return
	}
	if !entryOf(t).equivalent(e) {
		return // what is on record is not published yet: a controller died between
	}
	switch t.State {
	case Reserved:
		if m.waitForMembers(r, t, e) {
			m.applyNext(r, t)
		} else if m.orderExpired(r, t) {
			m.reject(r, t, m.lateMembers(t))
		}
	case Changing:
		if m.waitForMembers(r, t, e) {
			if why := m.recheck(r, t); why != "" {
				m.revert(r, t, why)
				return
			}
			m.setState(r, t, Switching)
		} else if m.orderExpired(r, t) {
			m.revert(r, t, m.lateMembers(t))
		}
	case Switching:
		if m.waitForMembers(r, t, e) {
			m.applyNext(r, t)
		} else if r.now-m.stateSince[t.Name] >= m.times.Switch {
			m.setState(r, t, Changing) // nobody has served the next spec: the present one is served again
		}
	case Draining:
		if m.waitForMembers(r, t, e) {
			m.setState(r, t, Removed)
			t.finish("")
			t.ExpiresAt = m.clockAt(r.now) + m.times.Tombstone
		}
	}
}

// waitForMembers reports whether all that are needed have taken the tenant's entry up.
func (m *StateMachine) waitForMembers(r *round, t *Tenant, e *Entry) bool {
	m.waitingFor[t.Name] = m.membersBehind(r, e.Since, t.State.waitScope(), e.drainTime())
	return len(m.waitingFor[t.Name]) == 0
}

// applyNext puts the next spec into effect, or begins the drain where there is none.
func (m *StateMachine) applyNext(r *round, t *Tenant) {
	if t.State == Reserved {
		if why := m.recheck(r, t); why != "" {
			m.reject(r, t, why)
			return
		}
	}
	if t.Next == nil {
		m.setState(r, t, Draining)
		return
	}
	t.Current, t.Next = t.Next, nil
	t.finish("")
	m.settle(r, t)
}

// settle puts a tenant into the state that its spec in effect says.
func (m *StateMachine) settle(r *round, t *Tenant) {
	state := Active
	if t.Current.Suspended {
		state = Suspended
	}
	m.setState(r, t, state)
}

// orderExpired reports whether the order that a tenant follows has had its time.
func (m *StateMachine) orderExpired(r *round, t *Tenant) bool {
	return r.now-m.orderSeenAt[t.Name] >= m.prepareTimeout()
}

func (m *StateMachine) lateMembers(t *Tenant) string {
	return fmt.Sprintf("taken back: %s had not taken it up in time", joinNames(m.waitingFor[t.Name]))
}

// revert leaves a tenant as it was before its order.
func (m *StateMachine) revert(r *round, t *Tenant, why string) {
	t.Next = nil
	t.finish(why)
	m.settle(r, t)
}

// reject ends a tenant that never was: nobody has served it.
func (m *StateMachine) reject(r *round, t *Tenant, why string) {
	t.Current, t.Next, t.ExpiresAt = nil, nil, m.clockAt(r.now)+m.times.Tombstone
	t.finish(why)
	m.setState(r, t, Rejected)
}

// expireTombstone takes a tombstone or a refusal off the record in its time.
func (m *StateMachine) expireTombstone(r *round, t *Tenant) {
	if t.ExpiresAt > 0 && m.clockAt(r.now) >= t.ExpiresAt {
		r.removed[t.Name] = true
	}
}

// takeOrder follows an order that waits, or says on record why not. An order that is on
// record as taken is only cleared away.
func (m *StateMachine) takeOrder(r *round, a PendingOrder) {
	if a.Order.Op == OrderForgetMember {
		m.forgetMember(r, a)
		return
	}
	t := m.tenants[a.Name]
	if t != nil && (!t.State.isSettled() || r.removed[a.Name] || !entryOf(t).equivalent(m.entries[a.Name])) {
		return // in order: after the one before is done, and published
	}
	if t == nil {
		if len(m.tenants) >= m.maxTenants() {
			return // it waits for capacity
		}
		if CheckName(a.Name) != nil { // no record can say why; the operator's command has rejected it before
			r.writes = append(r.writes, RecordWrite{Stage: stageAfter, Key: a.Key, Version: a.Version})
			return
		}
		t = &Tenant{Format: format, Name: a.Name, State: Rejected, ExpiresAt: m.clockAt(r.now) + m.times.Tombstone}
		m.tenants[a.Name] = t
	}
	if a.Order.ID != t.Order {
		t.Order = a.Order.ID
		m.orderSeenAt[a.Name] = r.now
		r.changed[a.Name] = true
		if why := m.startOrder(r, t, a.Order); why != "" {
			t.finish(why)
		}
	}
	r.writes = append(r.writes, RecordWrite{Stage: stageAfter, Key: a.Key, Version: a.Version})
}

// startOrder begins what an order asks for; it says why if it does not.
func (m *StateMachine) startOrder(r *round, t *Tenant, o Order) (why string) {
	alive := t.State == Active || t.State == Suspended
	if o.Op != OrderAdd && !alive {
		return fmt.Sprintf("%s: the tenant is %s", o.Op, t.State)
	}
	var next *Spec
	switch o.Op {
	case OrderAdd, OrderChange:
		next = o.Spec
	case OrderSuspend, OrderResume:
		copied := *t.Current
		copied.Suspended = o.Op == OrderSuspend
		next = &copied
	case OrderRemove:
		m.setState(r, t, Changing)
		return ""
	default:
		return fmt.Sprintf("%q is no order", o.Op)
	}
	switch {
	case o.Op == OrderAdd && t.State == Removed:
		return fmt.Sprintf("add: its tombstone stays for %v", (t.ExpiresAt - m.clockAt(r.now)).Round(time.Second))
	case o.Op == OrderAdd && alive:
		return "add: there is one already"
	}
	if o.Op != OrderSuspend { // which must go, whatever is amiss
		if why := m.check(r, t, next); why != "" {
			return why
		}
	}
	next.PolicyVersion, t.Next, t.ExpiresAt = r.Policy.Version, next, 0
	if o.Op == OrderAdd {
		m.setState(r, t, Reserved)
	} else {
		m.setState(r, t, Changing)
	}
	for _, limit := range m.claims.add(t) { // the next order of this round sees it
		r.floorSum += r.Policy.Floors[limit]
	}
	return ""
}
