package spec

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// The lab can only run experiments within these bounds.
const (
	minLength   = 2 * time.Second
	maxLength   = time.Hour
	minDrain    = 4 * time.Second // long enough for the grace period and the backend's end after it
	maxNodes    = 300
	maxBackends = 1000

	maxFollowers = 10000
	maxWorkers   = 100
)

// check returns an error for each value of the experiment that is out of its bounds or contradicts another
// one.
func (e *Experiment) check() []error {
	var errs []error
	require := func(header, key string, ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, e.errorAt(header, 0, key, format, args...))
		}
	}
	length := time.Duration(e.Length)
	require(
		"",
		"length",
		length >= minLength && length <= maxLength,
		"%v is not between %v and %v",
		length,
		minLength,
		maxLength,
	)
	fleet := e.Fleet
	require(
		"[fleet]",
		"nodes",
		fleet.Nodes >= 1 && fleet.Nodes <= maxNodes,
		"%d is not between 1 and %d",
		fleet.Nodes,
		maxNodes,
	)
	require(
		"[fleet]",
		"boxes",
		fleet.Backends >= 1 && fleet.Backends <= maxBackends,
		"%d is not between 1 and %d",
		fleet.Backends,
		maxBackends,
	)
	require(
		"[fleet]",
		"zones",
		fleet.Zones >= 1 && fleet.Zones <= min(fleet.Nodes, fleet.Backends),
		"%d is not between 1 and the number of nodes and of boxes",
		fleet.Zones,
	)
	require("[fleet]", "memory_mb", fleet.MemoryMB >= 16, "%d MB are too few, want 16 or more", fleet.MemoryMB)
	require("[fleet]", "sockets", fleet.Sockets >= 64, "%d are too few, want 64 or more", fleet.Sockets)
	require("[fleet]", "view", !fleet.View || fleet.Messages, "a view needs messages = true")
	absent, err := e.Parties(fleet.Absent)
	require("[fleet]", "absent", err == nil, "%v", err)
	require(
		"[fleet]",
		"absent",
		len(absent) < fleet.Nodes &&
			!slices.ContainsFunc(absent, func(p string) bool { return kindOf(p) != "node" }),
		"want names of nodes, fewer than all nodes",
	)
	load := e.Load
	require("[load]", "rate", load.Rate >= 0 && (load.Rate == 0 || load.Utilization == 0),
		"want either rate or use, not both, and 0 or more")
	require("[load]", "use", load.Utilization >= 0 && load.Utilization <= 20,
		"%v is not between 0 and 20", load.Utilization)
	require("[load]", "swing", load.Swing >= 0 && load.Swing < 1, "%v is not between 0 and 1", load.Swing)
	for i, s := range load.Surges {
		if s.At < 0 || s.For <= 0 || s.At+s.For > e.Length || s.Factor < 0 {
			errs = append(
				errs,
				e.errorAt(
					"[[load.surge]]",
					i,
					"at",
					"a surge has to be within the length of %v, with for above 0 and times of 0 or more",
					length,
				),
			)
		}
	}
	require("[net]", "loss", e.Net.Loss >= 0 && e.Net.Loss < 1, "%v is not between 0 and 1", e.Net.Loss)
	replicas := e.Discovery.Replicas
	require("[discovery]", "replicas", replicas == 0 || replicas == 1 || replicas == 3 || replicas == 5,
		"%d is not 0, 1, 3 or 5", replicas)
	require(
		"[discovery]",
		"replicas",
		replicas == 0 || e.Discovery.Notice == 0 && e.Discovery.Silent == 0,
		"notice and silent apply to the lab's own discovery, which replicas replace",
	)
	require(
		"[discovery]",
		"direct",
		replicas > 0 || !e.Discovery.Direct && e.Discovery.Followers == 0,
		"direct and followers need replicas",
	)
	require(
		"[discovery]",
		"followers",
		e.Discovery.Followers >= 0 && e.Discovery.Followers <= maxFollowers,
		"%d is not between 0 and %d",
		e.Discovery.Followers,
		maxFollowers,
	)
	workers := e.LeaseWorkers
	require(
		"[duties]",
		"workers",
		workers.Number >= 0 && workers.Number <= maxWorkers && (workers.Number == 0 || replicas > 0),
		"want 0 to %d workers, and discovery.replicas above 0",
		maxWorkers,
	)
	require(
		"[duties]",
		"count",
		workers.Number == 0 || workers.Leases >= 1 && workers.Leases <= 10000,
		"%d is not between 1 and 10000",
		workers.Leases,
	)
	require(
		"[duties]",
		"ttl",
		workers.Number == 0 ||
			workers.TTL >= Duration(500*time.Millisecond) && workers.TTL <= Duration(time.Minute),
		"%v is not between 500ms and 1m",
		time.Duration(workers.TTL),
	)
	if release := e.Release; release != nil {
		require(
			"[release]",
			"conductors",
			release.Controllers >= 1 && release.Controllers <= 10 && replicas > 0 && e.Discovery.Direct,
			"want 1 to 10, replicas of the registry, and discovery.direct = true",
		)
		require("[release]", "out", release.MaxUnavailable >= 1, "%d is under 1", release.MaxUnavailable)
		require("[release]", "waves", len(release.Waves) > 0, "want one wave or more")
		require("[release]", "end", release.FinalPhase != "",
			"the phase in which the release has to end is missing")
		require("[release]", "at", release.At >= 0 && release.At < e.Length,
			"%v is not within the run", time.Duration(release.At))
	}
	if quota := e.Quota; quota != nil {
		require(
			"[quota]",
			"holders",
			quota.Controllers >= 1 && quota.Controllers <= 10 && replicas > 0 && e.Discovery.Direct && fleet.View,
			"want 1 to 10, replicas of the registry, discovery.direct = true and fleet.view = true",
		)
		require("[quota]", "rate", quota.Rate > 0 && quota.Burst >= 1,
			"want a rate above 0 and a burst of 1 or more")
		for i, c := range quota.Changes {
			if c.At <= 0 || c.At >= e.Length || c.Rate <= 0 || c.Burst < 1 {
				errs = append(
					errs,
					e.errorAt(
						"[[quota.change]]",
						i,
						"at",
						"a change has to be within the run, with a rate above 0 and a burst of 1 or more",
					),
				)
			}
		}
	}
	require(
		"[bounds]",
		"used",
		e.Bounds.QuotaUsed >= 0 && e.Bounds.QuotaUsed <= 1 && (e.Bounds.QuotaUsed == 0 || e.Quota != nil),
		"want 0 to 1, and a quota",
	)
	for i, fault := range e.Faults {
		errs = append(errs, e.checkFault(i, fault)...)
	}
	errs = append(errs, e.checkOverlaps()...)
	if e.Draw != nil {
		errs = append(errs, e.checkDraw()...)
	}
	return append(errs, e.checkBounds()...)
}

// checkFault returns the errors of the i-th fault.
func (e *Experiment) checkFault(i int, fault Fault) []error {
	var errs []error
	require := func(key string, ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, e.errorAt("[[fault]]", i, key, format, args...))
		}
	}
	kind, ok := faultKinds[fault.Do]
	if !ok {
		return []error{
			e.errorAt(
				"[[fault]]",
				i,
				"do",
				"%q is not a fault; there are %s",
				fault.Do,
				strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "),
			),
		}
	}
	require("at", fault.At >= 0, "%v is before the start of the run", time.Duration(fault.At))
	require(
		"at",
		fault.At+fault.For <= e.Length,
		"the fault ends at %v, after the run's length of %v",
		time.Duration(fault.At+fault.For),
		time.Duration(e.Length),
	)
	require("for", !kind.hasLength || fault.For > 0, "%s needs a length", fault.Do)
	require("for", kind.hasLength || fault.For == 0 || fault.Interval > 0,
		"%s takes effect at once and accepts no length", fault.Do)
	require("for", fault.Do != "drain" || time.Duration(fault.For) >= minDrain,
		"a drain needs a length of %v or more", minDrain)
	for key, given := range map[string]bool{
		"way": fault.Direction != "", "delay": fault.Delay != 0, "jitter": fault.Jitter != 0,
		"loss":  fault.Loss != 0,
		"rate":  fault.Rate != 0,
		"bytes": fault.Bytes != 0, "every": fault.Interval != 0, "times": fault.SlowFactor != 0,
		"part": fault.Fraction != 0,
	} {
		require(key, !given || kind.allowedKeys[key], "%s does not accept %s", fault.Do, key)
		require(key, given || !slices.Contains(kind.requiredKeys, key), "%s needs this key", fault.Do)
	}
	require(
		"every",
		fault.Interval == 0 || (fault.For > 0 && time.Duration(fault.Interval) >= 10*time.Millisecond),
		"want 10ms or more, and a length in for",
	)
	require(
		"way",
		fault.Direction == "" ||
			fault.Direction == "both" || fault.Direction == "forward" || fault.Direction == "back",
		"%q is not both, forward or back",
		fault.Direction,
	)
	require("loss", fault.Loss >= 0 && fault.Loss < 1, "%v is not between 0 and 1", fault.Loss)
	require("part", fault.Fraction >= 0 && fault.Fraction <= 1, "%v is not between 0 and 1", fault.Fraction)
	require("times", fault.SlowFactor == 0 || fault.SlowFactor > 1, "%v is not above 1", fault.SlowFactor)
	require("bytes", fault.Bytes >= 0, "%d is below 0", fault.Bytes)
	require("delay", fault.Delay >= 0 && fault.Jitter >= 0, "delay and jitter have to be 0 or more")
	require("share", fault.Share >= 0 && fault.Share <= 1, "%v is not between 0 and 1", fault.Share)
	require("to", kind.target == "link" || len(fault.To) == 0,
		"%s is not a fault of links, so it does not accept to", fault.Do)
	require(
		"do",
		fault.Do != "upgrade" || e.Fleet.Accept ||
			!slices.ContainsFunc(fault.On, func(p string) bool { return strings.HasPrefix(p, "n") }),
		"an upgrade needs fleet.accept_fd = true",
	)
	if fault.Do == "join" {
		absent, _ := e.Parties(e.Fleet.Absent)
		joins, _ := e.Parties(fault.On)
		require(
			"on",
			!slices.ContainsFunc(joins, func(p string) bool { return !slices.Contains(absent, p) }),
			"only nodes in fleet.absent can join",
		)
	}
	if kind.target == "discovery" {
		require("on", len(fault.On) == 0, "%s acts on discovery and does not accept on", fault.Do)
		return errs
	}
	for key, names := range map[string][]string{"on": fault.On, "to": fault.To} {
		for _, name := range names {
			parties, err := e.Parties([]string{name})
			require(key, err == nil, "%v", err)
			if target := kind.target; err == nil && target != "link" {
				require(
					key,
					slices.ContainsFunc(parties, func(p string) bool { return canTarget(fault.Do, p) }),
					"%s acts on a %s, and %q selects none",
					fault.Do,
					target,
					name,
				)
			}
		}
	}
	require("on", len(fault.On) > 0, "%s needs the parties that it acts on", fault.Do)
	require("to", kind.target != "link" || len(fault.To) > 0,
		"%s needs the parties at the other ends of the links", fault.Do)
	return errs
}

// checkOverlaps returns an error for each pair of faults that can't both be carried out, because they stop or
// start the same process or backend at the same time.
func (e *Experiment) checkOverlaps() []error {
	type span struct {
		index      int
		start, end Duration
	}
	scheduled := map[string][]span{}
	var errs []error
	for i, f := range e.Faults {
		if !exclusive(f.Do) || f.Share > 0 {
			continue
		}
		parties, _ := e.Parties(f.On)
		for _, p := range parties {
			if !canTarget(f.Do, p) {
				continue
			}
			for _, s := range scheduled[p] {
				if f.At <= s.end && s.start <= f.At+f.For {
					errs = append(
						errs,
						e.errorAt(
							"[[fault]]",
							i,
							"at",
							"%s of %s overlaps with its %s at %v",
							f.Do,
							p,
							e.Faults[s.index].Do,
							time.Duration(s.start),
						),
					)
				}
			}
			scheduled[p] = append(scheduled[p], span{i, f.At, f.At + f.For})
		}
	}
	return errs
}

// checkDraw returns the errors of the table from which faults are drawn.
func (e *Experiment) checkDraw() []error {
	var errs []error
	d := e.Draw
	if d.Faults < 1 || d.Faults > 1000 {
		errs = append(errs, e.errorAt("[draw]", 0, "faults", "%d is not between 1 and 1000", d.Faults))
	}
	if d.From < 0 || d.Until > e.Length || d.Until-d.From < Duration(minLength) {
		errs = append(
			errs,
			e.errorAt(
				"[draw]",
				0,
				"until",
				"want a period of %v or more that begins at %v and ends within the run's length of %v",
				minLength,
				time.Duration(d.From),
				time.Duration(e.Length),
			),
		)
	}
	for _, do := range d.Menu {
		if _, ok := drawableFaults[do]; !ok {
			errs = append(
				errs,
				e.errorAt(
					"[draw]",
					0,
					"menu",
					"%q can't be drawn; there are %s",
					do,
					strings.Join(slices.Sorted(maps.Keys(drawableFaults)), ", "),
				),
			)
		}
		if do == "upgrade" && !e.Fleet.Accept {
			errs = append(errs, e.errorAt("[draw]", 0, "menu", "an upgrade needs fleet.accept_fd = true"))
		}
	}
	if len(d.Menu) == 0 {
		errs = append(errs, e.errorAt("[draw]", 0, "menu", "the menu is empty"))
	}
	return errs
}

// checkBounds returns the errors of the bounds that the run's figures are compared with.
func (e *Experiment) checkBounds() []error {
	var errs []error
	b := e.Bounds
	requireShare := func(key string, v float64) {
		if v < 0 || v > 1 {
			errs = append(errs, e.errorAt("[bounds]", 0, key, "%v is not between 0 and 1", v))
		}
	}
	requireShare("served", b.Served)
	requireShare("recovered_at", b.Level)
	if b.Failed != nil {
		requireShare("failed", *b.Failed)
	}
	if b.Refused != nil {
		requireShare("refused", *b.Refused)
	}
	for c, v := range b.Class {
		requireShare("class", v)
		errs = append(errs, e.knownClass("class", c)...)
	}
	for c, v := range b.P99 {
		errs = append(errs, e.knownClass("p99", c)...)
		if d, err := time.ParseDuration(v); err != nil || d <= 0 {
			errs = append(errs,
				e.errorAt("[bounds]", 0, "p99", "%q is not a duration, want a number with its unit", v))
		}
	}
	if b.LeaseGap > 0 && e.LeaseWorkers.Number == 0 {
		errs = append(errs, e.errorAt("[bounds]", 0, "holder", "the experiment has no workers that hold leases"))
	}
	if b.Propagation > 0 && e.Discovery.Followers == 0 {
		errs = append(errs, e.errorAt("[bounds]", 0, "followers", "the experiment has no followers"))
	}
	if b.Recovered > 0 && len(e.Faults) == 0 && e.Draw == nil {
		errs = append(errs, e.errorAt("[bounds]", 0, "recovered", "the experiment has no faults to recover from"))
	}
	return errs
}

// Classes lists the names of classes that bounds may use.
var Classes = []string{"ledger-view", "aging-report", "payment-post", "advance-release"}

// knownClass returns an error if name is not one of Classes.
func (e *Experiment) knownClass(key, name string) []error {
	if slices.Contains(Classes, name) {
		return nil
	}
	return []error{
		e.errorAt("[bounds]", 0, key, "%q is not a class; there are %s", name, strings.Join(Classes, ", "))}
}
