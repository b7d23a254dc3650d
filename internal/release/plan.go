// Package release takes servers, or the proxies themselves, from one version to another in a staged rollout.
// The servers are released in waves. Each wave is followed by a soak, at whose end a gate compares the
// released servers with the rest. A fault halts the release or rolls it back.
//
// Plan and State do no I/O and read no clock: State.Step, RecordResult, ApplyVerdict and Order take events
// with the time since the release began, and State.Actions returns the actions to carry out. A Controller,
// which runs under a lease, writes the state to the registry before and after each action, so that a
// controller that takes over continues from the record. An Executor carries out the actions: ServerExecutor
// on servers, through their agents and the proxies, and ProxyExecutor on the proxies themselves.
package release

import (
	"cmp"
	"math"
	"path"
	"slices"
	"time"
)

// Plan describes a release. In a plan's file, durations have units, as in "30s".
type Plan struct {
	Name string `koanf:"name" json:"name"`
	// Kind is KindServers or KindProxies; empty means KindServers.
	Kind     string   `koanf:"kind" json:"kind,omitempty"`
	From     string   `koanf:"from" json:"from"` // the previous version
	To       string   `koanf:"to" json:"to"`     // the new version
	Selector Selector `koanf:"what" json:"what"`
	Limits   Limits   `koanf:"limits" json:"limits"`
	Waves    []Wave   `koanf:"wave" json:"waves"`

	// Soak is the time from the return of a wave's last server to the evaluation of the gate.
	Soak     time.Duration `koanf:"soak" json:"soak_ns"`
	Gate     Gate          `koanf:"gate" json:"gate"`
	Halt     string        `koanf:"halt" json:"halt"` // HaltWait or HaltRollBack
	Deadline Deadline      `koanf:"deadline" json:"deadline"`
}

// Selector selects the servers that match all of its lists. An empty list matches every server. Names may be
// patterns with * and ?.
type Selector struct {
	Zones []string `koanf:"zones" json:"zones,omitempty"`
	Types []string `koanf:"types" json:"types,omitempty"`
	Names []string `koanf:"names" json:"names,omitempty"`
}

// Limits bounds the number of servers that may be out of service at the same time, whatever the reason.
type Limits struct {
	Total int `koanf:"out" json:"out"`   // in the fleet
	Zone  int `koanf:"zone" json:"zone"` // in each zone; 0 means Total
	Cell  int `koanf:"pod" json:"pod"`   // in each cell of a type; 0 means Total
}

// Wave is a number of further servers to release, or the share of all servers that are released by the wave's
// end. The last wave contains all remaining servers.
type Wave struct {
	Count int     `koanf:"count" json:"count,omitempty"`
	Share float64 `koanf:"share" json:"share,omitempty"`
}

// Gate compares the released servers with the rest over the soak.
type Gate struct {
	// MinRequests is the number of requests that the released servers and the rest each need for a verdict.
	MinRequests int `koanf:"least" json:"least"`
	// MaxFailedExcess is by how much the released servers' share of failed requests may exceed the rest's.
	MaxFailedExcess float64 `koanf:"failed" json:"failed"`
	MaxLateExcess   float64 `koanf:"late" json:"late"` // the same for late requests, see Counts.Late
	// IncidentThreshold is the share of failed requests above which a group of servers counts as bad. If the
	// released servers and the rest are both bad, the verdict is Incident. 0 means 0.1.
	IncidentThreshold float64 `koanf:"most" json:"most"`
}

// Deadline bounds the time that each step may take. Drain also bounds the step Maintenance, and Ready also
// bounds the step Restore.
type Deadline struct {
	Drain   time.Duration `koanf:"drain" json:"drain_ns"`
	Replace time.Duration `koanf:"replace" json:"replace_ns"`
	Ready   time.Duration `koanf:"ready" json:"ready_ns"`
	Verdict time.Duration `koanf:"judge" json:"judge_ns"` // from the end of the soak to the gate's verdict
}

// The kinds of plans.
const (
	KindServers = "servers"
	KindProxies = "program" // the proxies themselves
)

// IsForProxies reports whether the plan releases the proxies themselves.
func (p Plan) IsForProxies() bool { return p.Kind == KindProxies }

// What a fault does to a release.
const (
	HaltWait     = "wait" // the fault halts the release until an operator's order
	HaltRollBack = "back" // the fault rolls the release back
)

// Bounds on plans.
const (
	MaxTargets  = 500 // so that the record of a release fits into a record of the registry
	maxWaves    = 50
	maxDuration = 24 * time.Hour
)

// DefaultPlan returns a cautious plan without a name, versions and a selector.
func DefaultPlan() Plan {
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
			Verdict: 2 * time.Minute,
		},
	}
}

// Matches reports whether the plan's selector selects a server or a proxy.
func (p Plan) Matches(target Target) bool {
	accepts := func(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }
	named := len(p.Selector.Names) == 0 || slices.ContainsFunc(p.Selector.Names, func(pattern string) bool {
		ok, err := path.Match(pattern, target.Name)
		return ok && err == nil
	})
	return accepts(p.Selector.Zones, target.Zone) && accepts(p.Selector.Types, target.Type) && named
}

// waveEnds returns, for each wave, how many of the targets are released by the wave's end.
func (p Plan) waveEnds(targets int) (ends []int) {
	released := 0
	for i, wave := range p.Waves {
		if wave.Count > 0 {
			released += wave.Count
		} else {
			released = max(released, int(math.Ceil(wave.Share*float64(targets))))
		}
		released = min(released, targets)
		if i == len(p.Waves)-1 {
			released = targets
		}
		ends = append(ends, released)
	}
	return ends
}

// spreadOverZones returns the servers in the order in which they get the new version: the zones in turn and,
// within a zone, the cells in turn, so that the servers of a wave are spread over as many zones and cells as
// possible. Ties are ordered by server name; the order of targets does not matter.
func spreadOverZones(targets []Target) []Target {
	counts := map[string]int{} // servers counted so far, by cell and by "zone " + zone
	type ranked struct {
		Target
		cellRank, zoneRank int // position of the server within its cell and its zone
	}
	var ranking []ranked
	byName := func(a, b Target) int { return cmp.Compare(a.Name, b.Name) }
	for _, target := range slices.SortedFunc(slices.Values(targets), byName) {
		cell := target.cell()
		ranking = append(ranking, ranked{target, counts[cell], 0})
		counts[cell]++
	}
	slices.SortStableFunc(ranking, func(a, b ranked) int { return a.cellRank - b.cellRank })
	for i := range ranking {
		zone := "zone " + ranking[i].Zone
		ranking[i].zoneRank = counts[zone]
		counts[zone]++
	}
	slices.SortStableFunc(ranking, func(a, b ranked) int { return a.zoneRank - b.zoneRank })
	var ordered []Target
	for _, entry := range ranking {
		ordered = append(ordered, entry.Target)
	}
	return ordered
}
