package release

import (
	"errors"
	"fmt"
	"path"
	"time"

	"wrenspread/internal/registry"
)

// planProblems collects the faults of a plan, each with the key of the faulty value.
type planProblems struct{ errs []error }

// require adds a fault unless ok is set.
func (p *planProblems) require(ok bool, format string, args ...any) {
	if !ok {
		p.errs = append(p.errs, fmt.Errorf(format, args...))
	}
}

// requireText adds a fault if the text is empty or too long for the registry.
func (p *planProblems) requireText(key, value string) {
	p.require(value != "" && len(value) <= registry.MaxTextBytes,
		"%s: want 1 to %d bytes", key, registry.MaxTextBytes)
}

// requireDuration adds a fault if the duration is not between the minimum and maxDuration.
func (p *planProblems) requireDuration(key string, d, minimum time.Duration) {
	p.require(d >= minimum && d <= maxDuration, "%s: %v is not between %v and %v", key, d, minimum, maxDuration)
}

// requireShare adds a fault if the share is not between 0 and 1.
func (p *planProblems) requireShare(key string, share float64) {
	p.require(share >= 0 && share <= 1, "%s: %v is not between 0 and 1", key, share)
}

// Check validates a plan. The error lists all faults, each with the key of the faulty value.
func (p Plan) Check() error {
	var problems planProblems
	p.checkSelection(&problems)
	p.Limits.check(&problems)
	p.checkWaves(&problems)
	p.checkTimes(&problems)
	p.Gate.check(&problems)
	problems.require(
		p.Halt == HaltWait || p.Halt == HaltRollBack,
		"halt: %q is neither %q nor %q", p.Halt, HaltWait, HaltRollBack,
	)
	return errors.Join(problems.errs...)
}

// checkSelection validates the plan's name, kind, versions and selector.
func (p Plan) checkSelection(problems *planProblems) {
	problems.requireText("name", p.Name)
	problems.requireText("from", p.From)
	problems.requireText("to", p.To)
	problems.require(
		p.Kind == "" || p.Kind == KindServers || p.Kind == KindProxies,
		"kind: %q is neither %q nor %q", p.Kind, KindServers, KindProxies,
	)
	problems.require(p.From != p.To, "to: %q is the same version as from", p.To)
	for _, name := range p.Selector.Names {
		_, err := path.Match(name, "")
		problems.require(err == nil, "what.names: %q is no valid pattern", name)
	}
}

func (l Limits) check(problems *planProblems) {
	problems.require(l.Total >= 1, "limits.out: %d is under 1, so nothing could ever be released", l.Total)
	problems.require(l.Zone >= 0 && l.Zone <= l.Total, "limits.zone: %d is not between 0 and limits.out", l.Zone)
	problems.require(l.Cell >= 0 && l.Cell <= l.Total, "limits.pod: %d is not between 0 and limits.out", l.Cell)
}

func (p Plan) checkWaves(problems *planProblems) {
	problems.require(
		len(p.Waves) >= 1 && len(p.Waves) <= maxWaves,
		"wave: there are %d, want 1 to %d", len(p.Waves), maxWaves,
	)
	for i, wave := range p.Waves {
		problems.require(
			(wave.Count > 0) != (wave.Share > 0) && wave.Count >= 0 && wave.Share >= 0 && wave.Share <= 1,
			"wave %d: give either count, above 0, or share, above 0 and at most 1", i+1,
		)
	}
}

func (p Plan) checkTimes(problems *planProblems) {
	problems.requireDuration("soak", p.Soak, 0)
	problems.requireDuration("deadline.drain", p.Deadline.Drain, time.Second)
	problems.requireDuration("deadline.replace", p.Deadline.Replace, time.Second)
	problems.requireDuration("deadline.ready", p.Deadline.Ready, time.Second)
	problems.requireDuration("deadline.judge", p.Deadline.Verdict, 0)
}

func (g Gate) check(problems *planProblems) {
	problems.require(g.MinRequests >= 0, "gate.least: %d is under 0", g.MinRequests)
	problems.requireShare("gate.failed", g.MaxFailedExcess)
	problems.requireShare("gate.late", g.MaxLateExcess)
	problems.requireShare("gate.most", g.IncidentThreshold)
}
