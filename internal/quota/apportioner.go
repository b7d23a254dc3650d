package quota

import (
	"cmp"
	"slices"
	"time"
)

// HolderConfig is what an apportioner is started with.
type HolderConfig struct {
	Fleet uint32 // the fleet's name as a hash
	Name  string // by which nodes send to the holder, at most MostName bytes
}

// Apportioner shares the limits out among the nodes, for as long as its process holds the duty. It is pure: times
// are of the process's monotonic clock.
//
// At any time, and for each limit, what it counts for all members together stays within the limit: see count. It
// rests on the duty's fence and end, on the record of enrolled nodes and on leases; never on the view.
type Apportioner struct {
	cfg     HolderConfig
	t       times
	now     time.Duration
	limits  *limits
	before  *limits // of the table that nodes may still judge by
	stocks  map[int32]*stock
	wall    time.Time
	tableAt time.Duration

	fence   uint64
	until   time.Duration // the duty may be acted on
	freeAt  time.Duration // no lease of the former holder can be left
	read    bool          // the record is known under the fence
	expect  int           // nodes, by the view
	planned time.Duration

	members []*member // by name
	stamp   int       // changes when they, their seats or lives, or the table do
	gone    []leave   // the last that left
	dirty   bool      // the record is to be written
	wrote   time.Duration
	writing bool
}

// Bounds on what nodes can make the holder keep, and its pace.
const (
	mostGone   = 1024
	planEvery  = 50 * time.Millisecond
	writeAgain = time.Second // a write that nothing was heard of
)

// NewApportioner gives one that holds nothing.
func NewApportioner(cfg HolderConfig) *Apportioner {
	return &Apportioner{cfg: cfg, t: usual(), limits: newLimits(nil, 0), before: newLimits(nil, 0), stocks: map[int32]*stock{}, stamp: 1}
}

// Handle takes an event and gives what is to be sent and written.
func (a *Apportioner) Handle(now time.Duration, e Event) []Action {
	a.now = max(a.now, now)
	switch e := e.(type) {
	case Held:
		a.hold(e)
	case Table:
		a.take(e)
	case Wall:
		a.wall = e.Time
		a.limits.at(a.wall)
	case Expect:
		a.expect = e.Nodes
	case Record:
		a.recorded(e)
	case Forget:
		a.remove(e.Name)
	case Message:
		return append(a.message(e.Data), a.write()...)
	case Tick:
		a.forget()
		a.plan()
		return a.write()
	}
	return nil
}

// acting says whether grants may be made. What was granted by until has run out a lease, as others see it, later.
func (a *Apportioner) acting() bool { return a.read && a.now < a.until }

// hold begins anew under a new fence, knowing nothing; under the same one it goes on for longer.
func (a *Apportioner) hold(h Held) {
	switch {
	case h.Fence < a.fence || h.Fence == 0:
		return
	case h.Fence > a.fence:
		a.fence, a.read, a.members, a.gone, a.dirty, a.writing = h.Fence, false, nil, nil, false, false
		a.stocks = map[int32]*stock{}
		a.freeAt = a.now + a.t.leased()
	}
	a.until = h.Until
}

// take swaps the table. What members have of a limit goes on, by its name.
func (a *Apportioner) take(e Table) {
	was := a.limits
	a.limits, a.before = newLimits(e.Now, a.t.drift), was
	if e.Before != nil {
		a.before = newLimits(e.Before, a.t.drift)
	}
	if !a.wall.IsZero() {
		a.limits.at(a.wall)
	}
	a.stamp++
	a.stocks, a.tableAt = map[int32]*stock{}, a.now
	for _, m := range a.members {
		entries := map[int32]*entry{}
		for i, held := range m.entries {
			if next, there := a.limits.byHash[was.all[i].hash]; there {
				entries[next] = held
				a.stock(next).add(held)
			}
		}
		m.entries = entries
	}
}

func (a *Apportioner) message(data []byte) []Action {
	kind, r, err := open(data, a.cfg.Fleet)
	if err != nil || !a.acting() {
		return nil
	}
	switch kind {
	case kindClaim:
		if c, ok := readClaim(r); ok {
			return a.claimed(c)
		}
	case kindLeave:
		if l, ok := readLeave(r); ok {
			a.left(l)
		}
	}
	return nil
}

// find gives the member of a name and where it is, or where it would be.
func (a *Apportioner) find(name string) (int, *member) {
	at, there := slices.BinarySearchFunc(a.members, name, func(m *member, n string) int { return cmp.Compare(m.name, n) })
	if !there {
		return at, nil
	}
	return at, a.members[at]
}

// remove ends all that a name has: it left, or an operator said that it is no more.
func (a *Apportioner) remove(name string) {
	at, m := a.find(name)
	if m == nil {
		return
	}
	for i, e := range m.entries {
		a.drop(i, e)
	}
	a.members = slices.Delete(a.members, at, at+1)
	a.stamp++
	a.dirty = a.dirty || m.seated
}

func (a *Apportioner) left(l leave) {
	if _, m := a.find(l.name); m == nil || m.life != l.life {
		return
	}
	a.remove(l.name)
	a.gone = append(a.gone, l)
	if len(a.gone) > mostGone {
		a.gone = slices.Delete(a.gone, 0, mostGone/2)
	}
}
