package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds on leases.
const (
	MaxSessions    = 1 << 13 // as each of 4,300 proxies may have one, with room for those that start anew
	MaxLeases      = 10000
	MaxCandidates  = 256  // in the queue of one lease
	MaxLeaseBatch  = 1000 // leases of one command
	MaxProcessInfo = 1024 // bytes of a holder's process info
	MinSessionTTL  = 500 * time.Millisecond
	MaxSessionTTL  = time.Minute
)

// Session is a process as long as it renews. It holds leases and stands in queues.
type Session struct {
	ID      string        `json:"id"`      // drawn by the process, new for each session
	Process string        `json:"process"` // its name, the same over its restarts
	TTL     time.Duration `json:"ttl"`
	Info    ProcessInfo   `json:"word"`
}

// ProcessInfo is what a holder tells others of itself.
type ProcessInfo struct {
	Address string `json:"address,omitempty"`
	Version string `json:"version,omitempty"` // of its program
	Note    string `json:"note,omitempty"`
}

func (s *Session) check() error {
	if s == nil {
		return fmt.Errorf("session: missing")
	}
	for key, text := range map[string]string{"id": s.ID, "process": s.Process} {
		if text == "" || len(text) > MaxText {
			return fmt.Errorf("%s: want 1 to %d bytes", key, MaxText)
		}
	}
	if n := len(s.Info.Address) + len(s.Info.Version) + len(s.Info.Note); n > MaxProcessInfo {
		return fmt.Errorf("word: %d bytes, %d at most", n, MaxProcessInfo)
	}
	if s.TTL < MinSessionTTL || s.TTL > MaxSessionTTL {
		return fmt.Errorf("ttl: %v, want %v to %v", s.TTL, MinSessionTTL, MaxSessionTTL)
	}
	return nil
}

// Candidacy is a place in the queue of a lease.
type Candidacy struct {
	Lease    string `json:"duty"`
	Priority int    `json:"priority,omitempty"` // the higher goes first
	Preempt  bool   `json:"over,omitempty"`     // a holder of lower priority is asked to transfer
}

// Candidate is one that waits for a lease.
type Candidate struct {
	Session  string `json:"session"`
	Process  string `json:"process"`
	Priority int    `json:"priority,omitempty"`
	Preempt  bool   `json:"over,omitempty"`
	Since    uint64 `json:"since"` // the version at which it came
}

// Lease is one lease with its holder, if it has one.
type Lease struct {
	Name       string       `json:"name"`
	Holder     string       `json:"holder,omitempty"` // session
	Process    string       `json:"process,omitempty"`
	HolderInfo *ProcessInfo `json:"word,omitempty"`
	Priority   int          `json:"priority,omitempty"` // of the holder
	// the version of the last grant; 0: there was none
	Token             uint64      `json:"fence"`
	TransferRequested bool        `json:"asked,omitempty"`   // to transfer
	Successor         string      `json:"to,omitempty"`      // the process that is to have it next
	Queue             []Candidate `json:"queue,omitempty"`   // in the order in which they came
	Blocked           []string    `json:"blocked,omitempty"` // processes that may not hold it
}

// FencingToken proves to whoever takes orders that they come from the lease holder.
type FencingToken struct {
	Lease  string `json:"duty"`
	Number uint64 `json:"fence"`
}

// leaseState is the part of the state that belongs to leases.
type leaseState struct {
	Sessions map[string]*openSession `json:"sessions"`
	Leases   map[string]*Lease       `json:"duties"`
	Changed  uint64                  `json:"changed"` // the version of the last change of a lease
}

// openSession is a session with the leases that it holds or waits for.
type openSession struct {
	Session
	Leases map[string]bool `json:"in"`
}

func newLeaseState() leaseState {
	return leaseState{Sessions: map[string]*openSession{}, Leases: map[string]*Lease{}}
}

func (d *leaseState) copy() leaseState {
	c := newLeaseState()
	c.Changed = d.Changed
	for id, h := range d.Sessions {
		c.Sessions[id] = &openSession{h.Session, maps.Clone(h.Leases)}
	}
	for name, one := range d.Leases {
		is := one.copy()
		c.Leases[name] = &is
	}
	return c
}

// Lease returns a lease by name.
func (s *State) Lease(name string) (Lease, bool) {
	d, ok := s.leases.Leases[name]
	if !ok {
		return Lease{}, false
	}
	return d.copy(), true
}

func (d *Lease) copy() Lease {
	c := *d
	c.Queue, c.Blocked = slices.Clone(d.Queue), slices.Clone(d.Blocked)
	return c
}

// LeasesVersion is that of the last change of a lease; 1, that of a list that has
// just begun, if there was none.
func (s *State) LeasesVersion() uint64 { return max(s.leases.Changed, 1) }

// Leases returns all leases by name, or those that a session holds or waits for.
func (s *State) Leases(session string) (all []Lease, known bool) {
	names := maps.Keys(s.leases.Leases)
	if session != "" {
		h, ok := s.leases.Sessions[session]
		if !ok {
			return nil, false
		}
		names = maps.Keys(h.Leases)
	}
	for _, n := range slices.Sorted(names) {
		all = append(all, s.leases.Leases[n].copy())
	}
	return all, true
}

// Sessions returns all sessions, by id.
func (s *State) Sessions() []Session {
	var all []Session
	for _, h := range s.leases.Sessions {
		all = append(all, h.Session)
	}
	slices.SortFunc(all, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// UnheldLeases returns the leases that nobody holds though somebody waits for them.
func (s *State) UnheldLeases() []string {
	var all []string
	for name, d := range s.leases.Leases {
		if d.Holder == "" && d.next() >= 0 {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// checkToken reports whether a write comes from the holder that it names.
func (s *State) checkToken(f *FencingToken) (Result, bool) {
	if f == nil {
		return Result{}, true
	}
	d, ok := s.leases.Leases[f.Lease]
	if !ok || d.Holder == "" || d.Token != f.Number {
		var now uint64
		if ok {
			now = d.Token
		}
		return Result{
			Code:         StaleToken,
			EntryVersion: now,
			Reason: fmt.Sprintf(
				"fence %d of %s is not that of its holder; the last grant was %d",
				f.Number,
				f.Lease,
				now,
			),
		}, false
	}
	return Result{}, true
}
