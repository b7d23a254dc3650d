package spec

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/lab/world"
)

// The parties that are not numbered.
const (
	Clients   = "clients"
	Discovery = "discovery"

	Conductors = "conductors" // all of them, for links
	Agents     = "agents"     // of the backends' machines
)

// Parties returns those that the names stand for: n0, s0, nodes, backends, clients, discovery, zone:N or a
// zone's name (its nodes and backends).
func (e *Experiment) Parties(names []string) ([]string, error) {
	var all []string
	for _, name := range names {
		var got []string
		switch zone, isZone := strings.CutPrefix(name, "zone:"); {
		case isZone:
			if got = e.inZone(zone); got == nil {
				return nil, fmt.Errorf("there is no zone %q; there are %s", zone, strings.Join(e.Zones(), ", "))
			}
		case name == Clients, name == Discovery:
			got = []string{name}
		case name == "nodes":
			got = numbered("n", e.Fleet.Nodes)
		case e.Release != nil && (name == Conductors || name == Agents):
			got = []string{name}
		case e.Release != nil && slices.Contains(numbered("c", e.Release.Conductors), name):
			got = []string{name}
		case e.Quota != nil && name == "holders":
			got = numbered("k", e.Quota.Holders)
		case e.Quota != nil && slices.Contains(numbered("k", e.Quota.Holders), name):
			got = []string{name}
		case name == "workers" && e.Duties.Workers > 0:
			got = numbered("d", e.Duties.Workers)
		case slices.Contains(numbered("d", e.Duties.Workers), name):
			got = []string{name}
		case name == "replicas" && e.List.Replicas > 0:
			got = numbered("r", e.List.Replicas)
		case slices.Contains(numbered("r", e.List.Replicas), name):
			got = []string{name}
		case name == "boxes":
			got = numbered("s", e.Fleet.Boxes)
		case slices.Contains(numbered("n", e.Fleet.Nodes), name),
			slices.Contains(numbered("s", e.Fleet.Boxes), name):
			got = []string{name}
		default:
			return nil, fmt.Errorf(
				"%q is nobody here; there are n0 to n%d, s0 to s%d, nodes, boxes, zone:NAME, %s and %s, and replicas where discovery.replicas is given",
				name,
				e.Fleet.Nodes-1,
				e.Fleet.Boxes-1,
				Clients,
				Discovery,
			)
		}
		for _, p := range got {
			if !slices.Contains(all, p) {
				all = append(all, p)
			}
		}
	}
	return all, nil
}

func numbered(prefix string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint(prefix, i)
	}
	return all
}

// kindOf tells a node from a backend.
func kindOf(party string) string {
	switch {
	case party == Clients, party == Discovery, party == Conductors, party == Agents:
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

// suits reports whether something can be done to a party. What ends or stops a process can be done to a
// replica of the registry or a worker as well as to a node.
func suits(do, party string) bool {
	kind := kindOf(party)
	process := do == "kill" || do == "pause" || do == "restart"
	return kind == acts[do].on || (kind == "replica" || kind == "conductor" || kind == "keeper") && process ||
		kind == "worker" && (process || do == "upgrade")
}

// Zones are the zones' names.
func (e *Experiment) Zones() []string { return world.Draw(0, e.Fleet.Zones, 0).Zones }

func (e *Experiment) inZone(zone string) []string {
	i := slices.Index(e.Zones(), zone)
	if i < 0 {
		return nil
	}
	var all []string
	for n := i; n < e.Fleet.Nodes; n += e.Fleet.Zones {
		all = append(all, fmt.Sprint("n", n))
	}
	for s := i; s < e.Fleet.Boxes; s += e.Fleet.Zones {
		all = append(all, fmt.Sprint("s", s))
	}
	return all
}

// Step is one fault of the schedule, with its parties drawn.
type Step struct {
	Fault
	Name string // of this step, in this run
	On   []string
	To   []string
}

// menu draws one fault of a kind: at is when, room how long it may last.
var menu = map[string]func(r *rand.Rand, room time.Duration) Fault{
	"kill":    func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 3)} },
	"pause":   func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 4)} },
	"restart": func(r *rand.Rand, room time.Duration) Fault { return Fault{} },
	"upgrade": func(r *rand.Rand, room time.Duration) Fault { return Fault{} },
	"crash":   func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 5)} },
	"vanish":  func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 6)} },
	"slow": func(r *rand.Rand, room time.Duration) Fault {
		return Fault{For: upTo(r, room, 8), Times: 3 + 5*r.Float64()}
	},
	"hang": func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 8)} },
	"errors": func(r *rand.Rand, room time.Duration) Fault {
		return Fault{For: upTo(r, room, 8), Part: 0.3 + 0.5*r.Float64()}
	},
	"cut": func(r *rand.Rand, room time.Duration) Fault {
		return Fault{For: upTo(r, room, 5), Way: []string{"both", "forward", "back"}[r.IntN(3)]}
	},
	"mute":  func(r *rand.Rand, room time.Duration) Fault { return Fault{For: upTo(r, room, 5)} },
	"reset": func(r *rand.Rand, room time.Duration) Fault { return Fault{} },
	"shape": func(r *rand.Rand, room time.Duration) Fault {
		return Fault{
			For:   upTo(r, room, 6),
			Delay: Duration(time.Duration(5+r.IntN(60)) * time.Millisecond),
			Loss:  0.2 * r.Float64(),
		}
	},
	"snip": func(r *rand.Rand, room time.Duration) Fault {
		return Fault{For: upTo(r, room, 3), Bytes: 200 + r.IntN(4000)}
	},
}

func upTo(r *rand.Rand, room time.Duration, seconds int) Duration {
	most := min(room, time.Duration(seconds)*time.Second)
	return Duration(most/4 + time.Duration(r.Int64N(int64(most*3/4))))
}

// Schedule is all faults of a run, in the order of their beginning: those of the
// file, with shares drawn, and those drawn from the menu. It depends on the
// experiment and the seed alone.
func (e *Experiment) Schedule(seed uint64) []Step {
	r := rand.New(rand.NewPCG(seed, 0x6661756c74))
	var steps []Step
	for _, f := range e.Faults {
		on, _ := e.Parties(f.On) // checked when the file was read
		to, _ := e.Parties(f.To)
		if a := acts[f.Do].on; a == "node" || a == "box" {
			on = slices.DeleteFunc(on, func(p string) bool { return !suits(f.Do, p) })
		}
		steps = append(steps, Step{Fault: f, On: part(r, on, f.Share), To: to})
	}
	steps = append(steps, e.drawn(r, steps)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for i := range steps {
		steps[i].Name = fmt.Sprintf("%d-%s", i+1, steps[i].Do)
	}
	return steps
}

// part draws a share of the parties, one at least; 0 is all.
func part(r *rand.Rand, all []string, share float64) []string {
	if share == 0 || len(all) == 0 {
		return all
	}
	n := max(1, int(share*float64(len(all))+0.5))
	out := slices.Clone(all)
	r.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	out = out[:n]
	slices.Sort(out)
	return out
}

// tries bounds how often a drawn fault is moved away from what is there already.
const tries = 50

func (e *Experiment) drawn(r *rand.Rand, fixed []Step) []Step {
	if e.Draw == nil {
		return nil
	}
	var steps []Step
	for range e.Draw.Faults {
		for range tries {
			s := e.drawOne(r)
			if !clashes(s, fixed) && !clashes(s, steps) {
				steps = append(steps, s)
				break
			}
		}
	}
	return steps
}

func (e *Experiment) drawOne(r *rand.Rand) Step {
	d := e.Draw
	do := d.Menu[r.IntN(len(d.Menu))]
	at := time.Duration(d.From) + time.Duration(r.Int64N(int64(d.Until-d.From-Duration(time.Second))))
	f := menu[do](r, time.Duration(d.Until)-at)
	f.Do, f.At = do, Duration(at)
	s := Step{Fault: f}
	switch acts[do].on {
	case "node":
		s.On = numbered("n", e.Fleet.Nodes)[r.IntN(e.Fleet.Nodes):][:1]
	case "box":
		s.On = part(r, numbered("s", e.Fleet.Boxes), 0.05+0.15*r.Float64())
	case "link":
		s.On = part(r, numbered("n", e.Fleet.Nodes), 0.1+0.4*r.Float64())
		s.To = part(r, numbered("s", e.Fleet.Boxes), 0.1+0.4*r.Float64())
	}
	return s
}

// a process or a backend is left alone so long between two faults of its own
const settle = Duration(2 * time.Second)

func clashes(s Step, others []Step) bool {
	for _, o := range others {
		if !exclusive(s.Do) || !exclusive(o.Do) || s.At > o.At+o.For+settle || o.At > s.At+s.For+settle {
			continue
		}
		if slices.ContainsFunc(s.On, func(p string) bool { return slices.Contains(o.On, p) }) {
			return true
		}
	}
	return false
}
