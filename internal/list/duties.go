package list

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

func (s *State) openSession(c Command) Result {
	in := c.Session
	h, there := s.duties.Sessions[in.ID]
	if !there && len(s.duties.Sessions) >= MaxSessions {
		return Result{Code: Full, Why: fmt.Sprintf("there are %d sessions already", len(s.duties.Sessions))}
	}
	if !there {
		h = &held{In: map[string]bool{}}
		s.duties.Sessions[in.ID] = h
	}
	h.Session = *in
	return Result{}
}

// closeSession ends a session, and with it all that it holds.
func (s *State) closeSession(id string, grant []string) {
	h, ok := s.duties.Sessions[id]
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.In)) {
		s.leaveDuty(h, name, slices.Contains(grant, name))
	}
	delete(s.duties.Sessions, id)
}

// leaveDuty takes a session out of a duty and its queue.
func (s *State) leaveDuty(h *held, name string, grant bool) {
	d := s.duties.Duties[name]
	delete(h.In, name)
	d.Queue = slices.DeleteFunc(d.Queue, func(c Candidate) bool { return c.Session == h.ID })
	if d.Holder == h.ID {
		d.Holder, d.Process, d.Word, d.Priority, d.Asked = "", "", nil, 0, false
		s.dutyChanged()
		if grant {
			s.grant(d)
		}
	}
	s.tidy(d)
}

// tidy forgets a duty that nobody holds, wants or is kept from. Its name may be
// used again: fences are versions, so a later grant has a higher one all the same.
func (s *State) tidy(d *Duty) {
	if d.Holder == "" && len(d.Queue) == 0 && len(d.Blocked) == 0 {
		delete(s.duties.Duties, d.Name)
	}
}

func (s *State) dutyChanged() {
	s.version++
	s.duties.Changed = s.version
}

// next is the candidate that has a duty next, or -1.
func (d *Duty) next() int {
	best := -1
	better := func(a, b Candidate) bool {
		if (a.Process == d.To) != (b.Process == d.To) {
			return a.Process == d.To
		}
		return a.Priority > b.Priority // of those alike the first that came
	}
	for i, c := range d.Queue {
		if !slices.Contains(d.Blocked, c.Process) && (best < 0 || better(c, d.Queue[best])) {
			best = i
		}
	}
	return best
}

// grant gives a free duty to the next in its queue.
func (s *State) grant(d *Duty) {
	i := d.next()
	if d.Holder != "" || i < 0 {
		return
	}
	c := d.Queue[i]
	d.Queue = slices.Delete(d.Queue, i, i+1)
	s.dutyChanged()
	word := s.duties.Sessions[c.Session].Word
	d.Holder, d.Process, d.Word, d.Priority, d.Fence, d.To = c.Session, c.Process, &word, c.Priority, s.version, ""
	s.outdo(d)
}

// outdo asks the holder to hand on if somebody waits who goes before it.
func (s *State) outdo(d *Duty) {
	if d.Holder == "" || d.Asked {
		return
	}
	if i := d.next(); i >= 0 && d.Queue[i].Over && d.Queue[i].Priority > d.Priority {
		d.Asked = true
		s.dutyChanged()
	}
}

func (s *State) campaign(c Command) Result {
	h, ok := s.duties.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: Absent, Why: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Wishes {
		d := s.duties.Duties[w.Duty]
		switch {
		case d == nil && len(s.duties.Duties) >= MaxDuties:
			return Result{Code: Full, Why: fmt.Sprintf("there are %d duties already", len(s.duties.Duties))}
		case d == nil:
			d = &Duty{Name: w.Duty}
			s.duties.Duties[w.Duty] = d
		case h.In[w.Duty]:
			continue // it waits for it or has it already
		case len(d.Queue) >= MaxCandidates:
			return Result{Code: Full, Why: fmt.Sprintf("%d wait for %s already", len(d.Queue), w.Duty)}
		}
		h.In[w.Duty] = true
		s.dutyChanged()
		d.Queue = append(d.Queue, Candidate{Session: h.ID, Process: h.Process, Priority: w.Priority, Over: w.Over, Since: s.version})
		if slices.Contains(c.Grant, w.Duty) {
			s.grant(d)
		}
		s.outdo(d)
	}
	return Result{}
}

func (s *State) giveUp(c Command) Result {
	h, ok := s.duties.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: Absent, Why: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Wishes {
		if h.In[w.Duty] {
			s.leaveDuty(h, w.Duty, slices.Contains(c.Grant, w.Duty))
		}
	}
	return Result{}
}

// yield asks a holder to hand on, to a certain process if one is named.
func (s *State) yield(c Command) Result {
	d, ok := s.duties.Duties[c.Name]
	if !ok || d.Holder == "" {
		return Result{Code: Absent, Why: "nobody holds " + c.Name}
	}
	if c.To != "" && !slices.ContainsFunc(d.Queue, func(k Candidate) bool { return k.Process == c.To }) {
		return Result{Code: Absent, Why: fmt.Sprintf("%s does not wait for %s", c.To, c.Name)}
	}
	if !d.Asked || d.To != c.To {
		d.Asked, d.To = true, c.To
		s.dutyChanged()
	}
	return Result{Entry: d.Fence}
}

// block keeps a process from a duty, or lets it again.
func (s *State) block(c Command) Result {
	d, ok := s.duties.Duties[c.Name]
	if !ok {
		if len(s.duties.Duties) >= MaxDuties {
			return Result{Code: Full, Why: fmt.Sprintf("there are %d duties already", len(s.duties.Duties))}
		}
		d = &Duty{Name: c.Name}
		s.duties.Duties[c.Name] = d
	}
	is := slices.Contains(d.Blocked, c.To)
	switch {
	case c.On && !is && len(d.Blocked) >= MaxCandidates:
		return Result{Code: Full, Why: fmt.Sprintf("%d processes are blocked already", len(d.Blocked))}
	case c.On && !is:
		d.Blocked = append(d.Blocked, c.To)
		s.dutyChanged()
		if d.Process == c.To && d.Holder != "" && !d.Asked {
			d.Asked = true
			s.dutyChanged()
		}
	case !c.On && is:
		d.Blocked = slices.DeleteFunc(d.Blocked, func(p string) bool { return p == c.To })
		s.dutyChanged()
	}
	s.tidy(d)
	return Result{}
}

// applyDuty carries out a command on duties.
func (s *State) applyDuty(c Command) Result {
	switch c.Do {
	case DoSession:
		return s.openSession(c)
	case DoClose:
		for _, id := range c.Sessions {
			s.closeSession(id, c.Grant)
		}
	case DoCampaign:
		return s.campaign(c)
	case DoGiveUp:
		return s.giveUp(c)
	case DoYield:
		return s.yield(c)
	case DoBlock:
		return s.block(c)
	case DoGrant:
		for _, name := range c.Grant {
			if d, ok := s.duties.Duties[name]; ok {
				s.grant(d)
			}
		}
	}
	return Result{}
}

// checkDuty says what is wrong with a command on duties.
func (c Command) checkDuty() error {
	if len(c.Wishes) > MaxBatch || len(c.Sessions) > MaxSessions || len(c.Grant) > MaxDuties {
		return fmt.Errorf("%d duties or %d sessions are too many for one command", len(c.Wishes), len(c.Sessions))
	}
	for _, w := range c.Wishes {
		if w.Duty == "" || len(w.Duty) > MaxText {
			return fmt.Errorf("duty: want 1 to %d bytes", MaxText)
		}
	}
	switch c.Do {
	case DoSession:
		return c.Session.check()
	case DoCampaign, DoGiveUp:
		if c.Session == nil || c.Session.ID == "" {
			return fmt.Errorf("session: missing")
		}
	case DoYield, DoBlock:
		if c.Name == "" || len(c.Name) > MaxText || len(c.To) > MaxText || c.Do == DoBlock && c.To == "" {
			return fmt.Errorf("duty and process: want 1 to %d bytes", MaxText)
		}
	}
	return nil
}

// check says what is wrong with duties that could not have been.
func (d *duties) check(version uint64) error {
	if d.Sessions == nil || d.Duties == nil || d.Changed > version {
		return fmt.Errorf("duties without sessions, or changed after version %d", version)
	}
	for id, h := range d.Sessions {
		if h == nil || h.ID != id || h.In == nil {
			return fmt.Errorf("session %s is not itself", id)
		}
		for name := range h.In {
			if d.Duties[name] == nil {
				return fmt.Errorf("session %s is in %s, which is no duty", id, name)
			}
		}
	}
	for name, one := range d.Duties {
		if one == nil || one.Name != name || one.Fence > version || one.Holder != "" && (d.Sessions[one.Holder] == nil || one.Fence == 0) {
			return fmt.Errorf("duty %s has a holder or a fence that can't be", name)
		}
		for _, c := range one.Queue {
			if d.Sessions[c.Session] == nil {
				return fmt.Errorf("a candidate of %s has no session", name)
			}
		}
	}
	return nil
}
