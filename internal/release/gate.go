package release

import (
	"cmp"
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict is the result of evaluating a gate.
type Verdict string

// The verdicts.
const (
	Undecided Verdict = "undecided" // too few requests for a comparison
	Pass      Verdict = "pass"
	Fail      Verdict = "fail"     // the released servers are worse than the rest
	Incident  Verdict = "incident" // the rest fail as well, so the release need not be the cause
)

// Counts has the number of requests to a group of servers, and how many of them failed or were late.
type Counts struct {
	Requests int `json:"Requests"`
	Failed   int `json:"Failed"`
	Late     int `json:"Late"` // took longer than their latency objective
}

func (c Counts) minus(other Counts) Counts {
	return Counts{c.Requests - other.Requests, c.Failed - other.Failed, c.Late - other.Late}
}

func (c Counts) plus(other Counts) Counts {
	return Counts{c.Requests + other.Requests, c.Failed + other.Failed, c.Late + other.Late}
}

// Comparison holds the counts of the released servers and of the rest at one proxy.
type Comparison struct {
	Released Counts `json:"Those"`
	Rest     Counts `json:"Rest"`
}

// CountsSince returns the sums, over all proxies, of the requests counted between base and current. For a
// proxy that has restarted in between, the counts since its restart are added. A proxy that is missing in
// base or in current is left out.
func CountsSince(base, current map[string]Comparison) (released, rest Counts) {
	for proxy, counts := range current {
		before, ok := base[proxy]
		if !ok {
			continue
		}
		for _, part := range []struct {
			sum      *Counts
			now, was Counts
		}{{&released, counts.Released, before.Released}, {&rest, counts.Rest, before.Rest}} {
			difference := part.now.minus(part.was)
			if difference.Requests < 0 || difference.Failed < 0 || difference.Late < 0 {
				difference = part.now
			}
			*part.sum = part.sum.plus(difference)
		}
	}
	return released, rest
}

// significanceLevel is the significance level of a gate's tests: a difference counts as caused by the new
// version if the probability that it arises by chance is below this level. One good release in hundreds is
// then halted, counted over all waves and both tests (of failed and of late requests).
const significanceLevel = 0.001

// exceeds reports whether a count out of a total is significantly above a share of the total, by a one-sided
// binomial test.
func exceeds(count, total int, share float64) bool {
	if count == 0 || share >= 1 {
		return false
	}
	return 1-distuv.Binomial{N: float64(total), P: max(share, 1e-9)}.CDF(float64(count-1)) < significanceLevel
}

// Evaluate compares the released servers with the rest. alone means that there is no rest, as after the last
// wave; then only the fixed threshold for failed requests decides.
func (g Gate) Evaluate(released, rest Counts, alone bool) Verdict {
	share := func(count, total int) float64 { return float64(count) / float64(max(total, 1)) }
	if released.Requests < g.MinRequests || !alone && rest.Requests < g.MinRequests {
		return Undecided
	}
	threshold := cmp.Or(g.IncidentThreshold, DefaultPlan().Gate.IncidentThreshold)
	releasedBad, restBad := exceeds(released.Failed, released.Requests, threshold),
		exceeds(rest.Failed, rest.Requests, threshold)
	switch {
	case alone && releasedBad:
		return Fail
	case alone:
		return Pass
	case releasedBad && restBad:
		return Incident
	case exceeds(released.Failed, released.Requests, share(rest.Failed, rest.Requests)+g.MaxFailedExcess),
		exceeds(released.Late, released.Requests, share(rest.Late, rest.Requests)+g.MaxLateExcess):
		return Fail
	}
	return Pass
}

// SoakElapsed reports whether the soak of the present wave is over, so that the gate is to be evaluated.
func (s *State) SoakElapsed(now time.Duration) bool {
	return s.Phase == Soaking && now-s.Since >= s.Plan.Soak
}

// ApplyVerdict applies the verdict on the wave that has soaked: the release continues, is halted or is rolled
// back. An undecided verdict changes nothing; the gate is evaluated again until Deadline.Verdict.
func (s *State) ApplyVerdict(now time.Duration, verdict Verdict, reason string) {
	if s.Phase != Soaking {
		return
	}
	switch verdict {
	case Pass:
		s.completeWave(now, reason)
	case Fail:
		s.handleFault(now, fmt.Sprintf("the gate of wave %d failed: %s", s.Wave+1, reason))
	case Incident: // a rollback could be as wrong as continuing
		s.HaltReason, s.ResumePhase = reason, Running
		s.setPhase(now, Halted, "an incident of its own at wave %d: %s", s.Wave+1, reason)
	}
}

// completeWave starts the next wave, or finishes the release after the last one.
func (s *State) completeWave(now time.Duration, reason string) {
	if s.Wave+1 == len(s.Plan.Waves) {
		s.setPhase(now, Finished, "all have version %s; %s", s.Plan.To, reason)
		return
	}
	s.Wave++
	s.setPhase(now, Running, "wave %d of %d begins; %s", s.Wave+1, len(s.Plan.Waves), reason)
}
