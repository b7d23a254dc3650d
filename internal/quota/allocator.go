package quota

import (
	"cmp"
	"slices"
	"time"
)

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	Fleet uint32 // hash of the fleet's name
	Name  string // the name by which proxies send to the allocator, at most MaxName bytes
}

// Allocator allocates the limits among the proxies, for as long as its process holds the lease. It is pure:
// the caller passes all times, which are readings of the process's monotonic clock.
//
// At any time, and for each limit, the shares that the allocator counts for all members (see maxShare) add up
// to at most the limit. This depends on the lease's fencing token and end, on the record of enrolled proxies
// and on the granted leases, but never on membership.
type Allocator struct {
	cfg            AllocatorConfig
	times          times
	now            time.Duration
	limits         *limits
	previousLimits *limits                    // of the previous table, which some proxies may still use
	allocations    map[int32]*limitAllocation // by the limit's index
	wallTime       time.Time
	tableChangedAt time.Duration

	token             uint64
	leaseUntil        time.Duration // end of the time in which the allocator may act on the lease
	previousLeasesEnd time.Duration // from this time on, no lease of the previous allocator can be alive
	recordKnown       bool          // the record has been read under the fencing token
	expectedProxies   int           // number of proxies that membership knows
	plannedAt         time.Duration // when the targets were last computed

	members         []*member      // by name
	revision        int            // rises with each change that makes the sums of limits invalid
	departed        []leaveMessage // the last proxies that left, oldest first
	recordDirty     bool           // the record is to be written
	recordWrittenAt time.Duration  // when the last write was requested
	writePending    bool           // the last write has had no result yet
}

const (
	maxDeparted  = 1024                  // number of departed proxies that are remembered
	planInterval = 50 * time.Millisecond // time between two computations of the targets
	writeTimeout = time.Second           // time after which a write without a result is requested again
)

// NewAllocator returns an allocator that does not hold the lease.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{
		cfg:            cfg,
		times:          defaultTimes(),
		limits:         newLimits(nil, 0),
		previousLimits: newLimits(nil, 0),
		allocations:    map[int32]*limitAllocation{},
		revision:       1,
	}
}

// Handle handles an event and returns the datagrams to send and the records to write.
func (a *Allocator) Handle(now time.Duration, e Event) []Action {
	a.now = max(a.now, now)
	switch e := e.(type) {
	case LeaseHeld:
		a.leaseHeld(e)
	case TableChanged:
		a.setTable(e)
	case WallClock:
		a.wallTime = e.Time
		a.limits.applySchedule(a.wallTime)
	case ExpectedProxies:
		a.expectedProxies = e.Count
	case RecordRead:
		a.recordRead(e)
	case Forget:
		a.removeMember(e.Name)
	case Message:
		return append(a.handleDatagram(e.Data), a.writeRecord()...)
	case Tick:
		a.forgetExpired()
		a.plan()
		return a.writeRecord()
	}
	return nil
}

// mayGrant reports whether the allocator may grant leases. The leases that it grants before leaseUntil end at
// most one lease duration, on the proxies' clocks, after leaseUntil.
func (a *Allocator) mayGrant() bool { return a.recordKnown && a.now < a.leaseUntil }

// leaseHeld resets the allocator's state under a new fencing token; under the present token it only extends
// the time in which the allocator may act.
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
		a.allocations = map[int32]*limitAllocation{}
		a.previousLeasesEnd = a.now + a.times.countedLease()
	}
	a.leaseUntil = h.Until
}

// setTable replaces the table. Members keep their shares of the limits whose names are in both tables.
func (a *Allocator) setTable(e TableChanged) {
	previous := a.limits
	a.limits, a.previousLimits = newLimits(e.Current, a.times.drift), previous
	if e.Previous != nil {
		a.previousLimits = newLimits(e.Previous, a.times.drift)
	}
	if !a.wallTime.IsZero() {
		a.limits.applySchedule(a.wallTime)
	}
	a.revision++
	a.allocations, a.tableChangedAt = map[int32]*limitAllocation{}, a.now
	for _, m := range a.members {
		shares := map[int32]*memberShare{}
		for i, share := range m.shares {
			if next, found := a.limits.byHash[previous.byIndex[i].hash]; found {
				shares[next] = share
				a.allocation(next).add(share)
			}
		}
		m.shares = shares
	}
}

// handleDatagram handles claims and leave messages. It drops datagrams that can't be decoded and, while the
// allocator may not grant, all datagrams.
func (a *Allocator) handleDatagram(data []byte) []Action {
	kind, r, err := readHeader(data, a.cfg.Fleet)
	if err != nil || !a.mayGrant() {
		return nil
	}
	switch kind {
	case kindClaim:
		if claim, ok := decodeClaim(r); ok {
			return a.answerClaim(claim)
		}
	case kindLeave:
		if notice, ok := decodeLeave(r); ok {
			a.handleLeave(notice)
		}
	}
	return nil
}

// find returns the member with the name (nil if there is none) and its index in members, or the index at
// which to insert it.
func (a *Allocator) find(name string) (int, *member) {
	at, found := slices.BinarySearchFunc(
		a.members,
		name,
		func(m *member, n string) int { return cmp.Compare(m.name, n) },
	)
	if !found {
		return at, nil
	}
	return at, a.members[at]
}

// removeMember removes a member with its slot and shares. It is called when the proxy has left, or when an
// operator has declared that the proxy will not come back.
func (a *Allocator) removeMember(name string) {
	at, m := a.find(name)
	if m == nil {
		return
	}
	for i, share := range m.shares {
		a.dropShare(i, share)
	}
	a.members = slices.Delete(a.members, at, at+1)
	a.revision++
	a.recordDirty = a.recordDirty || m.hasSlot
}

// handleLeave removes a member that leaves, if the leave is of the member's present generation. It remembers
// the leave, so that late claims of the process that left don't enroll the proxy again.
func (a *Allocator) handleLeave(notice leaveMessage) {
	if _, m := a.find(notice.name); m == nil || m.generation != notice.generation {
		return
	}
	a.removeMember(notice.name)
	a.departed = append(a.departed, notice)
	if len(a.departed) > maxDeparted {
		a.departed = slices.Delete(a.departed, 0, maxDeparted/2)
	}
}
