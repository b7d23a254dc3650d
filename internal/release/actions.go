package release

import (
	"slices"
	"time"
)

// Action is one step to be carried out on a server. It may be carried out more than once.
type Action struct {
	Step    Step
	Target  Target
	Version string // that the server is to have
}

// Actions returns the actions to be carried out, now that the state is written.
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

// Done records the result of an action; the state has to be written before the next action. An action of a
// step that is no longer the server's changes nothing.
func (s *State) Done(now time.Duration, a Action, err error) {
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == a.Target.Name })
	if i < 0 || s.Targets[i].Step != a.Step || s.versionAfter(s.Targets[i]) != a.Version {
		return
	}
	t := &s.Targets[i]
	if err != nil {
		why := err.Error() // the action is retried until the step's deadline
		t.Reason = why[:min(len(why), maxReason)]
		return
	}
	t.Reason, t.Stuck, t.Since = "", false, now
	switch {
	case (a.Step == Maintenance || a.Step == Drain) && t.Version == a.Version:
		t.Step = Restore // halted or rolled back before it was replaced: it is restored as it is
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
