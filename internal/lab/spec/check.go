package spec

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of an experiment, within which the lab can carry it out.
const (
	minLength   = 2 * time.Second
	maxLength   = time.Hour
	minDrain    = 4 * time.Second // the grace period, and the backend's end after it
	maxNodes    = 300
	maxBackends = 1000

	maxFollowers = 10000
	maxWorkers   = 100
)

// check returns an error for each value of the experiment that is out of its bounds or contradicts another
// one.
func (e *Experiment) check() []error {
	var errs []error
	bad := func(header, key string, ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, e.errorAt(header, 0, key, format, args...))
		}
	}
	length := time.Duration(e.Length)
	bad(
		"",
		"length",
		length >= minLength && length <= maxLength,
		"%v is not between %v and %v",
		length,
		minLength,
		maxLength,
	)
	f := e.Fleet
	bad(
		"[fleet]",
		"nodes",
		f.Nodes >= 1 && f.Nodes <= maxNodes,
		"%d is not between 1 and %d",
		f.Nodes,
		maxNodes,
	)
	bad(
		"[fleet]",
		"boxes",
		f.Boxes >= 1 && f.Boxes <= maxBackends,
		"%d is not between 1 and %d",
		f.Boxes,
		maxBackends,
	)
	bad(
		"[fleet]",
		"zones",
		f.Zones >= 1 && f.Zones <= min(f.Nodes, f.Boxes),
		"%d is not between 1 and the number of nodes and of boxes",
		f.Zones,
	)
	bad("[fleet]", "memory_mb", f.MemoryMB >= 16, "%d MB are too few, want 16 or more", f.MemoryMB)
	bad("[fleet]", "sockets", f.Sockets >= 64, "%d are too few, want 64 or more", f.Sockets)
	bad("[fleet]", "view", !f.View || f.Messages, "a view needs messages = true")
	absent, err := e.Parties(f.Absent)
	bad("[fleet]", "absent", err == nil, "%v", err)
	bad(
		"[fleet]",
		"absent",
		len(absent) < f.Nodes && !slices.ContainsFunc(absent, func(p string) bool { return kindOf(p) != "node" }),
		"want nodes, and not all of them",
	)
	l := e.Load
	bad("[load]", "rate", l.Rate >= 0 && (l.Rate == 0 || l.Use == 0), "give either rate or use, 0 or more")
	bad("[load]", "use", l.Use >= 0 && l.Use <= 20, "%v is not between 0 and 20", l.Use)
	bad("[load]", "swing", l.Swing >= 0 && l.Swing < 1, "%v is not between 0 and 1", l.Swing)
	for i, s := range l.Surges {
		if s.At < 0 || s.For <= 0 || s.At+s.For > e.Length || s.Times < 0 {
			errs = append(
				errs,
				e.errorAt(
					"[[load.surge]]",
					i,
					"at",
					"a surge has to lie within the length of %v, with for and times above 0",
					length,
				),
			)
		}
	}
	bad("[net]", "loss", e.Net.Loss >= 0 && e.Net.Loss < 1, "%v is not between 0 and 1", e.Net.Loss)
	r := e.List.Replicas
	bad("[discovery]", "replicas", r == 0 || r == 1 || r == 3 || r == 5, "%d is not 1, 3 or 5", r)
	bad(
		"[discovery]",
		"replicas",
		r == 0 || e.List.Notice == 0 && e.List.Silent == 0,
		"notice and silent are the lab's discovery's",
	)
	bad(
		"[discovery]",
		"direct",
		r > 0 || !e.List.Direct && e.List.Followers == 0,
		"direct and followers need replicas",
	)
	bad(
		"[discovery]",
		"followers",
		e.List.Followers >= 0 && e.List.Followers <= maxFollowers,
		"%d is not between 0 and %d",
		e.List.Followers,
		maxFollowers,
	)
	d := e.Duties
	bad(
		"[duties]",
		"workers",
		d.Workers >= 0 && d.Workers <= maxWorkers && (d.Workers == 0 || r > 0),
		"want 0 to %d, and replicas of the registry",
		maxWorkers,
	)
	bad(
		"[duties]",
		"count",
		d.Workers == 0 || d.Count >= 1 && d.Count <= 10000,
		"%d is not between 1 and 10000",
		d.Count,
	)
	bad(
		"[duties]",
		"ttl",
		d.Workers == 0 || d.TTL >= Duration(500*time.Millisecond) && d.TTL <= Duration(time.Minute),
		"%v is not between 500ms and 1m",
		time.Duration(d.TTL),
	)
	if v := e.Release; v != nil {
		bad(
			"[release]",
			"conductors",
			v.Conductors >= 1 && v.Conductors <= 10 && r > 0 && e.List.Direct,
			"want 1 to 10, and nodes that follow the registry directly",
		)
		bad("[release]", "out", v.Out >= 1, "%d is under 1", v.Out)
		bad("[release]", "waves", len(v.Waves) > 0, "there are none")
		bad("[release]", "end", v.End != "", "the phase that it has to come to is missing")
		bad("[release]", "at", v.At >= 0 && v.At < e.Length, "%v lies outside of the run", time.Duration(v.At))
	}
	if q := e.Quota; q != nil {
		bad(
			"[quota]",
			"holders",
			q.Holders >= 1 && q.Holders <= 10 && r > 0 && e.List.Direct && f.View,
			"want 1 to 10, nodes that follow the registry directly, and fleet.view = true",
		)
		bad("[quota]", "rate", q.Rate > 0 && q.Burst >= 1, "want a rate above 0 and a burst of 1 or more")
		for i, c := range q.Changes {
			if c.At <= 0 || c.At >= e.Length || c.Rate <= 0 || c.Burst < 1 {
				errs = append(
					errs,
					e.errorAt(
						"[[quota.change]]",
						i,
						"at",
						"a change lies within the run, with a rate above 0 and a burst of 1 or more",
					),
				)
			}
		}
	}
	bad(
		"[bounds]",
		"used",
		e.Bounds.Used >= 0 && e.Bounds.Used <= 1 && (e.Bounds.Used == 0 || e.Quota != nil),
		"want 0 to 1, and a quota",
	)
	for i, fault := range e.Faults {
		errs = append(errs, e.checkFault(i, fault)...)
	}
	errs = append(errs, e.overlaps()...)
	if e.Draw != nil {
		errs = append(errs, e.checkDraw()...)
	}
	return append(errs, e.checkBounds()...)
}

// checkFault returns the errors of the i-th fault.
func (e *Experiment) checkFault(i int, f Fault) []error {
	var errs []error
	bad := func(key string, ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, e.errorAt("[[fault]]", i, key, format, args...))
		}
	}
	a, ok := faultKinds[f.Do]
	if !ok {
		return []error{
			e.errorAt(
				"[[fault]]",
				i,
				"do",
				"%q is not a fault; there are %s",
				f.Do,
				strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "),
			),
		}
	}
	bad("at", f.At >= 0, "%v lies before the run", time.Duration(f.At))
	bad(
		"at",
		f.At+f.For <= e.Length,
		"it ends at %v, after the run's %v",
		time.Duration(f.At+f.For),
		time.Duration(e.Length),
	)
	bad("for", !a.hasLength || f.For > 0, "%s needs a length", f.Do)
	bad("for", a.hasLength || f.For == 0 || f.Every > 0, "%s is of one moment and takes no length", f.Do)
	bad("for", f.Do != "drain" || time.Duration(f.For) >= minDrain, "a drain takes %v or more", minDrain)
	for key, given := range map[string]bool{
		"way": f.Way != "", "delay": f.Delay != 0, "jitter": f.Jitter != 0, "loss": f.Loss != 0,
		"rate":  f.Rate != 0,
		"bytes": f.Bytes != 0, "every": f.Every != 0, "times": f.Times != 0, "part": f.Part != 0,
	} {
		bad(key, !given || a.allowedKeys[key], "%s takes no %s", f.Do, key)
		bad(key, given || !slices.Contains(a.requiredKeys, key), "%s needs it", f.Do)
	}
	bad(
		"every",
		f.Every == 0 || (f.For > 0 && time.Duration(f.Every) >= 10*time.Millisecond),
		"it needs for, and 10ms or more",
	)
	bad(
		"way",
		f.Way == "" || f.Way == "both" || f.Way == "forward" || f.Way == "back",
		"%q is not both, forward or back",
		f.Way,
	)
	bad("loss", f.Loss >= 0 && f.Loss < 1, "%v is not between 0 and 1", f.Loss)
	bad("part", f.Part >= 0 && f.Part <= 1, "%v is not between 0 and 1", f.Part)
	bad("times", f.Times == 0 || f.Times > 1, "%v is not above 1", f.Times)
	bad("bytes", f.Bytes >= 0, "%d is not above 0", f.Bytes)
	bad("delay", f.Delay >= 0 && f.Jitter >= 0, "a delay is 0 or more")
	bad("share", f.Share >= 0 && f.Share <= 1, "%v is not between 0 and 1", f.Share)
	bad("to", a.target == "link" || len(f.To) == 0, "%s has no other end", f.Do)
	bad(
		"do",
		f.Do != "upgrade" || e.Fleet.Accept ||
			!slices.ContainsFunc(f.On, func(p string) bool { return strings.HasPrefix(p, "n") }),
		"an upgrade needs fleet.accept_fd = true",
	)
	if f.Do == "join" {
		absent, _ := e.Parties(e.Fleet.Absent)
		joins, _ := e.Parties(f.On)
		bad(
			"on",
			!slices.ContainsFunc(joins, func(p string) bool { return !slices.Contains(absent, p) }),
			"only those of fleet.absent can join",
		)
	}
	if a.target == "discovery" {
		bad("on", len(f.On) == 0, "%s is done to discovery alone", f.Do)
		return errs
	}
	for key, ends := range map[string][]string{"on": f.On, "to": f.To} {
		for _, name := range ends {
			got, err := e.Parties([]string{name})
			bad(key, err == nil, "%v", err)
			if kind := a.target; err == nil && kind != "link" {
				bad(
					key,
					slices.ContainsFunc(got, func(p string) bool { return canTarget(f.Do, p) }),
					"%s is done to a %s, and %q names none",
					f.Do,
					kind,
					name,
				)
			}
		}
	}
	bad("on", len(f.On) > 0, "%s needs to know on whom", f.Do)
	bad("to", a.target != "link" || len(f.To) > 0, "%s needs the links' other ends", f.Do)
	return errs
}

// overlaps returns an error for each pair of faults that can't both be carried out, since they stop or start
// the same process or backend at the same time.
func (e *Experiment) overlaps() []error {
	type span struct {
		i    int
		a, b Duration
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
				if f.At <= s.b && s.a <= f.At+f.For {
					errs = append(
						errs,
						e.errorAt(
							"[[fault]]",
							i,
							"at",
							"%s of %s overlaps with its %s at %v",
							f.Do,
							p,
							e.Faults[s.i].Do,
							time.Duration(s.a),
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
				"faults need %v or more from %v on, within the run's %v",
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
		errs = append(errs, e.errorAt("[draw]", 0, "menu", "it is empty"))
	}
	return errs
}

// checkBounds returns the errors of the bounds that the run's figures are compared with.
func (e *Experiment) checkBounds() []error {
	var errs []error
	b := e.Bounds
	share := func(key string, v float64) {
		if v < 0 || v > 1 {
			errs = append(errs, e.errorAt("[bounds]", 0, key, "%v is not between 0 and 1", v))
		}
	}
	share("served", b.Served)
	share("recovered_at", b.Level)
	if b.Failed != nil {
		share("failed", *b.Failed)
	}
	if b.Refused != nil {
		share("refused", *b.Refused)
	}
	for c, v := range b.Class {
		share("class", v)
		errs = append(errs, e.knownClass("class", c)...)
	}
	for c, v := range b.P99 {
		errs = append(errs, e.knownClass("p99", c)...)
		if d, err := time.ParseDuration(v); err != nil || d <= 0 {
			errs = append(errs,
				e.errorAt("[bounds]", 0, "p99", "%q is not a duration, want a number with its unit", v))
		}
	}
	if b.Holder > 0 && e.Duties.Workers == 0 {
		errs = append(errs, e.errorAt("[bounds]", 0, "holder", "nobody holds duties"))
	}
	if b.Followers > 0 && e.List.Followers == 0 {
		errs = append(errs, e.errorAt("[bounds]", 0, "followers", "there are none"))
	}
	if b.Recovered > 0 && len(e.Faults) == 0 && e.Draw == nil {
		errs = append(errs, e.errorAt("[bounds]", 0, "recovered", "there is no fault to recover from"))
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
		e.errorAt("[bounds]", 0, key, "%q is no class; there are %s", name, strings.Join(Classes, ", "))}
}
