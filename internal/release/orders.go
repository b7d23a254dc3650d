package release

import (
	"cmp"
	"fmt"
	"time"
)

// The orders of operators.
const (
	OrderPause    = "pause"
	OrderResume   = "resume" // after a pause or a halt
	OrderSkip     = "skip"   // the rest of this soak, and its gate
	OrderAbort    = "abort"  // what is released stays so
	OrderRollBack = "back"
)

// Order follows an operator's order, or returns the reason why it can't be followed in this phase.
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

// resumePhase restarts the deadlines of all steps.
func (s *State) resumePhase(now time.Duration) {
	for i := range s.Targets {
		s.Targets[i].Since, s.Targets[i].Stuck = now, false
	}
}
