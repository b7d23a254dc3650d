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
	// drainSlack is added to the waits for a member to stop, as a proxy checks its drains only at intervals.
	drainSlack = time.Second
	// clockWriteInterval is the interval at which the clock on the member record is written while there is a
	// tombstone that expires by it.
	clockWriteInterval = 10 * time.Second
	maxMembers         = 2000 // each has a session in the registry
	// maxCatalogueLead bounds by how many numbers a proxy's status may be ahead of the catalogue. The
	// numbers of a status beyond the bound count as 0.
	maxCatalogueLead = 1 << 32
)

// PolicyFloors has the part of the current policy table that the state machine needs.
type PolicyFloors struct {
	Version    uint64
	Floors     map[string]float64 // floor of each limit that a tenant may have
	TotalFloor float64            // upper bound of the sum of all tenants' floors
}

// Session is a proxy's session with the registry that was open when it was read.
type Session struct {
	Proxy  string
	Status Status
}

// Observation is the input of a controller's round. It is read from the registry's current records, not from
// membership, as the steps' waits for proxies depend on it.
type Observation struct {
	Sessions  []Session
	Policy    PolicyFloors
	Endpoints []Endpoint
	Orders    []PendingOrder
}

// Stored is the state on record when a controller starts.
type Stored struct {
	Tenants        []*Tenant
	Head           Head
	HeadVersion    uint64            // 0: there is no head
	Snapshot       *Snapshot         // the catalogue of the head
	Pages          map[string]uint64 // versions of the pages' records, by digest
	Members        MemberRecord
	MembersVersion uint64
}

// StateMachine decides the next writes of a controller. It does no I/O and reads no clock; its times are
// those of the controller's monotonic clock. After a write that fails, the controller discards the state
// machine and loads another one from the state on record.
type StateMachine struct {
	times          Times
	tenants        map[string]*Tenant
	entries        map[string]*Entry  // entries of the last catalogue, by tenant
	unsettled      map[string]*Tenant // tenants that are not settled, or whose record expires
	claims         claims
	inTransition   map[string]*Entry // entries of the last catalogue in other phases than PhaseServe
	tree           *tree             // pages of the last catalogue; nil: all pages have to be written
	comparedAll    bool              // all tenants have been compared with the last catalogue once
	stalePages     []string          // digests of pages that fell out of use with the last catalogue
	head           Head
	headVersion    uint64
	pages          map[string]uint64 // versions of the pages on record, by digest
	members        MemberRecord
	membersVersion uint64
	membersDirty   bool // the member record has to be written

	hashTree bool // the catalogue is written as a hash tree

	startedAt    time.Duration            // by the controller's clock
	clockAtStart time.Duration            // MemberRecord.Clock at startedAt
	absentSince  map[string]time.Duration // time since which a member has had no session
	orderSeenAt  map[string]time.Duration // time at which this controller first saw a tenant's current order
	stateSince   map[string]time.Duration // time at which a tenant entered its state
	waitingFor   map[string][]string      // members that a tenant waits for
}

// Load returns a state machine that continues from the state on record. Waits that were in progress start
// again. With hashTree the catalogue is written as a hash tree, otherwise in the flat form, regardless of its
// form on record.
func Load(now time.Duration, stored Stored, times Times, hashTree bool) *StateMachine {
	m := &StateMachine{
		times:        times,
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
		head:           stored.Head,
		headVersion:    stored.HeadVersion,
		pages:          maps.Clone(stored.Pages),
		members:        stored.Members,
		membersVersion: stored.MembersVersion,
		startedAt:      now,
		clockAtStart:   stored.Members.Clock,
		absentSince:    map[string]time.Duration{},
		orderSeenAt:    map[string]time.Duration{},
		stateSince:     map[string]time.Duration{},
	}
	if stored.Snapshot != nil {
		m.entries = stored.Snapshot.byName()
	}
	for name, e := range m.entries {
		if e.Phase != PhaseServe {
			m.inTransition[name] = e
		}
	}
	m.members.Format = documentFormat
	for _, tenant := range stored.Tenants {
		m.tenants[tenant.Name], m.orderSeenAt[tenant.Name], m.stateSince[tenant.Name] = tenant, now, now
		m.reindexTenant(tenant.Name)
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

// round is one observation and the writes that follow from it.
type round struct {
	Observation
	now           time.Duration
	sessions      map[string][]Status // statuses by proxy
	changed       map[string]bool     // tenants whose records have to be written
	removed       map[string]bool     // tenants whose records have to be deleted
	floorSum      float64             // sum of the floors of all claimed limits, if floorSumKnown
	floorSumKnown bool
	writes        []RecordWrite
}

// Handle returns the writes that follow from an observation, sorted by stage. All of them have to be carried
// out, and reported by RecordWritten, before the next call.
func (m *StateMachine) Handle(now time.Duration, observation Observation) ([]RecordWrite, error) {
	r := &round{
		Observation: observation,
		now:         now,
		sessions:    map[string][]Status{},
		changed:     map[string]bool{},
		removed:     map[string]bool{},
	}
	m.waitingFor = map[string][]string{}
	r.Sessions = slices.Clone(observation.Sessions)
	for i, s := range r.Sessions {
		if s.Status.Prepared > m.head.Number+maxCatalogueLead {
			s.Status.Prepared, s.Status.DrainedUpTo = 0, 0
			r.Sessions[i] = s
		}
		r.sessions[s.Proxy] = append(r.sessions[s.Proxy], s.Status)
	}
	m.updateMembers(r)
	if !m.wasRestored(r) { // after a restore, the statuses are about another catalogue
		for _, name := range slices.Sorted(maps.Keys(m.unsettled)) {
			m.advance(r, m.unsettled[name])
		}
		for _, order := range observation.Orders {
			m.takeOrder(r, order)
		}
	}
	if err := m.writeRecords(r); err != nil {
		return nil, err
	}
	if err := m.publish(r); err != nil {
		return nil, err
	}
	for name := range r.changed {
		m.reindexTenant(name)
	}
	for name := range r.removed {
		m.reindexTenant(name)
	}
	slices.SortStableFunc(r.writes, func(a, b RecordWrite) int { return cmp.Compare(a.Stage, b.Stage) })
	return r.writes, nil
}

// RecordWritten reports the record's version after a write.
func (m *StateMachine) RecordWritten(write RecordWrite, version uint64) {
	if digest, ok := keyName(write.Key, PagePrefix); ok && write.Value != nil {
		m.pages[digest] = version
	}
	switch name, ok := keyName(write.Key, TenantPrefix); {
	case write.Key == HeadKey:
		m.headVersion = version
	case write.Key == MembersKey:
		m.membersVersion = version
	case ok && m.tenants[name] != nil:
		m.tenants[name].version = version
	}
}

// keyName returns the part of a key that follows a prefix, and whether the key has the prefix and such a
// part.
func keyName(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// setState moves a tenant to a state, and marks its record to be written.
func (m *StateMachine) setState(r *round, t *Tenant, state State) {
	t.State, m.stateSince[t.Name] = state, r.now
	r.changed[t.Name] = true
}

// writeRecords adds the writes of changed and removed tenants and, if it has changed, of the member record.
func (m *StateMachine) writeRecords(r *round) error {
	for _, name := range slices.Sorted(maps.Keys(r.changed)) {
		t := m.tenants[name]
		raw, err := json.Marshal(t)
		if err != nil {
			return fmt.Errorf("tenant: encode record of tenant %s: %w", name, err)
		}
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageIntent, Key: TenantPrefix + name, Value: raw, Version: t.version},
		)
	}
	for _, name := range slices.Sorted(maps.Keys(r.removed)) {
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageCleanup, Key: TenantPrefix + name, Version: m.tenants[name].version},
		)
		delete(m.tenants, name)
	}
	if m.membersDirty {
		m.members.Clock = m.clockAt(r.now)
		raw, err := json.Marshal(m.members)
		if err != nil {
			return fmt.Errorf("tenant: encode member record: %w", err)
		}
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stageIntent, Key: MembersKey, Value: raw, Version: m.membersVersion},
		)
		m.membersDirty = false
	}
	return nil
}

// clockAt returns the time of the controllers' clock.
func (m *StateMachine) clockAt(now time.Duration) time.Duration {
	return m.clockAtStart + now - m.startedAt
}
