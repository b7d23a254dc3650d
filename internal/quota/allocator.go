package quota

import (
	"cmp"
	"slices"
	"time"
)

// AllocatorConfig is what an allocator is started with.
type AllocatorConfig struct {
	Fleet uint32 // the fleet's name as a hash
	Name  string // by which proxies send to the allocator, at most MaxName bytes
}

// Allocator shares the limits out among the proxies, for as long as its process holds the lease. It is pure:
// times are of the process's monotonic clock.
//
// At any time, and for each limit, what it counts for all members together stays within the limit: see count.
// It rests on the lease's fencing token and end, on the record of enrolled proxies and on leases; never on
// membership.
type Allocator struct {
	cfg            AllocatorConfig
	times          times
	now            time.Duration
	limits         *limits
	previousLimits *limits // of the table that proxies may still judge by
	allocations    map[int32]*allocation
	wall           time.Time
	tableSince     time.Duration

	token           uint64
	leaseUntil      time.Duration // the lease may be acted on
	formerLeasesEnd time.Duration // no lease of the previous allocator can be left
	recordKnown     bool          // the record is known under the fencing token
	expectedProxies int           // proxies, by membership
	plannedAt       time.Duration

	members         []*member // by name
	revision        int       // changes when they, their slots or generations, or the table do
	departed        []leave   // the last that left
	recordDirty     bool      // the record is to be written
	recordWrittenAt time.Duration
	writePending    bool
}

// Bounds on what proxies can make the allocator keep, and its pace.
const (
	maxDeparted  = 1024
	planInterval = 50 * time.Millisecond
	writeTimeout = time.Second // a write that nothing was heard of
)

// NewAllocator returns one that holds nothing.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{
		cfg:            cfg,
		times:          defaultTimes(),
		limits:         newLimits(nil, 0),
		previousLimits: newLimits(nil, 0),
		allocations:    map[int32]*allocation{},
		revision:       1,
	}
}

// Handle takes an event and gives what is to be sent and written.
func (a *Allocator) Handle(now time.Duration, e Event) []Action {
	a.now = max(a.now, now)
	switch e := e.(type) {
	case LeaseHeld:
		a.leaseHeld(e)
	case TableChanged:
		a.setTable(e)
	case WallClock:
		a.wall = e.Time
		a.limits.applySchedule(a.wall)
	case ExpectedProxies:
		a.expectedProxies = e.Count
	case RecordRead:
		a.recordRead(e)
	case Forget:
		a.remove(e.Name)
	case Message:
		return append(a.message(e.Data), a.writeRecord()...)
	case Tick:
		a.forgetExpired()
		a.plan()
		return a.writeRecord()
	}
	return nil
}

// mayGrant reports whether grants may be made. What was granted by until has run out a lease, as others see
// it, later.
func (a *Allocator) mayGrant() bool { return a.recordKnown && a.now < a.leaseUntil }

// leaseHeld begins anew under a new fencing token, knowing nothing; under the same one it goes on for longer.
func (a *Allocator) leaseHeld(h LeaseHeld) {
	switch {
	case h.Token < a.token || h.Token == 0:
		return
	case h.Token > a.token:
		a.token = h.Token
		a.recordKnown = false
		a.recordDirty = false
		a.writePending = false
		a.members = nil
		a.departed = nil
		a.allocations = map[int32]*allocation{}
		a.formerLeasesEnd = a.now + a.times.countedLease()
	}
	a.leaseUntil = h.Until
}

// setTable swaps the table. What members have of a limit goes on, by its name.
func (a *Allocator) setTable(e TableChanged) {
	was := a.limits
	a.limits, a.previousLimits = newLimits(e.Current, a.times.drift), was
	if e.Previous != nil {
		a.previousLimits = newLimits(e.Previous, a.times.drift)
	}
	if !a.wall.IsZero() {
		a.limits.applySchedule(a.wall)
	}
	a.revision++
	a.allocations, a.tableSince = map[int32]*allocation{}, a.now
	for _, m := range a.members {
		entries := map[int32]*memberShare{}
		for i, held := range m.shares {
			if next, there := a.limits.byHash[was.all[i].hash]; there {
				entries[next] = held
				a.allocation(next).add(held)
			}
		}
		m.shares = entries
	}
}

func (a *Allocator) message(data []byte) []Action {
	kind, r, err := open(data, a.cfg.Fleet)
	if err != nil || !a.mayGrant() {
		return nil
	}
	switch kind {
	case kindClaim:
		if c, ok := decodeClaim(r); ok {
			return a.answerClaim(c)
		}
	case kindLeave:
		if l, ok := decodeLeave(r); ok {
			a.memberLeft(l)
		}
	}
	return nil
}

// find returns the member of a name and where it is, or where it would be.
func (a *Allocator) find(name string) (int, *member) {
	at, there := slices.BinarySearchFunc(
		a.members,
		name,
		func(m *member, n string) int { return cmp.Compare(m.name, n) },
	)
	if !there {
		return at, nil
	}
	return at, a.members[at]
}

// remove ends all that a name has: it left, or an operator said that it is no more.
func (a *Allocator) remove(name string) {
	at, m := a.find(name)
	if m == nil {
		return
	}
	for i, e := range m.shares {
		a.dropShare(i, e)
	}
	a.members = slices.Delete(a.members, at, at+1)
	a.revision++
	a.recordDirty = a.recordDirty || m.hasSlot
}

func (a *Allocator) memberLeft(l leave) {
	if _, m := a.find(l.name); m == nil || m.generation != l.generation {
		return
	}
	a.remove(l.name)
	a.departed = append(a.departed, l)
	if len(a.departed) > maxDeparted {
		a.departed = slices.Delete(a.departed, 0, maxDeparted/2)
	}
}
