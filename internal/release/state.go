package release

import (
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Step is the step that the release of a server has reached. Each step except Waiting and Released has an
// action, which is being carried out; a controller that takes over carries it out again.
type Step string

// The steps of a release of a server, in their order.
const (
	Waiting     Step = "waiting"  // the server has not been taken out of service
	Maintenance Step = "maint"    // put the server into maintenance at each proxy
	Drain       Step = "drain"    // wait until the server has no request in flight
	Replace     Step = "replace"  // have the agent of the server's machine start the new version
	Ready       Step = "ready"    // wait until the server is ready in the new version
	Restore     Step = "lift"     // register the server as ready and end its maintenance
	Released    Step = "released" // the server serves
)

// nextStep maps each step with an action to the step that follows it.
var nextStep = map[Step]Step{
	Maintenance: Drain,
	Drain:       Replace,
	Replace:     Ready,
	Ready:       Restore,
	Restore:     Released,
}

// Phase is the phase of a release.
type Phase string

// The phases of a release.
const (
	Running     Phase = "running"  // the servers of a wave are being released
	Soaking     Phase = "soaking"  // the servers of the wave serve, and their counts are collected for the gate
	Paused      Phase = "paused"   // by an operator: no further server is taken out of service
	Halted      Phase = "halted"   // after a fault: no further server is taken out of service
	RollingBack Phase = "back"     // the released servers return to the previous version
	Finished    Phase = "finished" // all servers have the new version
	RolledBack  Phase = "returned" // all servers have the previous version again
	Failed      Phase = "failed"   // the rollback had a fault; Target.Version has the version of each server
	Aborted     Phase = "aborted"  // by an operator: released servers keep the new version
)

// IsFinal reports whether the release ends in this phase, once no server is out of service because of it.
func (p Phase) IsFinal() bool { return p == Finished || p == RolledBack || p == Failed || p == Aborted }

// Target is one server of a release, with its step.
type Target struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Type    string        `json:"type"`
	Cell    int           `json:"group"`
	Version string        `json:"version"` // the version that the server has, as far as known
	Step    Step          `json:"step"`
	Since   time.Duration `json:"since_ns"`        // when the step began
	Stuck   bool          `json:"stuck,omitempty"` // the step has exceeded its deadline
	Reason  string        `json:"why,omitempty"`   // the last error of the step
}

// cell identifies the target's cell by zone, type and number.
func (t Target) cell() string { return fmt.Sprintf("%s/%s/%d", t.Zone, t.Type, t.Cell) }

// isOutOfService reports whether a server is out of service, or about to be, because of the release.
func (t Target) isOutOfService() bool { return t.Step != Waiting && t.Step != Released }

// State is the complete state of a release and the content of its record. A controller writes the record
// before and after each action, so that another controller can continue from it. Times are since the release
// began. The methods are pure, and not safe for concurrent use.
type State struct {
	Format         int           `json:"v"`
	Plan           Plan          `json:"plan"`
	Phase          Phase         `json:"phase"`
	DesiredVersion string        `json:"goal"`          // the version that the servers are to have
	HaltReason     string        `json:"why,omitempty"` // the fault behind a halt, rollback or failure
	Wave           int           `json:"wave"`
	Since          time.Duration `json:"since_ns"`         // when the phase began
	Targets        []Target      `json:"targets"`          // in the order of their release
	History        []Note        `json:"history"`          // the latest maxNotes notes
	Clock          time.Duration `json:"clock_ns"`         // time of the last write; a takeover continues it
	ResumePhase    Phase         `json:"resume,omitempty"` // the phase that OrderResume enters
	LastOrder      string        `json:"taken,omitempty"`  // id of the last followed or rejected order

	Baseline map[string]Comparison `json:"base,omitempty"` // counts at the beginning of the soak, by proxy
}

// Note is an entry of a release's history.
type Note struct {
	At   time.Duration `json:"at_ns"`
	Text string        `json:"what"`
}

const (
	recordFormat   = 1
	maxNotes       = 200
	maxReasonBytes = 160 // length of Target.Reason
)

// New returns the initial state of a release. Each server has to have the plan's previous or new version. A
// server with the new version counts as released.
func New(plan Plan, servers []Target) (*State, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if len(servers) == 0 || len(servers) > MaxTargets {
		return nil, fmt.Errorf("the plan selects %d servers, want 1 to %d", len(servers), MaxTargets)
	}
	state := &State{Format: recordFormat, Plan: plan, Phase: Running, DesiredVersion: plan.To,
		Targets: spreadOverZones(servers)}
	for i := range state.Targets {
		target := &state.Targets[i]
		if target.Step = Waiting; target.Version == plan.To {
			target.Step = Released
		}
		if target.Version != plan.From && target.Version != plan.To {
			return nil, fmt.Errorf("server %s has version %q, want %q or %q",
				target.Name, target.Version, plan.From, plan.To)
		}
	}
	state.addNote(0, "begun: %d servers in %d waves", len(servers), len(plan.Waves))
	return state, nil
}

// NewForPlan calls New with the servers that the plan's selector selects.
func NewForPlan(plan Plan, targets []Target) (*State, error) {
	return New(plan, slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !plan.Matches(t) }))
}

// TargetsOf converts all endpoints, whatever their state, to targets with the same name, address, zone, type,
// cell and version, in the same order.
func TargetsOf(endpoints []registry.Endpoint) (targets []Target) {
	for _, endpoint := range endpoints {
		targets = append(
			targets,
			Target{Name: endpoint.Name, Address: endpoint.Address, Zone: endpoint.Zone, Type: endpoint.Type,
				Cell: endpoint.Cell, Version: endpoint.Version},
		)
	}
	return targets
}

// Count returns how many servers serve in the new version, and how many are out of service because of the
// release.
func (s *State) Count() (released, outOfService int) {
	for _, target := range s.Targets {
		if target.isOutOfService() {
			outOfService++
		} else if target.Version == s.Plan.To {
			released++
		}
	}
	return released, outOfService
}

// Waves returns the names of the servers of each wave.
func (s *State) Waves() (waves [][]string) {
	start := 0
	for _, end := range s.Plan.waveEnds(len(s.Targets)) {
		wave := []string{}
		for _, target := range s.Targets[start:max(start, end)] {
			wave = append(wave, target.Name)
		}
		start = max(start, end)
		waves = append(waves, wave)
	}
	return waves
}

// addNote adds a note to the history and drops the oldest one if there are more than maxNotes.
func (s *State) addNote(now time.Duration, format string, args ...any) {
	s.History = append(s.History, Note{now, fmt.Sprintf(format, args...)})
	if excess := len(s.History) - maxNotes; excess > 0 {
		s.History = slices.Delete(s.History, 0, excess)
	}
}
