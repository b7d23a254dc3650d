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
	Waiting     Step = "waiting"  // it has not been touched
	Maintenance Step = "maint"    // into maintenance at every proxy
	Drain       Step = "drain"    // until nothing is out there
	Replace     Step = "replace"  // by its machine's agent
	Ready       Step = "ready"    // until it answers in the new version
	Restore     Step = "lift"     // registered as what it is, and out of maintenance
	Released    Step = "released" // it serves
)

var nextStep = map[Step]Step{
	Maintenance: Drain,
	Drain:       Replace,
	Replace:     Ready,
	Ready:       Restore,
	Restore:     Released,
}

// Phase is where a release is.
type Phase string

// The phases.
const (
	Running     Phase = "running"  // a wave is under way
	Soaking     Phase = "soaking"  // its servers serve, and are watched
	Paused      Phase = "paused"   // by an operator: nothing new begins
	Halted      Phase = "halted"   // something went wrong: nothing new begins
	RollingBack Phase = "back"     // what was released returns to the previous version
	Finished    Phase = "finished" // all have the new version
	RolledBack  Phase = "returned" // all have the previous version again
	Failed      Phase = "failed"   // the way back went wrong: what is where is in the targets
	Aborted     Phase = "aborted"  // by an operator: what is released stays so
)

// IsFinal reports whether nothing more happens in a phase, once nothing is out.
func (p Phase) IsFinal() bool { return p == Finished || p == RolledBack || p == Failed || p == Aborted }

// Target is one server on its way.
type Target struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Type    string        `json:"type"`
	Cell    int           `json:"group"`
	Version string        `json:"version"` // that it has, as far as is known
	Step    Step          `json:"step"`
	Since   time.Duration `json:"since_ns"` // when the step began
	Stuck   bool          `json:"stuck,omitempty"`
	Reason  string        `json:"why,omitempty"` // the last that went wrong with it
}

func (t Target) cell() string { return fmt.Sprintf("%s/%s/%d", t.Zone, t.Type, t.Cell) }

// isOut reports whether a server is taken from those that serve, or about to be.
func (t Target) isOut() bool { return t.Step != Waiting && t.Step != Released }

// State is a whole release: the record that its controller writes before and after
// everything it does. Times are since the release began.
type State struct {
	Format     int           `json:"v"`
	Plan       Plan          `json:"plan"`
	Phase      Phase         `json:"phase"`
	Goal       string        `json:"goal"`          // the version to which servers go now
	HaltReason string        `json:"why,omitempty"` // of a halt
	Wave       int           `json:"wave"`
	Since      time.Duration `json:"since_ns"` // when the phase began
	Targets    []Target      `json:"targets"`  // in the order of their release
	History    []Note        `json:"history"`  // the last mostNotes
	Clock      time.Duration `json:"clock_ns"` // when this was written; the next controller goes on from there
	Resume     Phase         `json:"resume,omitempty"`
	LastOrder  string        `json:"taken,omitempty"` // the id of the last order

	Baseline map[string]Comparison `json:"base,omitempty"` // figures at the beginning of the soak, by proxy
}

// Note is one line of a release's history.
type Note struct {
	At   time.Duration `json:"at_ns"`
	Text string        `json:"what"`
}

const (
	format    = 1
	maxNotes  = 200
	maxReason = 160 // bytes of what went wrong with a server
)

// New begins a release of servers that have the plan's previous version.
func New(p Plan, servers []Target) (*State, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if len(servers) == 0 || len(servers) > MaxTargets {
		return nil, fmt.Errorf("the plan is about %d servers, want 1 to %d", len(servers), MaxTargets)
	}
	s := &State{Format: format, Plan: p, Phase: Running, Goal: p.To, Targets: order(servers)}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Step = Waiting; t.Version == p.To {
			t.Step = Released
		}
		if t.Version != p.From && t.Version != p.To {
			return nil, fmt.Errorf("%s has version %q, neither %q nor %q", t.Name, t.Version, p.From, p.To)
		}
	}
	s.addNote(0, "begun: %d servers in %d waves", len(servers), len(p.Waves))
	return s, nil
}

// NewForPlan is New for those that the plan is about.
func NewForPlan(p Plan, all []Target) (*State, error) {
	return New(p, slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return !p.Matches(t) }))
}

// TargetsOf returns the servers of a list.
func TargetsOf(all []registry.Endpoint) (targets []Target) {
	for _, e := range all {
		targets = append(
			targets,
			Target{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Cell: e.Cell, Version: e.Version},
		)
	}
	return targets
}

// Count returns the servers that serve in the new version, and those that are out.
func (s *State) Count() (released, out int) {
	for _, t := range s.Targets {
		if t.isOut() {
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
	for _, end := range s.Plan.waveEnds(len(s.Targets)) {
		wave := []string{}
		for _, t := range s.Targets[begin:max(begin, end)] {
			wave = append(wave, t.Name)
		}
		begin = max(begin, end)
		all = append(all, wave)
	}
	return all
}

func (s *State) addNote(now time.Duration, format string, args ...any) {
	s.History = append(s.History, Note{now, fmt.Sprintf(format, args...)})
	if n := len(s.History) - maxNotes; n > 0 {
		s.History = slices.Delete(s.History, 0, n)
	}
}

// Action is one thing to be carried out. Any may be carried out twice.
type Action struct {
	Step    Step
	Target  Target
	Version string // that the server is to have
}

// Unavailable is what else is out, as the controller sees it: servers by name that do not
// serve for whatever other reason.
type Unavailable struct {
	Endpoints []Target
}

// Step moves the release on: steps past their deadline, waves, the beginning of
// further servers. It is to be written before Actions are carried out.
func (s *State) Step(now time.Duration, v Unavailable) {
	s.checkDeadlines(now)
	switch s.Phase {
	case Running:
		if !s.startTargets(now, v, s.targetsOf(s.Wave)) {
			s.setPhase(now, Soaking, "wave %d of %d is released", s.Wave+1, len(s.Plan.Waves))
		}
	case RollingBack:
		if !s.startTargets(now, v, s.rollbackTargets()) {
			s.setPhase(now, RolledBack, "all have version %s again", s.Plan.From)
		}
	}
}

func (s *State) setPhase(now time.Duration, p Phase, format string, args ...any) {
	s.Phase, s.Since, s.Baseline = p, now, nil
	s.addNote(now, "%s: "+format, append([]any{p}, args...)...)
}

// targetsOf returns the servers that are to be released by the end of a wave.
func (s *State) targetsOf(wave int) (all []*Target) {
	for i := range s.Plan.waveEnds(len(s.Targets))[wave] {
		all = append(all, &s.Targets[i])
	}
	return all
}

// rollbackTargets gives the servers that are to go back, the last released first.
func (s *State) rollbackTargets() (all []*Target) {
	for i := range s.Targets {
		if t := &s.Targets[i]; t.Version != s.Plan.From || t.isOut() {
			all = append(all, t)
		}
	}
	slices.Reverse(all)
	return all
}

// startTargets has as many of the servers begin as the limits allow, and reports whether any are not done.
func (s *State) startTargets(now time.Duration, v Unavailable, all []*Target) (open bool) {
	for _, t := range all {
		if t.isOut() {
			open = true
			continue
		}
		if t.Version == s.Goal {
			continue
		}
		open = true
		if s.mayTakeOut(*t, v) {
			t.Step, t.Since, t.Stuck, t.Reason = Maintenance, now, false, ""
			s.addNote(now, "%s begins", t.Name)
		}
	}
	return open
}

// mayTakeOut reports whether one more may be out.
func (s *State) mayTakeOut(t Target, v Unavailable) bool {
	all, zone, pod := 1, 1, 1
	count := func(o Target) {
		all++
		if o.Zone == t.Zone {
			zone++
		}
		if o.cell() == t.cell() {
			pod++
		}
	}
	ours := map[string]bool{t.Name: true}
	for _, o := range s.Targets {
		if o.isOut() {
			ours[o.Name] = true
			count(o)
		}
	}
	for _, o := range v.Endpoints {
		if !ours[o.Name] {
			count(o)
		}
	}
	l := s.Plan.Limits
	return all <= l.Total && zone <= cmp.Or(l.Zone, l.Total) && pod <= cmp.Or(l.Cell, l.Total)
}

// checkDeadlines finds steps that take too long.
func (s *State) checkDeadlines(now time.Duration) {
	d := s.Plan.Deadline
	most := map[Step]time.Duration{
		Maintenance: d.Drain,
		Drain:       d.Drain,
		Replace:     d.Replace,
		Ready:       d.Ready,
		Restore:     d.Ready,
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.isOut() && !t.Stuck && now-t.Since > most[t.Step] {
			t.Stuck = true
			s.handleFault(
				now,
				fmt.Sprintf(
					"%s has not got past %s within %v: %s",
					t.Name,
					t.Step,
					most[t.Step],
					cmp.Or(t.Reason, "no word"),
				),
			)
		}
	}
	if s.Phase == Soaking && now-s.Since > s.Plan.Soak+d.Judge {
		s.handleFault(now, fmt.Sprintf("the gate of wave %d is undecided %v after its soak", s.Wave+1, d.Judge))
	}
}

// handleFault halts a release, or sends it back if the plan says so; on the way back it fails it.
func (s *State) handleFault(now time.Duration, why string) {
	switch s.Phase {
	case RollingBack:
		s.HaltReason = why
		s.setPhase(now, Failed, "%s", why)
	case Running, Soaking, Paused:
		if s.HaltReason = why; s.Plan.Halt == HaltRollBack {
			s.rollBack(now, why)
			return
		}
		s.Resume = Running
		s.setPhase(now, Halted, "%s", why)
	default:
		s.addNote(now, "%s", why)
	}
}

// rollBack turns the release round. What is on its way and has not been replaced is
// lifted as it is; the rest is replaced once more.
func (s *State) rollBack(now time.Duration, why string) {
	s.setPhase(now, RollingBack, "%s", why)
	s.Goal = s.Plan.From
	for i := range s.Targets {
		t := &s.Targets[i]
		if !t.isOut() {
			continue
		}
		t.Since, t.Stuck = now, false
		switch t.Step {
		case Maintenance, Drain:
			t.Step = Drain // it may be empty already; what it has is decided there
		case Replace, Ready:
			t.Step = Replace
		case Restore:
			t.Step = Maintenance // it may serve already
		}
	}
}

// isHolding reports whether servers that were not replaced yet come back as they are.
func (s *State) isHolding() bool { return s.Phase == Halted || s.Phase == Aborted || s.Phase == Failed }

// Actions returns what is to be carried out, now that the state is written.
func (s *State) Actions() (all []Action) {
	for _, t := range s.Targets {
		if t.isOut() {
			all = append(all, Action{t.Step, t, s.versionAfter(t)})
		}
	}
	return all
}

// versionAfter is the version that a server is to have after its step.
func (s *State) versionAfter(t Target) string {
	if s.isHolding() && (t.Step == Maintenance || t.Step == Drain || t.Step == Restore) {
		return t.Version
	}
	return s.Goal
}

// Done notes the end of an action, which is to be written before the next begins.
// An action of a step that is no longer a server's own changes nothing.
func (s *State) Done(now time.Duration, a Action, err error) {
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == a.Target.Name })
	if i < 0 || s.Targets[i].Step != a.Step || s.versionAfter(s.Targets[i]) != a.Version {
		return
	}
	t := &s.Targets[i]
	if err != nil {
		why := err.Error() // it is tried again until its deadline
		t.Reason = why[:min(len(why), maxReason)]
		return
	}
	t.Reason, t.Stuck, t.Since = "", false, now
	switch {
	case (a.Step == Maintenance || a.Step == Drain) && t.Version == a.Version:
		t.Step = Restore // a halt, or a way back that overtook it: it comes back as it is
	case a.Step == Replace:
		t.Version, t.Step = a.Version, Ready
	default:
		t.Step = nextStep[a.Step]
	}
	if t.Step == Released {
		s.addNote(now, "%s serves in version %s", t.Name, t.Version)
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
type Counts struct {
	Requests int `json:"Requests"`
	Failed   int `json:"Failed"`
	Late     int `json:"Late"` // answered past their latency objective
}

func (c Counts) minus(o Counts) Counts {
	return Counts{c.Requests - o.Requests, c.Failed - o.Failed, c.Late - o.Late}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Failed + o.Failed, c.Late + o.Late}
}

// Comparison are the figures of the released servers and of the rest, at one proxy.
type Comparison struct {
	Released Counts `json:"Those"`
	Rest     Counts `json:"Rest"`
}

// Since sums up what proxies have counted since a time. A proxy that counts anew since
// then, as after a restart, has all it has counted; one that was not there at first
// says nothing.
func Since(base, now map[string]Comparison) (those, rest Counts) {
	for node, n := range now {
		b, ok := base[node]
		if !ok {
			continue
		}
		for _, p := range []struct {
			sum      *Counts
			now, was Counts
		}{{&those, n.Released, b.Released}, {&rest, n.Rest, b.Rest}} {
			d := p.now.minus(p.was)
			if d.Requests < 0 || d.Failed < 0 || d.Late < 0 {
				d = p.now
			}
			*p.sum = p.sum.plus(d)
		}
	}
	return those, rest
}

// chanceDeviations is how likely figures may be, with a version that is just as good as a
// gate allows, for it to be blamed: one good release in hundreds is halted, over its
// waves and both figures.
const chanceDeviations = 0.001

// above reports whether n of so many are more than a share makes likely.
func above(n, of int, share float64) bool {
	if n == 0 || share >= 1 {
		return false
	}
	return 1-distuv.Binomial{N: float64(of), P: max(share, 1e-9)}.CDF(float64(n-1)) < chanceDeviations
}

// Judge compares the released part with the rest. Without a rest, as after the last
// wave, the fixed bound alone decides. A part is worse only if that is more than chance.
func (g Gate) Judge(released, rest Counts, alone bool) Verdict {
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if released.Requests < g.MinRequests || !alone && rest.Requests < g.MinRequests {
		return Undecided
	}
	most := cmp.Or(g.IncidentThreshold, Default().Gate.IncidentThreshold)
	bad, restBad := above(released.Failed, released.Requests, most), above(rest.Failed, rest.Requests, most)
	switch {
	case alone && bad:
		return Fail
	case alone:
		return Pass
	case bad && restBad:
		return Incident
	case above(released.Failed, released.Requests, share(rest.Failed, rest.Requests)+g.MaxFailedExcess),
		above(released.Late, released.Requests, share(rest.Late, rest.Requests)+g.MaxLateExcess):
		return Fail
	}
	return Pass
}

// Soaked reports whether the soak is over and a verdict is wanted.
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
		s.handleFault(now, fmt.Sprintf("the gate of wave %d failed: %s", s.Wave+1, why))
	case Incident: // to go back in haste could be as wrong as to go on
		s.HaltReason, s.Resume = why, Running
		s.setPhase(now, Halted, "an incident of its own at wave %d: %s", s.Wave+1, why)
	}
}

func (s *State) next(now time.Duration, why string) {
	if s.Wave+1 == len(s.Plan.Waves) {
		s.setPhase(now, Finished, "all have version %s; %s", s.Plan.To, why)
		return
	}
	s.Wave++
	s.setPhase(now, Running, "wave %d of %d begins; %s", s.Wave+1, len(s.Plan.Waves), why)
}

// The orders of operators.
const (
	OrderPause    = "pause"
	OrderResume   = "resume" // after a pause or a halt
	OrderSkip     = "skip"   // the rest of this soak, and its gate
	OrderAbort    = "abort"  // what is released stays so
	OrderRollBack = "back"
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
		s.setPhase(now, Paused, "by %s", who)
	case OrderResume:
		if s.Phase != Paused && s.Phase != Halted {
			return refused
		}
		s.HaltReason = ""
		s.setPhase(now, cmp.Or(s.Resume, Running), "resumed by %s", who)
		s.resumePhase(now)
	case OrderSkip:
		if s.Phase != Soaking {
			return refused
		}
		s.next(now, "the soak was skipped by "+who)
	case OrderAbort:
		if s.Phase.IsFinal() {
			return refused
		}
		s.setPhase(now, Aborted, "by %s", who)
	case OrderRollBack:
		if s.Phase == RollingBack || s.Phase == RolledBack {
			return refused
		}
		s.rollBack(now, "ordered by "+who)
	default:
		return fmt.Errorf("%q is no order", order)
	}
	return nil
}

// resumePhase gives what is stuck its full TTL once more.
func (s *State) resumePhase(now time.Duration) {
	for i := range s.Targets {
		s.Targets[i].Since, s.Targets[i].Stuck = now, false
	}
}
