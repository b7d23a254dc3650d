// Package release takes servers, or the program's own proxies, from one version to another: in waves, each
// judged by a gate after a soak, with a halt and a rollback.
//
// Plan and State are pure: State.Step, Done, Judged and Order take events with the time since the release
// began, and State.Actions returns what is to be carried out. A Controller, which holds a lease, writes the
// state to the registry before and after each action; so whichever controller follows goes on from the
// record. An Executor carries the actions out, on servers through agents and proxies, or on the proxies
// themselves.
package release

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"path"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Plan is what a release is to do. Times in its file have units, as in "30s".
type Plan struct {
	Name string `koanf:"name" json:"name"`
	// servers, also where it is absent, or program: the proxies themselves
	Kind     string   `koanf:"kind" json:"kind,omitempty"`
	From     string   `koanf:"from" json:"from"` // version
	To       string   `koanf:"to" json:"to"`
	Selector Selector `koanf:"what" json:"what"`
	Limits   Limits   `koanf:"limits" json:"limits"`
	Waves    []Wave   `koanf:"wave" json:"waves"`

	// from the return of a wave's last server to the gate
	Soak     time.Duration `koanf:"soak" json:"soak_ns"`
	Gate     Gate          `koanf:"gate" json:"gate"`
	Halt     string        `koanf:"halt" json:"halt"` // wait, or back
	Deadline Deadline      `koanf:"deadline" json:"deadline"`
}

// Selector selects the servers: those that match all that is given. Names may have * and ?.
type Selector struct {
	Zones []string `koanf:"zones" json:"zones,omitempty"`
	Types []string `koanf:"types" json:"types,omitempty"`
	Names []string `koanf:"names" json:"names,omitempty"`
}

// Limits say how many servers may be out at once, for whatever reason.
type Limits struct {
	Total int `koanf:"out" json:"out"`   // in all
	Zone  int `koanf:"zone" json:"zone"` // in a zone; 0: as many as in all
	Cell  int `koanf:"pod" json:"pod"`   // in a pod of a type; 0: as many as in all
}

// Wave is a number or a share of the servers; the last takes all that are left.
type Wave struct {
	Count int     `koanf:"count" json:"count,omitempty"`
	Share float64 `koanf:"share" json:"share,omitempty"`
}

// Gate compares the released servers with the rest over the soak.
type Gate struct {
	// requests that each part must have had, else it is undecided
	MinRequests int `koanf:"least" json:"least"`
	// the released part's share of failures may be so much above the rest's
	MaxFailedExcess float64 `koanf:"failed" json:"failed"`
	MaxLateExcess   float64 `koanf:"late" json:"late"` // the same, of requests past their latency objective
	// failures of either part above this share are an incident of its own; 0: 0.1
	IncidentThreshold float64 `koanf:"most" json:"most"`
}

// Deadline says how long a step may take.
type Deadline struct {
	Drain   time.Duration `koanf:"drain" json:"drain_ns"`
	Replace time.Duration `koanf:"replace" json:"replace_ns"`
	Ready   time.Duration `koanf:"ready" json:"ready_ns"`
	Judge   time.Duration `koanf:"judge" json:"judge_ns"` // past the soak, for a gate to decide
}

// What is released.
const (
	KindServers = "servers"
	KindProxies = "program"
)

// IsForProxies reports whether the plan is about the proxies themselves.
func (p Plan) IsForProxies() bool { return p.Kind == KindProxies }

// What a halt may do by itself.
const (
	HaltWait     = "wait"
	HaltRollBack = "back"
)

// Bounds on plans.
const (
	MaxTargets  = 500 // whose record has to fit into one of the registry
	maxWaves    = 50
	maxDuration = 24 * time.Hour
)

// Default is a careful plan but for its name, versions and servers.
func Default() Plan {
	return Plan{
		Limits: Limits{Total: 1},
		Waves:  []Wave{{Count: 1}, {Share: 0.1}, {Share: 0.5}, {Share: 1}},
		Soak:   30 * time.Second,
		Halt:   HaltWait,
		Gate:   Gate{MinRequests: 200, MaxFailedExcess: 0.01, MaxLateExcess: 0.05, IncidentThreshold: 0.1},
		Deadline: Deadline{
			Drain:   time.Minute,
			Replace: 2 * time.Minute,
			Ready:   time.Minute,
			Judge:   2 * time.Minute,
		},
	}
}

// planProblems collects the faults of a plan, each with the key that it is about.
type planProblems struct{ errs []error }

func (p *planProblems) require(ok bool, format string, args ...any) {
	if !ok {
		p.errs = append(p.errs, fmt.Errorf(format, args...))
	}
}

func (p *planProblems) requireText(key, value string) {
	p.require(value != "" && len(value) <= registry.MaxText, "%s: want 1 to %d bytes", key, registry.MaxText)
}

func (p *planProblems) requireDuration(key string, d, least time.Duration) {
	p.require(d >= least && d <= maxDuration, "%s: %v is not between %v and %v", key, d, least, maxDuration)
}

func (p *planProblems) requireShare(key string, share float64) {
	p.require(share >= 0 && share <= 1, "%s: %v is not between 0 and 1", key, share)
}

// Check validates a plan. The error names all faults, each with its key.
func (p Plan) Check() error {
	var problems planProblems
	p.checkWhat(&problems)
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

// checkWhat validates what is released, and from which version to which.
func (p Plan) checkWhat(problems *planProblems) {
	problems.requireText("name", p.Name)
	problems.requireText("from", p.From)
	problems.requireText("to", p.To)
	problems.require(
		p.Kind == "" || p.Kind == KindServers || p.Kind == KindProxies,
		"kind: %q is neither %q nor %q", p.Kind, KindServers, KindProxies,
	)
	problems.require(p.From != p.To, "to: %q is the version that is there already", p.To)
	for _, name := range p.Selector.Names {
		_, err := path.Match(name, "")
		problems.require(err == nil, "what.names: %q is no pattern", name)
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
	for i, w := range p.Waves {
		problems.require(
			(w.Count > 0) != (w.Share > 0) && w.Count >= 0 && w.Share >= 0 && w.Share <= 1,
			"wave %d: give either count, above 0, or share, above 0 and at most 1", i+1,
		)
	}
}

func (p Plan) checkTimes(problems *planProblems) {
	problems.requireDuration("soak", p.Soak, 0)
	problems.requireDuration("deadline.drain", p.Deadline.Drain, time.Second)
	problems.requireDuration("deadline.replace", p.Deadline.Replace, time.Second)
	problems.requireDuration("deadline.ready", p.Deadline.Ready, time.Second)
	problems.requireDuration("deadline.judge", p.Deadline.Judge, 0)
}

func (g Gate) check(problems *planProblems) {
	problems.require(g.MinRequests >= 0, "gate.least: %d is under 0", g.MinRequests)
	problems.requireShare("gate.failed", g.MaxFailedExcess)
	problems.requireShare("gate.late", g.MaxLateExcess)
	problems.requireShare("gate.most", g.IncidentThreshold)
}

// Matches reports whether a server or a proxy is one of those that the plan is about.
func (p Plan) Matches(t Target) bool {
	one := func(all []string, is string) bool { return len(all) == 0 || slices.Contains(all, is) }
	named := len(p.Selector.Names) == 0 || slices.ContainsFunc(p.Selector.Names, func(n string) bool {
		ok, err := path.Match(n, t.Name)
		return ok && err == nil
	})
	return one(p.Selector.Zones, t.Zone) && one(p.Selector.Types, t.Type) && named
}

// waveEnds gives, for each wave, how many of n servers are released by its end.
func (p Plan) waveEnds(n int) (all []int) {
	done := 0
	for i, w := range p.Waves {
		if w.Count > 0 {
			done += w.Count
		} else {
			done = max(done, int(math.Ceil(w.Share*float64(n))))
		}
		done = min(done, n)
		if i == len(p.Waves)-1 {
			done = n
		}
		all = append(all, done)
	}
	return all
}

// order puts servers in the order of their release: zones in turn, pods in turn
// within a zone, so that a wave is spread as wide as it can be.
func order(all []Target) []Target {
	count := map[string]int{} // servers of a zone, of a pod in a zone
	type ranked struct {
		Target
		pod, zone int // the how manieth of it
	}
	var in []ranked
	byName := func(a, b Target) int { return cmp.Compare(a.Name, b.Name) }
	for _, t := range slices.SortedFunc(slices.Values(all), byName) {
		pod := t.cell()
		in = append(in, ranked{t, count[pod], 0})
		count[pod]++
	}
	slices.SortStableFunc(in, func(a, b ranked) int { return a.pod - b.pod })
	for i := range in {
		zone := "zone " + in[i].Zone
		in[i].zone = count[zone]
		count[zone]++
	}
	slices.SortStableFunc(in, func(a, b ranked) int { return a.zone - b.zone })
	var out []Target
	for _, r := range in {
		out = append(out, r.Target)
	}
	return out
}
