package release

import (
	"slices"
	"time"
)

// Action is a step that is to be carried out on a server. After a change of controller or an error an action
// is carried out again.
type Action struct {
	Step    Step
	Target  Target
	Version string // the version that the server is to have after the step
}

// Actions returns the actions that are to be carried out. The state has to be written before any of them is
// carried out.
func (s *State) Actions() (actions []Action) {
	for _, target := range s.Targets {
		if target.isOutOfService() {
			actions = append(actions, Action{target.Step, target, s.versionAfter(target)})
		}
	}
	return actions
}

// versionAfter returns the version that a server is to have after its step. In a release that has stopped, a
// server that is not replaced yet retains its version.
func (s *State) versionAfter(target Target) string {
	if s.isStopped() && (target.Step == Maintenance || target.Step == Drain || target.Step == Restore) {
		return target.Version
	}
	return s.DesiredVersion
}

// RecordResult applies the result of an action to the server's state. A success moves the server to its next
// step: to Restore if the release stopped before the server was replaced, and to Waiting if it was released
// in another version than Plan.To. An error is only recorded as the reason, and the step stays. The result is
// ignored if the server is unknown, has reached another step meanwhile, or is to have another version. The
// state has to be written before the next action is carried out.
func (s *State) RecordResult(now time.Duration, action Action, err error) {
	index := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == action.Target.Name })
	if index < 0 || s.Targets[index].Step != action.Step || s.versionAfter(s.Targets[index]) != action.Version {
		return
	}
	target := &s.Targets[index]
	if err != nil {
		reason := err.Error() // the action is retried until the step's deadline
		target.Reason = reason[:min(len(reason), maxReasonBytes)]
		return
	}
	target.Reason, target.Stuck, target.Since = "", false, now
	switch {
	case (action.Step == Maintenance || action.Step == Drain) && target.Version == action.Version:
		target.Step = Restore // the release was halted or rolled back before the server was replaced
	case action.Step == Replace:
		target.Version, target.Step = action.Version, Ready
	default:
		target.Step = nextStep[action.Step]
	}
	if target.Step == Released {
		s.addNote(now, "%s serves in version %s", target.Name, target.Version)
		if target.Version != s.Plan.To {
			target.Step = Waiting
		}
	}
}
