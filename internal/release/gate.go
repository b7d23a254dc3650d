package release

import (
	"cmp"
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict is the result of a gate.
type Verdict string

// The verdicts.
const (
	Undecided Verdict = "undecided"
	Pass      Verdict = "pass"
	Fail      Verdict = "fail"     // the released servers are worse than the rest
	Incident  Verdict = "incident" // all servers are bad, so the release need not be the cause
)

// Counts are the requests that some servers answered over a time.
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

// Since sums up what all proxies have counted since base. Of a proxy that restarted since then, all that it
// has counted since its restart is taken; one that is missing in base is left out.
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

// chanceDeviations is the significance level of a gate: the probability below which counts are blamed on the
// version. With it one good release in hundreds is halted, over all waves and both figures.
const chanceDeviations = 0.001

// above reports whether n of so many are significantly more than a share, by a one-sided binomial test.
func above(n, of int, share float64) bool {
	if n == 0 || share >= 1 {
		return false
	}
	return 1-distuv.Binomial{N: float64(of), P: max(share, 1e-9)}.CDF(float64(n-1)) < chanceDeviations
}

// Judge compares the released servers with the rest. Without a rest, as after the last wave, the fixed bound
// alone decides.
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

// Judged applies the verdict on the wave that has soaked.
func (s *State) Judged(now time.Duration, v Verdict, why string) {
	if s.Phase != Soaking {
		return
	}
	switch v {
	case Pass:
		s.next(now, why)
	case Fail:
		s.handleFault(now, fmt.Sprintf("the gate of wave %d failed: %s", s.Wave+1, why))
	case Incident: // a rollback could be as wrong as to go on
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
