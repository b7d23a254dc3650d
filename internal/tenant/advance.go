package tenant

import (
	"fmt"
	"time"
)

// advance moves a tenant on when what it waits for has come, or its time has.
func (m *Machine) advance(r *round, t *Tenant) {
	e := m.entries[t.Name]
	if t.State.rests() {
		m.bury(r, t)
		return
	}
	if !entryOf(t).same(e) {
		return // what is on record is not published yet: a conductor died between
	}
	switch t.State {
	case Reserved:
		if m.waitFor(r, t, e) {
			m.settle(r, t)
		} else if m.late(r, t) {
			m.refuse(r, t, m.whoIsLate(t))
		}
	case Changing:
		if m.waitFor(r, t, e) {
			if why := m.recheck(r, t); why != "" {
				m.takeBack(r, t, why)
				return
			}
			m.enter(r, t, Switching)
		} else if m.late(r, t) {
			m.takeBack(r, t, m.whoIsLate(t))
		}
	case Switching:
		if m.waitFor(r, t, e) {
			m.settle(r, t)
		} else if r.now-m.since[t.Name] >= m.times.Switch {
			m.enter(r, t, Changing) // nobody has served the next form: the present one is served again
		}
	case Draining:
		if m.waitFor(r, t, e) {
			m.enter(r, t, Gone)
			t.finish("")
			t.Until = m.clockAt(r.now) + m.times.Tomb
		}
	}
}

// waitFor tells whether all that are needed have taken the tenant's entry up.
func (m *Machine) waitFor(r *round, t *Tenant, e *Entry) bool {
	m.waits[t.Name] = m.behind(r, e.Since, t.State.need(), e.drain())
	return len(m.waits[t.Name]) == 0
}

// settle puts the next form into effect, or begins the drain where there is none.
func (m *Machine) settle(r *round, t *Tenant) {
	if t.State == Reserved {
		if why := m.recheck(r, t); why != "" {
			m.refuse(r, t, why)
			return
		}
	}
	if t.Next == nil {
		m.enter(r, t, Draining)
		return
	}
	t.Now, t.Next = t.Next, nil
	t.finish("")
	m.rest(r, t)
}

// rest puts a tenant into the state that its form in effect says.
func (m *Machine) rest(r *round, t *Tenant) {
	state := Active
	if t.Now.Suspended {
		state = Suspended
	}
	m.enter(r, t, state)
}

// late tells whether the order that a tenant follows has had its time.
func (m *Machine) late(r *round, t *Tenant) bool { return r.now-m.asked[t.Name] >= m.patience() }

func (m *Machine) whoIsLate(t *Tenant) string {
	return fmt.Sprintf("taken back: %s had not taken it up in time", names(m.waits[t.Name]))
}

// takeBack leaves a tenant as it was before its order.
func (m *Machine) takeBack(r *round, t *Tenant, why string) {
	t.Next = nil
	t.finish(why)
	m.rest(r, t)
}

// refuse ends a tenant that never was: nobody has served it.
func (m *Machine) refuse(r *round, t *Tenant, why string) {
	t.Now, t.Next, t.Until = nil, nil, m.clockAt(r.now)+m.times.Tomb
	t.finish(why)
	m.enter(r, t, Refused)
}

// bury takes a tombstone or a refusal off the record in its time.
func (m *Machine) bury(r *round, t *Tenant) {
	if t.Until > 0 && m.clockAt(r.now) >= t.Until {
		r.gone[t.Name] = true
	}
}

// take follows an order that waits, or says on record why not. An order that is on
// record as taken is only cleared away.
func (m *Machine) take(r *round, a Ask) {
	if a.Order.Do == Forget {
		m.forget(r, a)
		return
	}
	t := m.tenants[a.Name]
	if t != nil && (!t.State.rests() || r.gone[a.Name] || !entryOf(t).same(m.entries[a.Name])) {
		return // in order: after the one before is done, and published
	}
	if t == nil {
		if len(m.tenants) >= m.most() {
			return // it waits for room
		}
		if CheckName(a.Name) != nil { // no record can say why; who asks by Tell is told before
			r.puts = append(r.puts, Put{Stage: stageAfter, Key: a.Key, Version: a.Version})
			return
		}
		t = &Tenant{V: form, Name: a.Name, State: Refused, Until: m.clockAt(r.now) + m.times.Tomb}
		m.tenants[a.Name] = t
	}
	if a.Order.ID != t.Order {
		t.Order = a.Order.ID
		m.asked[a.Name] = r.now
		r.changed[a.Name] = true
		if why := m.follow(r, t, a.Order); why != "" {
			t.finish(why)
		}
	}
	r.puts = append(r.puts, Put{Stage: stageAfter, Key: a.Key, Version: a.Version})
}

// follow begins what an order asks for; it says why if it does not.
func (m *Machine) follow(r *round, t *Tenant, o Order) (why string) {
	alive := t.State == Active || t.State == Suspended
	if o.Do != Add && !alive {
		return fmt.Sprintf("%s: the tenant is %s", o.Do, t.State)
	}
	var next *Form
	switch o.Do {
	case Add, Change:
		next = o.Form
	case Suspend, Resume:
		copied := *t.Now
		copied.Suspended = o.Do == Suspend
		next = &copied
	case Remove:
		m.enter(r, t, Changing)
		return ""
	default:
		return fmt.Sprintf("%q is no order", o.Do)
	}
	switch {
	case o.Do == Add && t.State == Gone:
		return fmt.Sprintf("add: its tombstone stays for %v", (t.Until - m.clockAt(r.now)).Round(time.Second))
	case o.Do == Add && alive:
		return "add: there is one already"
	}
	if o.Do != Suspend { // which must go, whatever is amiss
		if why := m.check(r, t, next); why != "" {
			return why
		}
	}
	next.Policy, t.Next, t.Until = r.Policy.Version, next, 0
	if o.Do == Add {
		m.enter(r, t, Reserved)
	} else {
		m.enter(r, t, Changing)
	}
	for _, limit := range m.claims.add(t) { // the next order of this round sees it
		r.sum += r.Policy.Floors[limit]
	}
	return ""
}
