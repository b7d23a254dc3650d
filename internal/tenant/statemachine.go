package tenant

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	drainSlack = time.Second // beyond late: a proxy looks at its drains within it
	// the member record's clock is written so often while a tombstone waits for it
	clockInterval = 10 * time.Second
	maxMembers    = 2000    // members, each with a session of the registry
	maxAhead      = 1 << 32 // a proxy that says to be further ahead of the catalogue is not believed
)

// PolicyFloors is what the machine needs of the current table.
type PolicyFloors struct {
	Version    uint64
	Floors     map[string]float64 // of each limit that a tenant may have
	TotalFloor float64            // all floors together at most
}

// Session is a proxy's session with the registry, open when it was looked at.
type Session struct {
	Proxy  string
	Status Status
}

// Observation is what a controller sees, read from the records as they are, not from membership: who has to
// be waited for rests on it.
type Observation struct {
	Sessions  []Session
	Policy    PolicyFloors
	Endpoints []Endpoint
	Orders    []PendingOrder
}

// Stored is what is on record when a controller begins.
type Stored struct {
	Tenants        []*Tenant
	Head           Head
	HeadVersion    uint64            // 0: there is none
	Snapshot       *Snapshot         // of the head
	Pages          map[string]uint64 // versions by digest
	Members        MemberRecord
	MembersVersion uint64
}

// StateMachine decides the next writes of a controller. It is pure; times are of the
// controller's monotonic clock. One that a write fails for is thrown away: the next
// begins from what is on record.
type StateMachine struct {
	times          Times
	tenants        map[string]*Tenant
	entries        map[string]*Entry  // of the last catalogue
	unsettled      map[string]*Tenant // those that are not settled, or only for a time
	claims         claims
	inTransition   map[string]*Entry // those of them that are not simply served
	tree           *tree             // of it; nil: its pages are to be written anew
	comparedOnce   bool              // all tenants have been compared with it once
	stalePages     []string          // pages on record that it has not: the next one takes them away
	head           Head
	headVersion    uint64
	pages          map[string]uint64 // versions of those on record, by digest
	members        MemberRecord
	membersVersion uint64
	membersDirty   bool // the member record is to be written

	hashTree bool // the catalogue is written as one

	startedAt    time.Duration            // by the controller's clock
	clockAtStart time.Duration            // of the member record, then
	absentSince  map[string]time.Duration // since when a member has had no session
	orderSeenAt  map[string]time.Duration // when this controller saw the order that a tenant follows
	stateSince   map[string]time.Duration // when a tenant came into its state
	waitingFor   map[string][]string      // the members that a tenant waits for
}

// Load begins a controller's work. Waits that were under way begin anew. With hashTree the
// catalogue is written as a hash tree, else flat, whichever it is on record.
func Load(now time.Duration, s Stored, t Times, hashTree bool) *StateMachine {
	m := &StateMachine{
		times:        t,
		hashTree:     hashTree,
		tenants:      map[string]*Tenant{},
		entries:      map[string]*Entry{},
		inTransition: map[string]*Entry{},
		unsettled:    map[string]*Tenant{},
		claims: claims{
			map[string]string{},
			map[string]string{},
			map[string][]claim{},
		},
		head:           s.Head,
		headVersion:    s.HeadVersion,
		pages:          maps.Clone(s.Pages),
		members:        s.Members,
		membersVersion: s.MembersVersion,
		startedAt:      now,
		clockAtStart:   s.Members.Clock,
		absentSince:    map[string]time.Duration{},
		orderSeenAt:    map[string]time.Duration{},
		stateSince:     map[string]time.Duration{},
	}
	if s.Snapshot != nil {
		m.entries = s.Snapshot.byName()
	}
	for name, e := range m.entries {
		if e.Phase != PhaseServe {
			m.inTransition[name] = e
		}
	}
	m.members.Format = format
	for _, one := range s.Tenants {
		m.tenants[one.Name], m.orderSeenAt[one.Name], m.stateSince[one.Name] = one, now, now
		m.tenantSettled(one.Name)
	}
	if m.pages == nil {
		m.pages = map[string]uint64{}
	}
	m.loadTree()
	return m
}

// IsIdle reports whether no tenant is in transition.
func (m *StateMachine) IsIdle() bool {
	for _, t := range m.unsettled {
		if !t.State.isSettled() {
			return false
		}
	}
	return true
}

// round is one look, with the writes that come of it.
type round struct {
	Observation
	now           time.Duration
	sessions      map[string][]Status // by proxy
	changed       map[string]bool     // tenants
	removed       map[string]bool     // records to be taken away
	floorSum      float64             // of the floors that are taken, if
	floorSumKnown bool
	writes        []RecordWrite
}

// Handle returns the writes that a look calls for. All are carried out, and reported by RecordWritten, before
// the next.
func (m *StateMachine) Handle(now time.Duration, l Observation) ([]RecordWrite, error) {
	r := &round{
		Observation: l,
		now:         now,
		sessions:    map[string][]Status{},
		changed:     map[string]bool{},
		removed:     map[string]bool{},
	}
	m.waitingFor = map[string][]string{}
	r.Sessions = slices.Clone(l.Sessions)
	for i, s := range r.Sessions {
		if s.Status.Prepared > m.head.Number+maxAhead {
			s.Status.Prepared, s.Status.DrainedUpTo = 0, 0
			r.Sessions[i] = s
		}
		r.sessions[s.Proxy] = append(r.sessions[s.Proxy], s.Status)
	}
	m.updateMembers(r)
	if !m.wasRestored(r) { // else the statuses are about another catalogue
		for _, name := range slices.Sorted(maps.Keys(m.unsettled)) {
			m.advance(r, m.unsettled[name])
		}
		for _, a := range l.Orders {
			m.takeOrder(r, a)
		}
	}
	if err := m.writeRecords(r); err != nil {
		return nil, err
	}
	if err := m.publish(r); err != nil {
		return nil, err
	}
	for name := range r.changed {
		m.tenantSettled(name)
	}
	for name := range r.removed {
		m.tenantSettled(name)
	}
	slices.SortStableFunc(r.writes, func(a, b RecordWrite) int { return cmp.Compare(a.Stage, b.Stage) })
	return r.writes, nil
}

// RecordWritten tells the version that a write has made.
func (m *StateMachine) RecordWritten(p RecordWrite, version uint64) {
	if digest, is := keyName(p.Key, PagePrefix); is && p.Value != nil {
		m.pages[digest] = version
	}
	switch name, is := keyName(p.Key, Prefix); {
	case p.Key == HeadKey:
		m.headVersion = version
	case p.Key == MembersKey:
		m.membersVersion = version
	case is && m.tenants[name] != nil:
		m.tenants[name].version = version
	}
}

// keyName returns what follows a prefix.
func keyName(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// setState moves a tenant to a state.
func (m *StateMachine) setState(r *round, t *Tenant, s State) {
	t.State, m.stateSince[t.Name] = s, r.now
	r.changed[t.Name] = true
}

// writeRecords writes tenants that changed, and the member record.
func (m *StateMachine) writeRecords(r *round) error {
	for _, name := range slices.Sorted(maps.Keys(r.changed)) {
		t := m.tenants[name]
		raw, err := json.Marshal(t)
		if err != nil {
			return fmt.Errorf("tenant: record of %s: %w", name, err)
		}
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageIntent, Key: Prefix + name, Value: raw, Version: t.version},
		)
	}
	for _, name := range slices.Sorted(maps.Keys(r.removed)) {
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageAfter, Key: Prefix + name, Version: m.tenants[name].version},
		)
		delete(m.tenants, name)
	}
	if m.membersDirty {
		m.members.Clock = m.clockAt(r.now)
		raw, err := json.Marshal(m.members)
		if err != nil {
			return fmt.Errorf("tenant: the members: %w", err)
		}
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageIntent, Key: MembersKey, Value: raw, Version: m.membersVersion},
		)
		m.membersDirty = false
	}
	return nil
}

// clockAt is the controllers' clock.
func (m *StateMachine) clockAt(now time.Duration) time.Duration {
	return m.clockAtStart + now - m.startedAt
}
