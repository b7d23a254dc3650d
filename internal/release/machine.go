package release

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"wrenspread/internal/registry"
)

func compare(a, b string) int { return cmp.Compare(a, b) }

// Step is where a server is on its way. All but Waiting and Released are intents:
// what they name is being done, or is to be done again by whoever takes over.
type Step string

// The steps, in their order.
const (
	Waiting  Step = "waiting"  // it has not been touched
	Maint    Step = "maint"    // into maintenance at every node
	Drain    Step = "drain"    // until nothing is out there
	Replace  Step = "replace"  // by its machine's agent
	Ready    Step = "ready"    // until it answers in the new version
	Lift     Step = "lift"     // registered as what it is, and out of maintenance
	Released Step = "released" // it serves
)

var following = map[Step]Step{Maint: Drain, Drain: Replace, Replace: Ready, Ready: Lift, Lift: Released}

// Phase is where a release is.
type Phase string

// The phases.
const (
	Running  Phase = "running"  // a wave is under way
	Soaking  Phase = "soaking"  // its servers serve, and are watched
	Paused   Phase = "paused"   // by an operator: nothing new begins
	Halted   Phase = "halted"   // something went wrong: nothing new begins
	Back     Phase = "back"     // what was released returns to the former version
	Finished Phase = "finished" // all have the new version
	Returned Phase = "returned" // all have the former version again
	Failed   Phase = "failed"   // the way back went wrong: what is where is in the targets
	Aborted  Phase = "aborted"  // by an operator: what is released stays so
)

// Over tells whether nothing more happens in a phase, once nothing is out.
func (p Phase) Over() bool { return p == Finished || p == Returned || p == Failed || p == Aborted }

// Target is one server on its way.
type Target struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Type    string        `json:"type"`
	Group   int           `json:"group"`
	Version string        `json:"version"` // that it has, as far as is known
	Step    Step          `json:"step"`
	Since   time.Duration `json:"since_ns"` // when the step began
	Stuck   bool          `json:"stuck,omitempty"`
	Why     string        `json:"why,omitempty"` // the last that went wrong with it
}

func (t Target) pod() string { return fmt.Sprintf("%s/%s/%d", t.Zone, t.Type, t.Group) }

// out tells whether a server is taken from those that serve, or about to be.
func (t Target) out() bool { return t.Step != Waiting && t.Step != Released }

// State is a whole release: the record that its conductor writes before and after
// everything it does. Times are since the release began.
type State struct {
	Form    int           `json:"v"`
	Plan    Plan          `json:"plan"`
	Phase   Phase         `json:"phase"`
	Goal    string        `json:"goal"`          // the version to which servers go now
	Why     string        `json:"why,omitempty"` // of a halt
	Wave    int           `json:"wave"`
	Since   time.Duration `json:"since_ns"` // when the phase began
	Targets []Target      `json:"targets"`  // in the order of their release
	History []Note        `json:"history"`  // the last mostNotes
	Clock   time.Duration `json:"clock_ns"` // when this was written; the next conductor goes on from there
	Resume  Phase         `json:"resume,omitempty"`
	Taken   string        `json:"taken,omitempty"` // the id of the last order

	Base map[string]Parts `json:"base,omitempty"` // figures at the beginning of the soak, by node
}

// Note is one line of a release's history.
type Note struct {
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

const (
	form      = 1
	mostNotes = 200
	mostWhy   = 160 // bytes of what went wrong with a server
)

// New begins a release of servers that have the plan's former version.
func New(p Plan, servers []Target) (*State, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if len(servers) == 0 || len(servers) > MaxTargets {
		return nil, fmt.Errorf("the plan is about %d servers, want 1 to %d", len(servers), MaxTargets)
	}
	s := &State{Form: form, Plan: p, Phase: Running, Goal: p.To, Targets: order(servers)}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Step = Waiting; t.Version == p.To {
			t.Step = Released
		}
		if t.Version != p.From && t.Version != p.To {
			return nil, fmt.Errorf("%s has version %q, neither %q nor %q", t.Name, t.Version, p.From, p.To)
		}
	}
	s.note(0, "begun: %d servers in %d waves", len(servers), len(p.Waves))
	return s, nil
}

// Begin is New for those that the plan is about.
func Begin(p Plan, all []Target) (*State, error) {
	return New(p, slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return !p.Matches(t) }))
}

// Listed gives the servers of a list.
func Listed(all []registry.Endpoint) (targets []Target) {
	for _, e := range all {
		targets = append(targets, Target{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Group: e.Cell, Version: e.Version})
	}
	return targets
}

// Count gives the servers that serve in the new version, and those that are out.
func (s *State) Count() (released, out int) {
	for _, t := range s.Targets {
		if t.out() {
			out++
		} else if t.Version == s.Plan.To {
			released++
		}
	}
	return released, out
}

// Waves names the servers of each wave.
func (s *State) Waves() (all [][]string) {
	begin := 0
	for _, end := range s.Plan.ends(len(s.Targets)) {
		wave := []string{}
		for _, t := range s.Targets[begin:max(begin, end)] {
			wave = append(wave, t.Name)
		}
		begin = max(begin, end)
		all = append(all, wave)
	}
	return all
}

func (s *State) note(now time.Duration, format string, args ...any) {
	s.History = append(s.History, Note{now, fmt.Sprintf(format, args...)})
	if n := len(s.History) - mostNotes; n > 0 {
		s.History = slices.Delete(s.History, 0, n)
	}
}

// Action is one thing to be carried out. Any may be carried out twice.
type Action struct {
	Step    Step
	Target  Target
	Version string // that the server is to have
}

// View is what else is out, as the conductor sees it: servers by name that do not
// serve for whatever other reason.
type View struct {
	Out []Target
}

// Step moves the release on: steps past their deadline, waves, the beginning of
// further servers. It is to be written before Actions are carried out.
func (s *State) Step(now time.Duration, v View) {
	s.overdue(now)
	switch s.Phase {
	case Running:
		if !s.begin(now, v, s.targetsOf(s.Wave)) {
			s.enter(now, Soaking, "wave %d of %d is released", s.Wave+1, len(s.Plan.Waves))
		}
	case Back:
		if !s.begin(now, v, s.returning()) {
			s.enter(now, Returned, "all have version %s again", s.Plan.From)
		}
	}
}

func (s *State) enter(now time.Duration, p Phase, format string, args ...any) {
	s.Phase, s.Since, s.Base = p, now, nil
	s.note(now, "%s: "+format, append([]any{p}, args...)...)
}

// targetsOf gives the servers that are to be released by the end of a wave.
func (s *State) targetsOf(wave int) (all []*Target) {
	for i := range s.Plan.ends(len(s.Targets))[wave] {
		all = append(all, &s.Targets[i])
	}
	return all
}

// returning gives the servers that are to go back, the last released first.
func (s *State) returning() (all []*Target) {
	for i := range s.Targets {
		if t := &s.Targets[i]; t.Version != s.Plan.From || t.out() {
			all = append(all, t)
		}
	}
	slices.Reverse(all)
	return all
}

// begin has as many of the servers begin as the limits allow, and tells whether any are not done.
func (s *State) begin(now time.Duration, v View, all []*Target) (open bool) {
	for _, t := range all {
		if t.out() {
			open = true
			continue
		}
		if t.Version == s.Goal {
			continue
		}
		open = true
		if s.room(*t, v) {
			t.Step, t.Since, t.Stuck, t.Why = Maint, now, false, ""
			s.note(now, "%s begins", t.Name)
		}
	}
	return open
}

// room tells whether one more may be out.
func (s *State) room(t Target, v View) bool {
	all, zone, pod := 1, 1, 1
	count := func(o Target) {
		all++
		if o.Zone == t.Zone {
			zone++
		}
		if o.pod() == t.pod() {
			pod++
		}
	}
	ours := map[string]bool{t.Name: true}
	for _, o := range s.Targets {
		if o.out() {
			ours[o.Name] = true
			count(o)
		}
	}
	for _, o := range v.Out {
		if !ours[o.Name] {
			count(o)
		}
	}
	l := s.Plan.Limits
	return all <= l.Out && zone <= cmp.Or(l.Zone, l.Out) && pod <= cmp.Or(l.Pod, l.Out)
}

// overdue finds steps that take too long.
func (s *State) overdue(now time.Duration) {
	d := s.Plan.Deadline
	most := map[Step]time.Duration{Maint: d.Drain, Drain: d.Drain, Replace: d.Replace, Ready: d.Ready, Lift: d.Ready}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.out() && !t.Stuck && now-t.Since > most[t.Step] {
			t.Stuck = true
			s.trouble(now, fmt.Sprintf("%s has not got past %s within %v: %s", t.Name, t.Step, most[t.Step], cmp.Or(t.Why, "no word")))
		}
	}
	if s.Phase == Soaking && now-s.Since > s.Plan.Soak+d.Judge {
		s.trouble(now, fmt.Sprintf("the gate of wave %d is undecided %v after its soak", s.Wave+1, d.Judge))
	}
}

// trouble halts a release, or sends it back if the plan says so; on the way back it fails it.
func (s *State) trouble(now time.Duration, why string) {
	switch s.Phase {
	case Back:
		s.Why = why
		s.enter(now, Failed, "%s", why)
	case Running, Soaking, Paused:
		if s.Why = why; s.Plan.Halt == HaltBack {
			s.goBack(now, why)
			return
		}
		s.Resume = Running
		s.enter(now, Halted, "%s", why)
	default:
		s.note(now, "%s", why)
	}
}

// goBack turns the release round. What is on its way and has not been replaced is
// lifted as it is; the rest is replaced once more.
func (s *State) goBack(now time.Duration, why string) {
	s.enter(now, Back, "%s", why)
	s.Goal = s.Plan.From
	for i := range s.Targets {
		t := &s.Targets[i]
		if !t.out() {
			continue
		}
		t.Since, t.Stuck = now, false
		switch t.Step {
		case Maint, Drain:
			t.Step = Drain // it may be empty already; what it has is decided there
		case Replace, Ready:
			t.Step = Replace
		case Lift:
			t.Step = Maint // it may serve already
		}
	}
}

// holding tells whether servers that were not replaced yet come back as they are.
func (s *State) holding() bool { return s.Phase == Halted || s.Phase == Aborted || s.Phase == Failed }

// Actions gives what is to be carried out, now that the state is written.
func (s *State) Actions() (all []Action) {
	for _, t := range s.Targets {
		if t.out() {
			all = append(all, Action{t.Step, t, s.target(t)})
		}
	}
	return all
}

// target is the version that a server is to have after its step.
func (s *State) target(t Target) string {
	if s.holding() && (t.Step == Maint || t.Step == Drain || t.Step == Lift) {
		return t.Version
	}
	return s.Goal
}

// Done notes the end of an action, which is to be written before the next begins.
// An action of a step that is no longer a server's own changes nothing.
func (s *State) Done(now time.Duration, a Action, err error) {
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == a.Target.Name })
	if i < 0 || s.Targets[i].Step != a.Step || s.target(s.Targets[i]) != a.Version {
		return
	}
	t := &s.Targets[i]
	if err != nil {
		why := err.Error() // it is tried again until its deadline
		t.Why = why[:min(len(why), mostWhy)]
		return
	}
	t.Why, t.Stuck, t.Since = "", false, now
	switch {
	case (a.Step == Maint || a.Step == Drain) && t.Version == a.Version:
		t.Step = Lift // a halt, or a way back that overtook it: it comes back as it is
	case a.Step == Replace:
		t.Version, t.Step = a.Version, Ready
	default:
		t.Step = following[a.Step]
	}
	if t.Step == Released {
		s.note(now, "%s serves in version %s", t.Name, t.Version)
		if t.Version != s.Plan.To {
			t.Step = Waiting
		}
	}
}

// Verdict is what a gate says.
type Verdict string

// The verdicts.
const (
	Undecided Verdict = "undecided"
	Pass      Verdict = "pass"
	Fail      Verdict = "fail"     // the released part is worse than the rest
	Incident  Verdict = "incident" // all of it is bad: nobody can tell whose fault it is
)

// Counts is what a part of the fleet did over a time.
type Counts struct{ Requests, Failed, Late int }

func (c Counts) minus(o Counts) Counts {
	return Counts{c.Requests - o.Requests, c.Failed - o.Failed, c.Late - o.Late}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failed + o.Failed, c.Late + o.Late}
}

// Parts are the figures of the released servers and of the rest, at one node.
type Parts struct{ Those, Rest Counts }

// Since sums up what nodes have counted since a time. A node that counts anew since
// then, as after a restart, has all it has counted; one that was not there at first
// says nothing.
func Since(base, now map[string]Parts) (those, rest Counts) {
	for node, n := range now {
		b, ok := base[node]
		if !ok {
			continue
		}
		for _, p := range []struct {
			sum      *Counts
			now, was Counts
		}{{&those, n.Those, b.Those}, {&rest, n.Rest, b.Rest}} {
			d := p.now.minus(p.was)
			if d.Requests < 0 || d.Failed < 0 || d.Late < 0 {
				d = p.now
			}
			*p.sum = p.sum.plus(d)
		}
	}
	return those, rest
}

// byChance is how likely figures may be, with a version that is just as good as a
// gate allows, for it to be blamed: one good release in hundreds is halted, over its
// waves and both figures.
const byChance = 0.001

// above tells whether n of so many are more than a share makes likely.
func above(n, of int, share float64) bool {
	if n == 0 || share >= 1 {
		return false
	}
	return 1-distuv.Binomial{N: float64(of), P: max(share, 1e-9)}.CDF(float64(n-1)) < byChance
}

// Judge compares the released part with the rest. Without a rest, as after the last
// wave, the fixed bound alone decides. A part is worse only if that is more than chance.
func (g Gate) Judge(released, rest Counts, alone bool) Verdict {
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if released.Requests < g.Least || !alone && rest.Requests < g.Least {
		return Undecided
	}
	most := cmp.Or(g.Most, Default().Gate.Most)
	bad, restBad := above(released.Failed, released.Requests, most), above(rest.Failed, rest.Requests, most)
	switch {
	case alone && bad:
		return Fail
	case alone:
		return Pass
	case bad && restBad:
		return Incident
	case above(released.Failed, released.Requests, share(rest.Failed, rest.Requests)+g.Failed),
		above(released.Late, released.Requests, share(rest.Late, rest.Requests)+g.Late):
		return Fail
	}
	return Pass
}

// Soaked tells whether the soak is over and a verdict is wanted.
func (s *State) Soaked(now time.Duration) bool {
	return s.Phase == Soaking && now-s.Since >= s.Plan.Soak
}

// Judged takes the verdict on the wave that has soaked.
func (s *State) Judged(now time.Duration, v Verdict, why string) {
	if s.Phase != Soaking {
		return
	}
	switch v {
	case Pass:
		s.next(now, why)
	case Fail:
		s.trouble(now, fmt.Sprintf("the gate of wave %d failed: %s", s.Wave+1, why))
	case Incident: // to go back in haste could be as wrong as to go on
		s.Why, s.Resume = why, Running
		s.enter(now, Halted, "an incident of its own at wave %d: %s", s.Wave+1, why)
	}
}

func (s *State) next(now time.Duration, why string) {
	if s.Wave+1 == len(s.Plan.Waves) {
		s.enter(now, Finished, "all have version %s; %s", s.Plan.To, why)
		return
	}
	s.Wave++
	s.enter(now, Running, "wave %d of %d begins; %s", s.Wave+1, len(s.Plan.Waves), why)
}

// The orders of operators.
const (
	OrderPause  = "pause"
	OrderResume = "resume" // after a pause or a halt
	OrderSkip   = "skip"   // the rest of this soak, and its gate
	OrderAbort  = "abort"  // what is released stays so
	OrderBack   = "back"
)

// Order takes an operator's order, or says why it can't be followed now.
func (s *State) Order(now time.Duration, order, who string) error {
	refused := fmt.Errorf("%s: the release is %s", order, s.Phase)
	switch order {
	case OrderPause:
		if s.Phase != Running && s.Phase != Soaking {
			return refused
		}
		s.Resume = s.Phase
		s.enter(now, Paused, "by %s", who)
	case OrderResume:
		if s.Phase != Paused && s.Phase != Halted {
			return refused
		}
		s.Why = ""
		s.enter(now, cmp.Or(s.Resume, Running), "resumed by %s", who)
		s.again(now)
	case OrderSkip:
		if s.Phase != Soaking {
			return refused
		}
		s.next(now, "the soak was skipped by "+who)
	case OrderAbort:
		if s.Phase.Over() {
			return refused
		}
		s.enter(now, Aborted, "by %s", who)
	case OrderBack:
		if s.Phase == Back || s.Phase == Returned {
			return refused
		}
		s.goBack(now, "ordered by "+who)
	default:
		return fmt.Errorf("%q is no order", order)
	}
	return nil
}

// again gives what is stuck its full time once more.
func (s *State) again(now time.Duration) {
	for i := range s.Targets {
		s.Targets[i].Since, s.Targets[i].Stuck = now, false
	}
}
