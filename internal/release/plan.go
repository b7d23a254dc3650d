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
	"math"
	"path"
	"slices"
	"time"
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
