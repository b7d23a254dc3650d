package release

import (
	"cmp"
	"fmt"
	"time"
)

// The orders that operators can give.
const (
	OrderPause    = "pause"
	OrderResume   = "resume" // continue after a pause or a halt
	OrderSkip     = "skip"   // skip the rest of the present soak and its gate
	OrderAbort    = "abort"  // end the release; released servers keep the new version
	OrderRollBack = "back"   // return released servers to the previous version
)

// Order follows an operator's order, or returns an error if it can't be followed in the present phase.
func (s *State) Order(now time.Duration, order, operator string) error {
	errPhase := fmt.Errorf("%s: the release is %s", order, s.Phase)
	switch order {
	case OrderPause:
		if s.Phase != Running && s.Phase != Soaking {
			return errPhase
		}
		s.ResumePhase = s.Phase
		s.setPhase(now, Paused, "by %s", operator)
	case OrderResume:
		if s.Phase != Paused && s.Phase != Halted {
			return errPhase
		}
		s.HaltReason = ""
		s.setPhase(now, cmp.Or(s.ResumePhase, Running), "resumed by %s", operator)
		s.restartDeadlines(now)
	case OrderSkip:
		if s.Phase != Soaking {
			return errPhase
		}
		s.completeWave(now, "the soak was skipped by "+operator)
	case OrderAbort:
		if s.Phase.IsFinal() {
			return errPhase
		}
		s.setPhase(now, Aborted, "by %s", operator)
	case OrderRollBack:
		if s.Phase == RollingBack || s.Phase == RolledBack {
			return errPhase
		}
		s.rollBack(now, "ordered by "+operator)
	default:
		return fmt.Errorf("%q is no order", order)
	}
	return nil
}

// restartDeadlines restarts the deadlines of all steps, because time in a pause or a halt does not count.
func (s *State) restartDeadlines(now time.Duration) {
	for i := range s.Targets {
		s.Targets[i].Since, s.Targets[i].Stuck = now, false
	}
}
