package spec

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/lab/world"
)

// The parties that have no number.
const (
	Clients   = "clients"
	Discovery = "discovery"

	Controllers = "conductors" // all release controllers, as an end of links
	Agents      = "agents"     // the agents of the backends' machines, as an end of links
)

// Parties returns the parties that the names select, each once. A name is a single party (such as n0, s0,
// clients or discovery), a group (nodes, boxes, replicas, workers, holders for the quota controllers,
// conductors for the release controllers, agents), or zone:NAME for the nodes and backends of a zone.
func (e *Experiment) Parties(names []string) ([]string, error) {
	var parties []string
	for _, name := range names {
		var selected []string
		switch zone, isZone := strings.CutPrefix(name, "zone:"); {
		case isZone:
			if selected = e.partiesInZone(zone); selected == nil {
				return nil, fmt.Errorf("there is no zone %q; there are %s", zone, strings.Join(e.Zones(), ", "))
			}
		case name == Clients, name == Discovery:
			selected = []string{name}
		case name == "nodes":
			selected = numberedNames("n", e.Fleet.Nodes)
		case e.Release != nil && (name == Controllers || name == Agents):
			selected = []string{name}
		case e.Release != nil && slices.Contains(numberedNames("c", e.Release.Controllers), name):
			selected = []string{name}
		case e.Quota != nil && name == "holders":
			selected = numberedNames("k", e.Quota.Controllers)
		case e.Quota != nil && slices.Contains(numberedNames("k", e.Quota.Controllers), name):
			selected = []string{name}
		case name == "workers" && e.LeaseWorkers.Number > 0:
			selected = numberedNames("d", e.LeaseWorkers.Number)
		case slices.Contains(numberedNames("d", e.LeaseWorkers.Number), name):
			selected = []string{name}
		case name == "replicas" && e.Discovery.Replicas > 0:
			selected = numberedNames("r", e.Discovery.Replicas)
		case slices.Contains(numberedNames("r", e.Discovery.Replicas), name):
			selected = []string{name}
		case name == "boxes":
			selected = numberedNames("s", e.Fleet.Backends)
		case slices.Contains(numberedNames("n", e.Fleet.Nodes), name),
			slices.Contains(numberedNames("s", e.Fleet.Backends), name):
			selected = []string{name}
		default:
			return nil, fmt.Errorf(
				"%q is no party of the experiment; there are n0 to n%d, s0 to s%d, nodes, boxes, zone:NAME, %s and %s, and replicas if discovery.replicas is given",
				name,
				e.Fleet.Nodes-1,
				e.Fleet.Backends-1,
				Clients,
				Discovery,
			)
		}
		for _, p := range selected {
			if !slices.Contains(parties, p) {
				parties = append(parties, p)
			}
		}
	}
	return parties, nil
}

// numberedNames returns prefix0 to prefix(n-1).
func numberedNames(prefix string, n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(prefix, i)
	}
	return names
}

// kindOf returns the kind of a party, by the prefix of its name.
func kindOf(party string) string {
	switch {
	case party == Clients, party == Discovery, party == Controllers, party == Agents:
		return party
	case strings.HasPrefix(party, "c"):
		return "conductor"
	case strings.HasPrefix(party, "k"):
		return "keeper"
	case strings.HasPrefix(party, "n"):
		return "node"
	case strings.HasPrefix(party, "r"):
		return "replica"
	case strings.HasPrefix(party, "d"):
		return "worker"
	}
	return "box"
}

// canTarget reports whether a fault can act on a party. Kills, pauses and restarts act on nodes, and also on
// registry replicas, release controllers, quota controllers and workers. Upgrades act on nodes and workers.
func canTarget(do, party string) bool {
	kind := kindOf(party)
	isProcessFault := do == "kill" || do == "pause" || do == "restart"
	return kind == faultKinds[do].target ||
		(kind == "replica" || kind == "conductor" || kind == "keeper") && isProcessFault ||
		kind == "worker" && (isProcessFault || do == "upgrade")
}

// Zones returns the names of the zones.
func (e *Experiment) Zones() []string { return world.Draw(0, e.Fleet.Zones, 0).Zones }

// partiesInZone returns the names of the nodes (n0) and backends (s0) of a zone. It returns nil if there is
// no such zone, or the zone has neither.
func (e *Experiment) partiesInZone(zone string) []string {
	i := slices.Index(e.Zones(), zone)
	if i < 0 {
		return nil
	}
	var parties []string
	for n := i; n < e.Fleet.Nodes; n += e.Fleet.Zones {
		parties = append(parties, fmt.Sprint("n", n))
	}
	for s := i; s < e.Fleet.Backends; s += e.Fleet.Zones {
		parties = append(parties, fmt.Sprint("s", s))
	}
	return parties
}

// Step is one fault of the schedule, with the parties that were drawn for it.
type Step struct {
	Fault
	Name string // identifies the step within the run
	On   []string
	To   []string
}

// drawableFaults holds, by the fault's name, the function that draws one fault of this kind. limit is the
// longest time that the fault may last.
var drawableFaults = map[string]func(r *rand.Rand, limit time.Duration) Fault{
	"kill":    func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 3)} },
	"pause":   func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 4)} },
	"restart": func(r *rand.Rand, limit time.Duration) Fault { return Fault{} },
	"upgrade": func(r *rand.Rand, limit time.Duration) Fault { return Fault{} },
	"crash":   func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 5)} },
	"vanish":  func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 6)} },
	"slow": func(r *rand.Rand, limit time.Duration) Fault {
		return Fault{For: randomLength(r, limit, 8), SlowFactor: 3 + 5*r.Float64()}
	},
	"hang": func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 8)} },
	"errors": func(r *rand.Rand, limit time.Duration) Fault {
		return Fault{For: randomLength(r, limit, 8), Fraction: 0.3 + 0.5*r.Float64()}
	},
	"cut": func(r *rand.Rand, limit time.Duration) Fault {
		return Fault{For: randomLength(r, limit, 5), Direction: []string{"both", "forward", "back"}[r.IntN(3)]}
	},
	"mute":  func(r *rand.Rand, limit time.Duration) Fault { return Fault{For: randomLength(r, limit, 5)} },
	"reset": func(r *rand.Rand, limit time.Duration) Fault { return Fault{} },
	"shape": func(r *rand.Rand, limit time.Duration) Fault {
		return Fault{
			For:   randomLength(r, limit, 6),
			Delay: Duration(time.Duration(5+r.IntN(60)) * time.Millisecond),
			Loss:  0.2 * r.Float64(),
		}
	},
	"snip": func(r *rand.Rand, limit time.Duration) Fault {
		return Fault{For: randomLength(r, limit, 3), Bytes: 200 + r.IntN(4000)}
	},
}

// randomLength draws a length between a quarter of the maximum and the maximum. The maximum is the given
// number of seconds, or the limit if it is shorter.
func randomLength(r *rand.Rand, limit time.Duration, seconds int) Duration {
	longest := min(limit, time.Duration(seconds)*time.Second)
	return Duration(longest/4 + time.Duration(r.Int64N(int64(longest*3/4))))
}

// Schedule returns all faults of a run, in the order in which they begin: the faults of the file, for whose
// shares it draws the parties, and the faults drawn from the menu. The result depends only on the experiment
// and the seed.
func (e *Experiment) Schedule(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 0x6661756c74))
	var steps []Step
	for _, f := range e.Faults {
		on, _ := e.Parties(f.On) // checked when the file was parsed
		to, _ := e.Parties(f.To)
		if target := faultKinds[f.Do].target; target == "node" || target == "box" {
			on = slices.DeleteFunc(on, func(p string) bool { return !canTarget(f.Do, p) })
		}
		steps = append(steps, Step{Fault: f, On: drawParties(r, on, f.Share), To: to})
	}
	steps = append(steps, e.drawSteps(r, steps)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for i := range steps {
		steps[i].Name = fmt.Sprintf("%d-%s", i+1, steps[i].Do)
	}
	return steps
}

// drawParties draws a share of the parties, but at least one party. A share of 0 selects all parties.
func drawParties(r *rand.Rand, parties []string, share float64) []string {
	if share == 0 || len(parties) == 0 {
		return parties
	}
	n := max(1, int(share*float64(len(parties))+0.5))
	chosen := slices.Clone(parties)
	r.Shuffle(len(chosen), func(i, k int) { chosen[i], chosen[k] = chosen[k], chosen[i] })
	chosen = chosen[:n]
	slices.Sort(chosen)
	return chosen
}

// maxDrawAttempts bounds how often one fault is drawn until it overlaps with no scheduled fault.
const maxDrawAttempts = 50

// drawSteps draws faults from the menu that overlap neither with the fixed steps nor with each other. A fault
// that overlaps in all maxDrawAttempts attempts is left out.
func (e *Experiment) drawSteps(r *rand.Rand, fixed []Step) []Step {
	if e.Draw == nil {
		return nil
	}
	var steps []Step
	for range e.Draw.Faults {
		for range maxDrawAttempts {
			s := e.drawStep(r)
			if !overlapsAny(s, fixed) && !overlapsAny(s, steps) {
				steps = append(steps, s)
				break
			}
		}
	}
	return steps
}

// drawStep draws a kind of fault from the menu, its time and its parties.
func (e *Experiment) drawStep(r *rand.Rand) Step {
	d := e.Draw
	do := d.Menu[r.IntN(len(d.Menu))]
	at := time.Duration(d.From) + time.Duration(r.Int64N(int64(d.Until-d.From-Duration(time.Second))))
	fault := drawableFaults[do](r, time.Duration(d.Until)-at)
	fault.Do, fault.At = do, Duration(at)
	step := Step{Fault: fault}
	switch faultKinds[do].target {
	case "node":
		step.On = numberedNames("n", e.Fleet.Nodes)[r.IntN(e.Fleet.Nodes):][:1]
	case "box":
		step.On = drawParties(r, numberedNames("s", e.Fleet.Backends), 0.05+0.15*r.Float64())
	case "link":
		step.On = drawParties(r, numberedNames("n", e.Fleet.Nodes), 0.1+0.4*r.Float64())
		step.To = drawParties(r, numberedNames("s", e.Fleet.Backends), 0.1+0.4*r.Float64())
	}
	return step
}

// minGap is the least time between two exclusive faults of one process or backend.
const minGap = Duration(2 * time.Second)

// overlapsAny reports whether the step and one of the others are exclusive faults of the same process or
// backend with less than minGap between them.
func overlapsAny(step Step, others []Step) bool {
	for _, o := range others {
		if !exclusive(step.Do) || !exclusive(o.Do) ||
			step.At > o.At+o.For+minGap || o.At > step.At+step.For+minGap {
			continue
		}
		if slices.ContainsFunc(step.On, func(p string) bool { return slices.Contains(o.On, p) }) {
			return true
		}
	}
	return false
}
