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
	MaxSessions    = 1 << 13 // enough for a session of each of 4,300 proxies and for sessions after restarts
	MaxLeases      = 10000
	MaxCandidates  = 256  // candidates in the queue of one lease, and processes blocked from it
	MaxLeaseBatch  = 1000 // candidacies in one command
	MaxProcessInfo = 1024 // bytes of a session's process info
	MinSessionTTL  = 500 * time.Millisecond
	MaxSessionTTL  = time.Minute
)

// Session represents a process for as long as the process renews it. A session holds leases and waits in the
// queues of leases.
type Session struct {
	ID      string        `json:"id"`      // a random id that the process draws for each session
	Process string        `json:"process"` // name of the process, the same after a restart
	TTL     time.Duration `json:"ttl"`
	Info    ProcessInfo   `json:"word"`
}

// ProcessInfo is what a process publishes about itself in its session.
type ProcessInfo struct {
	Address string `json:"address,omitempty"`
	Version string `json:"version,omitempty"` // version of the process's program
	Note    string `json:"note,omitempty"`
}

func (s *Session) check() error {
	if s == nil {
		return fmt.Errorf("session: missing")
	}
	for key, text := range map[string]string{"id": s.ID, "process": s.Process} {
		if text == "" || len(text) > MaxTextBytes {
			return fmt.Errorf("%s: want 1 to %d bytes", key, MaxTextBytes)
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

// Candidacy is a session's request for a place in the queue of a lease.
type Candidacy struct {
	Lease    string `json:"duty"`
	Priority int    `json:"priority,omitempty"` // a higher priority is granted first
	Preempt  bool   `json:"over,omitempty"`     // a holder of lower priority is asked to transfer the lease
}

// Candidate is a session that waits for a lease.
type Candidate struct {
	Session  string `json:"session"`
	Process  string `json:"process"`
	Priority int    `json:"priority,omitempty"`
	Preempt  bool   `json:"over,omitempty"`
	Since    uint64 `json:"since"` // version at which the candidate entered the queue
}

// Lease is a lease with its holder, if it has one, and its queue.
type Lease struct {
	Name       string       `json:"name"`
	Holder     string       `json:"holder,omitempty"` // the holder's session; empty: the lease is free
	Process    string       `json:"process,omitempty"`
	HolderInfo *ProcessInfo `json:"word,omitempty"`
	Priority   int          `json:"priority,omitempty"` // the holder's priority
	// Token is the fencing token of the last grant: the list's version after the grant; 0: there was no grant
	Token             uint64      `json:"fence"`
	TransferRequested bool        `json:"asked,omitempty"`   // the holder is asked to transfer the lease
	Successor         string      `json:"to,omitempty"`      // the process that is granted the lease next
	Queue             []Candidate `json:"queue,omitempty"`   // in the order of arrival
	Blocked           []string    `json:"blocked,omitempty"` // processes that may not hold the lease
}

// FencingToken proves to the receiver of an order that the order comes from the lease holder.
type FencingToken struct {
	Lease  string `json:"duty"`
	Number uint64 `json:"fence"`
}

// leaseState is the part of the state that consists of sessions and leases.
type leaseState struct {
	Sessions map[string]*openSession `json:"sessions"`
	Leases   map[string]*Lease       `json:"duties"`
	Changed  uint64                  `json:"changed"` // version of the last change of a lease
}

// openSession is a session with the leases that it holds or waits for.
type openSession struct {
	Session
	Leases map[string]bool `json:"in"`
}

func newLeaseState() leaseState {
	return leaseState{Sessions: map[string]*openSession{}, Leases: map[string]*Lease{}}
}

// copy returns a deep copy.
func (d *leaseState) copy() leaseState {
	c := newLeaseState()
	c.Changed = d.Changed
	for id, opened := range d.Sessions {
		c.Sessions[id] = &openSession{opened.Session, maps.Clone(opened.Leases)}
	}
	for name, lease := range d.Leases {
		leaseCopy := lease.copy()
		c.Leases[name] = &leaseCopy
	}
	return c
}

// Lease returns a lease by name.
func (s *State) Lease(name string) (Lease, bool) {
	lease, ok := s.leases.Leases[name]
	if !ok {
		return Lease{}, false
	}
	return lease.copy(), true
}

// copy returns a copy with its own queue and list of blocked processes.
func (d *Lease) copy() Lease {
	c := *d
	c.Queue, c.Blocked = slices.Clone(d.Queue), slices.Clone(d.Blocked)
	return c
}

// LeasesVersion returns the version of the last change of a lease. Before the first change of a lease it is
// 1, the version of a new list.
func (s *State) LeasesVersion() uint64 { return max(s.leases.Changed, 1) }

// Leases returns the leases that a session holds or waits for, sorted by name, or all leases if session is
// empty. known is false if there is no such session.
func (s *State) Leases(session string) (leases []Lease, known bool) {
	names := maps.Keys(s.leases.Leases)
	if session != "" {
		opened, ok := s.leases.Sessions[session]
		if !ok {
			return nil, false
		}
		names = maps.Keys(opened.Leases)
	}
	for _, n := range slices.Sorted(names) {
		leases = append(leases, s.leases.Leases[n].copy())
	}
	return leases, true
}

// Sessions returns all sessions, sorted by id.
func (s *State) Sessions() []Session {
	var sessions []Session
	for _, opened := range s.leases.Sessions {
		sessions = append(sessions, opened.Session)
	}
	slices.SortFunc(sessions, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	return sessions
}

// UnheldLeases returns the names of the leases that have no holder but a candidate that may hold them.
func (s *State) UnheldLeases() []string {
	var names []string
	for name, lease := range s.leases.Leases {
		if lease.Holder == "" && lease.next() >= 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkToken reports whether a fencing token is the token of the lease's present holder. If it is not,
// checkToken also returns the StaleToken result. A write without a token passes the check.
func (s *State) checkToken(token *FencingToken) (Result, bool) {
	if token == nil {
		return Result{}, true
	}
	lease, ok := s.leases.Leases[token.Lease]
	if !ok || lease.Holder == "" || lease.Token != token.Number {
		var current uint64
		if ok {
			current = lease.Token
		}
		return Result{
			Code:         StaleToken,
			EntryVersion: current,
			Reason: fmt.Sprintf(
				"fence %d of %s is not that of its holder; the last grant was %d",
				token.Number,
				token.Lease,
				current,
			),
		}, false
	}
	return Result{}, true
}
