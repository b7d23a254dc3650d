package release

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Unavailable has the servers that do not serve for whatever other reason, as the controller sees it.
type Unavailable struct {
	Endpoints []Target
}

// Step advances the release: it checks deadlines, ends waves and takes further servers out of service. The
// state has to be written before Actions are carried out.
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

// rollbackTargets returns the servers that are to be rolled back, the last released first.
func (s *State) rollbackTargets() (all []*Target) {
	for i := range s.Targets {
		if t := &s.Targets[i]; t.Version != s.Plan.From || t.isOut() {
			all = append(all, t)
		}
	}
	slices.Reverse(all)
	return all
}

// startTargets takes as many of the servers out of service as the limits allow, and reports whether any are
// not done.
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

// mayTakeOut reports whether the limits allow this server to be out of service, too.
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

// handleFault halts a release, or rolls it back if the plan says so. A fault during a rollback fails it.
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

// rollBack turns the release round. Servers that are out of service and have not been replaced are restored
// as they are; the others are replaced once more.
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

// isHolding reports whether servers that have not been replaced yet are restored as they are.
func (s *State) isHolding() bool { return s.Phase == Halted || s.Phase == Aborted || s.Phase == Failed }
