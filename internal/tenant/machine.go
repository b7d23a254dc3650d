package tenant

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Times of a conductor's waits. docs/tenants.md has what ends each.
type Times struct {
	Prepare time.Duration // from an order's taking: nodes that have not prepared it by then have it taken back
	Switch  time.Duration // of 503 for what differs; after it the former form is served again, and it is prepared anew
	Tomb    time.Duration // names of one that is gone, or was refused, stay on record so long
}

// DefaultTimes are those of a conductor that is told no others. Switch is ten times
// what a node needs to hear of a catalogue when it polls each half second.
func DefaultTimes() Times {
	return Times{Prepare: 30 * time.Second, Switch: 5 * time.Second, Tomb: 10 * time.Minute}
}

const (
	cutSlack   = time.Second      // beyond late: a node looks at its drains within it
	clockEvery = 10 * time.Second // the book's clock is written so often while a tombstone waits for it
	enrolMost  = 2000             // members, each with a session of the list service
	mostAhead  = 1 << 32          // a node that says to be further ahead of the catalogue is not believed
)

// Policy is what the machine needs of the current table.
type Policy struct {
	Version uint64
	Floors  map[string]float64 // of each limit that a tenant may have
	Whole   float64            // all floors together at most
}

// Session is a node's session with the list service, open when it was looked at.
type Session struct {
	Node string
	Word Word
}

// Look is what a conductor sees, read from the records as they are, not from the view:
// who has to be waited for rests on it.
type Look struct {
	Sessions []Session
	Policy   Policy
	Boxes    []Box
	Asks     []Ask
}

// Stored is what is on record when a conductor begins.
type Stored struct {
	Tenants     []*Tenant
	Head        Head
	HeadVersion uint64            // 0: there is none
	Image       *Image            // of the head
	Pages       map[string]uint64 // versions by digest
	Book        Book
	BookVersion uint64
}

// Machine decides the next writes of a conductor. It is pure; times are of the
// conductor's monotonic clock. One that a write fails for is thrown away: the next
// begins from what is on record.
type Machine struct {
	times   Times
	tenants map[string]*Tenant
	entries map[string]*Entry  // of the last catalogue
	live    map[string]*Tenant // those that do not rest, or rest for a time
	claims  claims
	moving  map[string]*Entry // those of them that are not simply served
	tree    *tree             // of it; nil: its pages are to be written anew
	looked  bool              // all tenants have been compared with it once
	left    []string          // pages on record that it has not: the next one takes them away
	head    Head
	headVer uint64
	pages   map[string]uint64 // versions of those on record, by digest
	book    Book
	bookVer uint64
	dirty   bool // the book is to be written

	hashTree bool // the catalogue is written as one

	start  time.Duration            // by the conductor's clock
	clock  time.Duration            // of the book, then
	absent map[string]time.Duration // since when a member has had no session
	asked  map[string]time.Duration // when this conductor saw the order that a tenant follows
	since  map[string]time.Duration // when a tenant came into its state
	waits  map[string][]string      // the members that a tenant waits for
}

// Load begins a conductor's work. Waits that were under way begin anew. With hashTree the
// catalogue is written as a hash tree, else flat, whichever it is on record.
func Load(now time.Duration, s Stored, t Times, hashTree bool) *Machine {
	m := &Machine{times: t, hashTree: hashTree, tenants: map[string]*Tenant{}, entries: map[string]*Entry{}, moving: map[string]*Entry{}, live: map[string]*Tenant{},
		claims: claims{map[string]string{}, map[string]string{}, map[string][]claim{}}, head: s.Head, headVer: s.HeadVersion, pages: maps.Clone(s.Pages), book: s.Book, bookVer: s.BookVersion,
		start: now, clock: s.Book.Clock, absent: map[string]time.Duration{}, asked: map[string]time.Duration{}, since: map[string]time.Duration{}}
	if s.Image != nil {
		m.entries = s.Image.byName()
	}
	for name, e := range m.entries {
		if e.Phase != Serve {
			m.moving[name] = e
		}
	}
	m.book.V = form
	for _, one := range s.Tenants {
		m.tenants[one.Name], m.asked[one.Name], m.since[one.Name] = one, now, now
		m.settled(one.Name)
	}
	if m.pages == nil {
		m.pages = map[string]uint64{}
	}
	m.plant()
	return m
}

// Rests tells whether no tenant is on its way.
func (m *Machine) Rests() bool {
	for _, t := range m.live {
		if !t.State.rests() {
			return false
		}
	}
	return true
}

// round is one look, with the writes that come of it.
type round struct {
	Look
	now      time.Duration
	sessions map[string][]Word // by node
	changed  map[string]bool   // tenants
	gone     map[string]bool   // records to be taken away
	sum      float64           // of the floors that are taken, if
	summed   bool
	puts     []Put
}

// Handle gives the writes that a look calls for. All are carried out, and told by
// Wrote, before the next.
func (m *Machine) Handle(now time.Duration, l Look) ([]Put, error) {
	r := &round{Look: l, now: now, sessions: map[string][]Word{}, changed: map[string]bool{}, gone: map[string]bool{}}
	m.waits = map[string][]string{}
	r.Sessions = slices.Clone(l.Sessions)
	for i, s := range r.Sessions {
		if s.Word.Prepared > m.head.Number+mostAhead {
			s.Word.Prepared, s.Word.Ended = 0, 0
			r.Sessions[i] = s
		}
		r.sessions[s.Node] = append(r.sessions[s.Node], s.Word)
	}
	m.enrol(r)
	if !m.restored(r) { // else the words are about another catalogue
		for _, name := range slices.Sorted(maps.Keys(m.live)) {
			m.advance(r, m.live[name])
		}
		for _, a := range l.Asks {
			m.take(r, a)
		}
	}
	if err := m.record(r); err != nil {
		return nil, err
	}
	if err := m.publish(r); err != nil {
		return nil, err
	}
	for name := range r.changed {
		m.settled(name)
	}
	for name := range r.gone {
		m.settled(name)
	}
	slices.SortStableFunc(r.puts, func(a, b Put) int { return cmp.Compare(a.Stage, b.Stage) })
	return r.puts, nil
}

// Wrote tells the version that a write has made.
func (m *Machine) Wrote(p Put, version uint64) {
	if digest, is := keyName(p.Key, PagePrefix); is && p.Value != nil {
		m.pages[digest] = version
	}
	switch name, is := keyName(p.Key, Prefix); {
	case p.Key == HeadKey:
		m.headVer = version
	case p.Key == BookKey:
		m.bookVer = version
	case is && m.tenants[name] != nil:
		m.tenants[name].version = version
	}
}

// keyName gives what follows a prefix.
func keyName(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// enter moves a tenant to a state.
func (m *Machine) enter(r *round, t *Tenant, s State) {
	t.State, m.since[t.Name] = s, r.now
	r.changed[t.Name] = true
}

// record writes tenants that changed, and the book.
func (m *Machine) record(r *round) error {
	for _, name := range slices.Sorted(maps.Keys(r.changed)) {
		t := m.tenants[name]
		raw, err := json.Marshal(t)
		if err != nil {
			return fmt.Errorf("tenant: record of %s: %w", name, err)
		}
		r.puts = append(r.puts, Put{Stage: stageIntent, Key: Prefix + name, Value: raw, Version: t.version})
	}
	for _, name := range slices.Sorted(maps.Keys(r.gone)) {
		r.puts = append(r.puts, Put{Stage: stageAfter, Key: Prefix + name, Version: m.tenants[name].version})
		delete(m.tenants, name)
	}
	if m.dirty {
		m.book.Clock = m.clockAt(r.now)
		raw, err := json.Marshal(m.book)
		if err != nil {
			return fmt.Errorf("tenant: the members: %w", err)
		}
		r.puts = append(r.puts, Put{Stage: stageIntent, Key: BookKey, Value: raw, Version: m.bookVer})
		m.dirty = false
	}
	return nil
}

// clockAt is the conductors' clock.
func (m *Machine) clockAt(now time.Duration) time.Duration { return m.clock + now - m.start }
