package release

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Unavailable lists the servers that do not serve, as seen by the controller. It may contain servers that are
// out of service because of the release; mayTakeOut counts each server once.
type Unavailable struct {
	Endpoints []Target
}

// Step advances the release: it checks deadlines, ends waves and takes further servers out of service. The
// state has to be written before the actions that Actions returns are carried out.
func (s *State) Step(now time.Duration, unavailable Unavailable) {
	s.checkDeadlines(now)
	switch s.Phase {
	case Running:
		if !s.startTargets(now, unavailable, s.targetsOf(s.Wave)) {
			s.setPhase(now, Soaking, "wave %d of %d is released", s.Wave+1, len(s.Plan.Waves))
		}
	case RollingBack:
		if !s.startTargets(now, unavailable, s.rollbackTargets()) {
			s.setPhase(now, RolledBack, "all have version %s again", s.Plan.From)
		}
	}
}

// setPhase enters a phase and adds a note with the phase and the formatted reason.
func (s *State) setPhase(now time.Duration, phase Phase, format string, args ...any) {
	s.Phase, s.Since, s.Baseline = phase, now, nil
	s.addNote(now, "%s: "+format, append([]any{phase}, args...)...)
}

// targetsOf returns the servers that are to be released by the end of a wave, those of earlier waves
// included.
func (s *State) targetsOf(wave int) (targets []*Target) {
	for i := range s.Plan.waveEnds(len(s.Targets))[wave] {
		targets = append(targets, &s.Targets[i])
	}
	return targets
}

// rollbackTargets returns the servers that are to be rolled back, in the reverse order of their release.
func (s *State) rollbackTargets() (targets []*Target) {
	for i := range s.Targets {
		if target := &s.Targets[i]; target.Version != s.Plan.From || target.isOutOfService() {
			targets = append(targets, target)
		}
	}
	slices.Reverse(targets)
	return targets
}

// startTargets takes as many of the servers out of service as the limits allow. It reports whether any of
// them is out of service or does not have the desired version yet.
func (s *State) startTargets(
	now time.Duration, unavailable Unavailable, targets []*Target) (unfinished bool) {
	for _, target := range targets {
		if target.isOutOfService() {
			unfinished = true
			continue
		}
		if target.Version == s.DesiredVersion {
			continue
		}
		unfinished = true
		if s.mayTakeOut(*target, unavailable) {
			target.Step, target.Since, target.Stuck, target.Reason = Maintenance, now, false, ""
			s.addNote(now, "%s begins", target.Name)
		}
	}
	return unfinished
}

// mayTakeOut reports whether the limits allow to take a server out of service in addition to those that do
// not serve already, because of the release or for other reasons.
func (s *State) mayTakeOut(target Target, unavailable Unavailable) bool {
	total, inZone, inCell := 1, 1, 1
	count := func(other Target) {
		total++
		if other.Zone == target.Zone {
			inZone++
		}
		if other.cell() == target.cell() {
			inCell++
		}
	}
	counted := map[string]bool{target.Name: true}
	for _, other := range s.Targets {
		if other.isOutOfService() {
			counted[other.Name] = true
			count(other)
		}
	}
	for _, other := range unavailable.Endpoints {
		if !counted[other.Name] {
			count(other)
		}
	}
	limits := s.Plan.Limits
	return total <= limits.Total && inZone <= cmp.Or(limits.Zone, limits.Total) &&
		inCell <= cmp.Or(limits.Cell, limits.Total)
}

// checkDeadlines treats each step that has exceeded its deadline as a fault, and also a gate that has no
// verdict at its deadline.
func (s *State) checkDeadlines(now time.Duration) {
	deadline := s.Plan.Deadline
	deadlines := map[Step]time.Duration{
		Maintenance: deadline.Drain,
		Drain:       deadline.Drain,
		Replace:     deadline.Replace,
		Ready:       deadline.Ready,
		Restore:     deadline.Ready,
	}
	for i := range s.Targets {
		target := &s.Targets[i]
		if target.isOutOfService() && !target.Stuck && now-target.Since > deadlines[target.Step] {
			target.Stuck = true
			s.handleFault(
				now,
				fmt.Sprintf(
					"%s has not got past %s within %v: %s",
					target.Name,
					target.Step,
					deadlines[target.Step],
					cmp.Or(target.Reason, "no word"),
				),
			)
		}
	}
	if s.Phase == Soaking && now-s.Since > s.Plan.Soak+deadline.Verdict {
		s.handleFault(now, fmt.Sprintf("the gate of wave %d is undecided %v after its soak",
			s.Wave+1, deadline.Verdict))
	}
}

// handleFault halts a release that is running, soaking or paused, or rolls it back if the plan has
// HaltRollBack. A fault during a rollback makes the release fail. In all other phases the fault is only
// noted.
func (s *State) handleFault(now time.Duration, reason string) {
	switch s.Phase {
	case RollingBack:
		s.HaltReason = reason
		s.setPhase(now, Failed, "%s", reason)
	case Running, Soaking, Paused:
		if s.HaltReason = reason; s.Plan.Halt == HaltRollBack {
			s.rollBack(now, reason)
			return
		}
		s.ResumePhase = Running
		s.setPhase(now, Halted, "%s", reason)
	default:
		s.addNote(now, "%s", reason)
	}
}

// rollBack starts a rollback. Servers that are out of service and have not been replaced are restored as they
// are. The others are replaced by the previous version.
func (s *State) rollBack(now time.Duration, reason string) {
	s.setPhase(now, RollingBack, "%s", reason)
	s.DesiredVersion = s.Plan.From
	for i := range s.Targets {
		target := &s.Targets[i]
		if !target.isOutOfService() {
			continue
		}
		target.Since, target.Stuck = now, false
		switch target.Step {
		case Maintenance, Drain:
			target.Step = Drain // the server may be drained already; RecordResult chooses the next step
		case Replace, Ready:
			target.Step = Replace
		case Restore:
			target.Step = Maintenance // the server may serve already
		}
	}
}

// isStopped reports whether the release has stopped: no further server is replaced, and the servers that
// have not been replaced yet are restored as they are.
func (s *State) isStopped() bool { return s.Phase == Halted || s.Phase == Aborted || s.Phase == Failed }
