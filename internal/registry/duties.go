package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds on duties.
const (
	MaxSessions   = 1 << 13 // as each of 4,300 nodes may have one, with room for those that start anew
	MaxDuties     = 10000
	MaxCandidates = 256  // in the queue of one duty
	MaxBatch      = 1000 // duties of one command
	MaxNote       = 1024 // bytes of a holder's word
	MinSessionTTL = 500 * time.Millisecond
	MaxSessionTTL = time.Minute
)

// Session is a process as long as it renews. It holds duties and stands in queues.
type Session struct {
	ID      string        `json:"id"`      // drawn by the process, new for each session
	Process string        `json:"process"` // its name, the same over its restarts
	TTL     time.Duration `json:"ttl"`
	Word    Word          `json:"word"`
}

// Word is what a holder tells others of itself.
type Word struct {
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
	if n := len(s.Word.Address) + len(s.Word.Version) + len(s.Word.Note); n > MaxNote {
		return fmt.Errorf("word: %d bytes, %d at most", n, MaxNote)
	}
	if s.TTL < MinSessionTTL || s.TTL > MaxSessionTTL {
		return fmt.Errorf("ttl: %v, want %v to %v", s.TTL, MinSessionTTL, MaxSessionTTL)
	}
	return nil
}

// Wish is a place in the queue of a duty.
type Wish struct {
	Duty     string `json:"duty"`
	Priority int    `json:"priority,omitempty"` // the higher goes first
	Over     bool   `json:"over,omitempty"`     // a holder of lower priority is asked to hand on
}

// Candidate is one that waits for a duty.
type Candidate struct {
	Session  string `json:"session"`
	Process  string `json:"process"`
	Priority int    `json:"priority,omitempty"`
	Over     bool   `json:"over,omitempty"`
	Since    uint64 `json:"since"` // the version at which it came
}

// Duty is one duty with its holder, if it has one.
type Duty struct {
	Name     string      `json:"name"`
	Holder   string      `json:"holder,omitempty"` // session
	Process  string      `json:"process,omitempty"`
	Word     *Word       `json:"word,omitempty"`
	Priority int         `json:"priority,omitempty"` // of the holder
	Fence    uint64      `json:"fence"`              // the version of the last grant; 0: there was none
	Asked    bool        `json:"asked,omitempty"`    // to hand on
	To       string      `json:"to,omitempty"`       // the process that is to have it next
	Queue    []Candidate `json:"queue,omitempty"`    // in the order in which they came
	Blocked  []string    `json:"blocked,omitempty"`  // processes that may not hold it
}

// Fence proves to whoever takes orders that they come from the holder of a duty.
type Fence struct {
	Duty  string `json:"duty"`
	Fence uint64 `json:"fence"`
}

// duties is the part of the state that belongs to duties.
type duties struct {
	Sessions map[string]*held `json:"sessions"`
	Duties   map[string]*Duty `json:"duties"`
	Changed  uint64           `json:"changed"` // the version of the last change of a duty
}

// held is a session with the duties that it holds or waits for.
type held struct {
	Session
	In map[string]bool `json:"in"`
}

func newDuties() duties { return duties{Sessions: map[string]*held{}, Duties: map[string]*Duty{}} }

func (d *duties) copy() duties {
	c := newDuties()
	c.Changed = d.Changed
	for id, h := range d.Sessions {
		c.Sessions[id] = &held{h.Session, maps.Clone(h.In)}
	}
	for name, one := range d.Duties {
		is := one.copy()
		c.Duties[name] = &is
	}
	return c
}

// Duty gives a duty by name.
func (s *State) Duty(name string) (Duty, bool) {
	d, ok := s.duties.Duties[name]
	if !ok {
		return Duty{}, false
	}
	return d.copy(), true
}

func (d *Duty) copy() Duty {
	c := *d
	c.Queue, c.Blocked = slices.Clone(d.Queue), slices.Clone(d.Blocked)
	return c
}

// DutiesVersion is that of the last change of a duty; 1, that of a list that has
// just begun, if there was none.
func (s *State) DutiesVersion() uint64 { return max(s.duties.Changed, 1) }

// Duties gives all duties by name, or those that a session holds or waits for.
func (s *State) Duties(session string) (all []Duty, known bool) {
	names := maps.Keys(s.duties.Duties)
	if session != "" {
		h, ok := s.duties.Sessions[session]
		if !ok {
			return nil, false
		}
		names = maps.Keys(h.In)
	}
	for _, n := range slices.Sorted(names) {
		all = append(all, s.duties.Duties[n].copy())
	}
	return all, true
}

// Sessions gives all sessions, by id.
func (s *State) Sessions() []Session {
	var all []Session
	for _, h := range s.duties.Sessions {
		all = append(all, h.Session)
	}
	slices.SortFunc(all, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Waiting gives the duties that nobody holds though somebody waits for them.
func (s *State) Waiting() []string {
	var all []string
	for name, d := range s.duties.Duties {
		if d.Holder == "" && d.next() >= 0 {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// fenced tells whether a write comes from the holder that it names.
func (s *State) fenced(f *Fence) (Result, bool) {
	if f == nil {
		return Result{}, true
	}
	d, ok := s.duties.Duties[f.Duty]
	if !ok || d.Holder == "" || d.Fence != f.Fence {
		var now uint64
		if ok {
			now = d.Fence
		}
		return Result{Code: Fenced, Entry: now, Why: fmt.Sprintf("fence %d of %s is not that of its holder; the last grant was %d", f.Fence, f.Duty, now)}, false
	}
	return Result{}, true
}
