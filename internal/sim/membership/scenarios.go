package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
)

// Scenario is a fixed schedule of faults. Each simulation of it gives the drawing that is in testdata.
type Scenario struct {
	Name    string
	Caption string // what the drawing shows, and why that is correct
	Nodes   int
	Seeds   []string // nil: n1 is the only seed
	WarmUp  time.Duration
	// Faults begin after WarmUp, which is not drawn.
	Faults  []sim.Fault
	Length  time.Duration // from the end of the last fault
	Columns []string      // of the drawing; nil: the nodes
	Step    time.Duration // of the drawing, as in timeline.Drawing
	MinGap  time.Duration // of the drawing, as in timeline.Drawing
	// NeverDead lists the nodes that no view may have as dead, because no fault hits them. nil: all nodes.
	NeverDead []string
}

// Play simulates the scenario and returns its drawing. It returns an error if a view has a NeverDead node as
// dead, a check fails, or the views are not equal and correct at the end. alter, if set, changes the fleet
// before its start.
func (s Scenario) Play(alter func(*Fleet)) (string, error) {
	w := sim.New(7)
	f := NewFleet(w)
	w.PlayState = f
	f.rng = rand.New(rand.NewPCG(7, 1))
	f.Seeds = s.Seeds
	if f.Seeds == nil {
		f.Seeds = Names(1)
	}
	names := Names(s.Nodes)
	neverDead := s.NeverDead
	if neverDead == nil {
		neverDead = names
	}
	w.Intercept = func(from, _ string, data []byte) [][]byte {
		f.record(from, data)
		return [][]byte{data}
	}
	if alter != nil {
		alter(f)
	}
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if m := c.Member; m.Health == membership.Dead && slices.Contains(neverDead, m.Name) {
			broken = fmt.Errorf("%s has %s as dead, accused by %s", n.host, m.Name, m.Accusers)
		}
	})
	p := sim.Play{
		Kinds:         faultKinds(),
		WarmUp:        s.WarmUp,
		RecoveryTime:  s.Length,
		CheckInterval: 250 * time.Millisecond,
		Build: func(*sim.World) []sim.Check {
			f.StartAll(names, time.Duration(s.Nodes)*300*time.Millisecond)
			return append(f.checks(), checkOf("spared", &broken), sim.Check{Name: "settled", AtEnd: f.Settled})
		},
	}
	violation := p.RunIn(w, s.Faults)
	d := timeline.Drawing{Caption: s.Caption, Columns: s.Columns, Step: s.Step, MinGap: s.MinGap}
	if d.Columns == nil {
		d.Columns = names
	}
	var events []timeline.Event
	for _, e := range w.Log() {
		if e.At >= s.WarmUp {
			e.At -= s.WarmUp
			events = append(events, e)
		}
	}
	if violation != nil {
		return d.Draw(events), violation
	}
	return d.Draw(events), nil
}

// faultKinds returns the kinds of faults that scenarios may use; Wild draws from them too.
func faultKinds() []sim.FaultKind {
	return []sim.FaultKind{
		sim.Kill,
		sim.Pause,
		sim.Late,
		sim.CutOff,
		sim.OneWay,
		sim.Deaf,
		sim.SlowPair,
		sim.Halves,
		sim.Lossy,
		sim.Doubled,
		sim.Flap,
		leaves,
		joins,
		twins,
		metadataChanges,
		staleDatagrams,
		flood,
	}
}
