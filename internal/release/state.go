package release

import (
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Step is how far the release of one server has come. All but Waiting and Released are intents: the work that
// they name is being done, or is to be done again by the controller that takes over.
type Step string

// The steps, in their order.
const (
	Waiting     Step = "waiting"  // it has not been touched
	Maintenance Step = "maint"    // into maintenance at every proxy
	Drain       Step = "drain"    // until it has no request in flight
	Replace     Step = "replace"  // by its machine's agent
	Ready       Step = "ready"    // until it answers, in the new version
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
	Failed      Phase = "failed"   // the rollback went wrong: the targets tell which version is where
	Aborted     Phase = "aborted"  // by an operator: what is released stays so
)

// IsFinal reports whether a phase is never left once no server is out of service.
func (p Phase) IsFinal() bool { return p == Finished || p == RolledBack || p == Failed || p == Aborted }

// Target is one server of a release, with its step.
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
	Reason  string        `json:"why,omitempty"` // the last error of its step
}

func (t Target) cell() string { return fmt.Sprintf("%s/%s/%d", t.Zone, t.Type, t.Cell) }

// isOut reports whether a server is out of service, or about to be, because of the release.
func (t Target) isOut() bool { return t.Step != Waiting && t.Step != Released }

// State is a whole release: the record that its controller writes before and after every action, so that any
// other controller can go on from it. Times are since the release began. It is pure, and not safe for
// concurrent use.
type State struct {
	Format     int           `json:"v"`
	Plan       Plan          `json:"plan"`
	Phase      Phase         `json:"phase"`
	Goal       string        `json:"goal"`          // the version to which servers go now
	HaltReason string        `json:"why,omitempty"` // of a halt
	Wave       int           `json:"wave"`
	Since      time.Duration `json:"since_ns"` // when the phase began
	Targets    []Target      `json:"targets"`  // in the order of their release
	History    []Note        `json:"history"`  // the last maxNotes
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

// NewForPlan is New for those of the servers that the plan matches.
func NewForPlan(p Plan, all []Target) (*State, error) {
	return New(p, slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return !p.Matches(t) }))
}

// TargetsOf returns the servers of an endpoint list as targets.
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
