package balancer

// What a module keeps of the operators' tables, and how a request comes to them. What they decide is in limits.go.

import "time"

// Events of the operators' limits.
type (
	// TableChanged brings a table of limits, which must be ready, and the node's tokens of it. Nil takes the table away.
	// The requests that are open give back to the hand that they took from.
	TableChanged struct {
		Table  *Table
		Hand   Hand
		Shadow bool // it is tried: it counts what it would do, beside the one that holds
	}
	// LevelChanged brings the level of degradation, 0 for none.
	LevelChanged struct{ Level int }
)

func (TableChanged) event() {}
func (LevelChanged) event() {}

// Tally counts what a table has said since it came.
type Tally struct {
	Asked, Refused uint64
	Apart          uint64   // of Asked: the table that holds said otherwise
	By             []uint64 // refused, by limit; the last is by level of degradation
}

// limiter is a table with the node's tokens of it.
type limiter struct {
	table *Table
	hand  Hand
	tally Tally
	of    map[string]string // by variant: its class
}

// grant is what a request holds of a table's limits on open requests.
type grant struct {
	hand Hand
	held Held
}

// Tallies gives the counts of the table that holds and of the one that is tried. They are read between events.
func (m *Module) Tallies() (holds, tried Tally) { return m.limits[0].tally, m.limits[1].tally }

func (m *Module) take(e TableChanged) {
	l := limiter{table: e.Table, hand: e.Hand, of: m.limits[0].of}
	if e.Table != nil {
		l.tally.By = make([]uint64, len(e.Table.Limits)+1)
	}
	if e.Shadow {
		m.limits[1] = l
	} else {
		m.limits[0] = l
	}
}

// nameVariants tells the limits of the variants of classes in the settings, and in those before.
func (m *Module) nameVariants() {
	of := map[string]string{}
	for _, all := range []map[string]*class{m.former, m.classes} {
		for _, c := range all {
			if c.Of != "" {
				of[c.Name] = c.Of
			}
		}
	}
	m.limits[0].of, m.limits[1].of = of, of
}

// judge asks a table and counts what it says.
func (l *limiter) judge(a Ask) Verdict {
	if l.table == nil {
		return Verdict{OK: true}
	}
	if class, variant := l.of[a.Class]; variant {
		a.Class = class
	}
	v := l.table.Admit(a, l.hand)
	if l.tally.Asked++; !v.OK {
		l.tally.Refused++
		l.tally.By[(v.Limit+len(l.tally.By))%len(l.tally.By)]++
	}
	return v
}

// release gives back what a request held while it was open.
func (r *request) release() {
	for _, g := range r.grants {
		if g.held.count > 0 {
			g.held.Release(g.hand)
		}
	}
}

// Release gives back what an admitted request held while it was open. It is called once.
func (held Held) Release(h Hand) {
	for _, at := range held.limits[:held.count] {
		h.Give(int(at), 1)
	}
}

// permit asks the table that holds and the one that is tried. The latter's word only counts.
func (m *Module) permit(r *request, e *RequestArrived) bool {
	if m.limits[0].table == nil && m.limits[1].table == nil {
		return true
	}
	a := Ask{Site: m.set.Zone, Book: e.Tenant, Class: e.Class, Key: e.Key, Repeat: e.Repeat,
		Priority: r.priority, Cost: time.Duration(r.class.hint * float64(time.Second)), Level: m.level}
	if e.HasHint {
		a.Cost = e.WorkHint
	}
	v, tried := m.limits[0].judge(a), m.limits[1].judge(a)
	if m.limits[1].table != nil && v.OK != tried.OK {
		m.limits[1].tally.Apart++
	}
	r.grants = [2]grant{{m.limits[0].hand, v.Held}, {m.limits[1].hand, tried.Held}}
	if !v.OK {
		m.do(Refuse{ID: r.id, HoldOff: min(m.jitter(v.RetryAfter), m.set.MaxHoldOff), Status: v.Status})
		m.close(r)
	}
	return v.OK
}
