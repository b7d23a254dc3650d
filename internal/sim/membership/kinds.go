package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
	"wrenspread/internal/sim"
)

// The kinds of faults that only plays of this package use.
var (
	// leaves makes a node leave the fleet. The node is started again after the fault's Duration, if it has one.
	leaves = sim.FaultKind{Name: "leave", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Targets: []string{names[rng.IntN(len(names))]}}
		if rng.IntN(3) > 0 {
			f.Duration = time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
		return f
	}, Start: func(w *sim.World, f sim.Fault) func() {
		host := w.Host(f.Targets[0])
		if host.Running() {
			w.Note(host.Name, "leaves")
			host.HandleExternal(membership.Leave{})
		}
		return func() {
			if !host.Running() {
				w.Note(host.Name, "starts")
				host.Start()
			}
		}
	}}
	// joins starts a node that is not in the fleet yet.
	joins = sim.FaultKind{Name: "join", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{Targets: []string{fmt.Sprintf("j%d", rng.IntN(1e6))}}
	}, Start: func(w *sim.World, f sim.Fault) func() {
		if w.Host(f.Targets[0]) == nil {
			w.Note(f.Targets[0], "starts")
			fleetOf(w).Start(f.Targets[0])
		}
		return nil
	}}
	// twins starts a process on a further host with the name of a node that has a host already. The process is
	// killed after the fault's Duration, if the fault has one.
	twins = sim.FaultKind{Name: "twin", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Targets: []string{names[rng.IntN(len(names))]}}
		if rng.IntN(2) > 0 {
			f.Duration = time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
		return f
	}, Start: func(w *sim.World, f sim.Fault) func() {
		twin := f.Targets[0] + twinMark
		w.Note(twin, "starts")
		if host := w.Host(twin); host != nil {
			host.Start()
		} else {
			fleetOf(w).Start(twin)
		}
		return func() { w.Note(twin, "killed"); w.Host(twin).Kill() }
	}}
	// metadataChanges gives a node other metadata, which is derived from the number that is drawn as Delay.
	metadataChanges = sim.FaultKind{Name: "facts", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		return sim.Fault{Targets: []string{names[rng.IntN(len(names))]}, Delay: time.Duration(rng.IntN(1000))}
	}, Start: func(w *sim.World, f sim.Fault) func() {
		w.Note(f.Targets[0], "changes facts")
		w.Host(f.Targets[0]).
			HandleExternal(membership.MetadataChanged{Metadata: membership.Metadata{
				Zone:      "zone-b",
				Version:   "2.1.1",
				Catalogue: uint64(f.Delay),
				Load:      uint16(f.Delay),
				State:     membership.State(1 + f.Delay%2),
			}})
		return nil
	}}
	// staleDatagrams delivers recorded datagrams again, each to a drawn node. With a target, only datagrams from
	// that host are delivered.
	staleDatagrams = sim.FaultKind{Name: "stale", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{Duration: time.Second + time.Duration(rng.Int64N(int64(10*time.Second)))}
	}, Start: func(w *sim.World, f sim.Fault) func() {
		datagrams := slices.Clone(fleetOf(w).recorded)
		if len(f.Targets) > 0 {
			w.Note(f.Targets[0], "its old datagrams come")
			datagrams = slices.DeleteFunc(datagrams, func(s sentDatagram) bool { return s.from != f.Targets[0] })
		}
		return fleetOf(w).repeat(w, 20*time.Millisecond, func(w *sim.World) { fleetOf(w).replay(w, datagrams) })
	}}
	// flood makes a host outside the fleet send 500 datagrams a second to each node: garbage, datagrams of
	// another fleet, and pings from unknown senders.
	flood = sim.FaultKind{Name: "flood", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{Duration: time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))}
	}, Start: func(w *sim.World, f sim.Fault) func() {
		return fleetOf(w).repeat(w, 2*time.Millisecond, fleetOf(w).sendJunk)
	}}
)

// fleetOf returns the fleet that is simulated in a world.
func fleetOf(w *sim.World) *Fleet { return w.PlayState.(*Fleet) }

// repeat calls do now and then once in every interval, until the returned function is called.
func (f *Fleet) repeat(w *sim.World, every time.Duration, do func(w *sim.World)) func() {
	ended := false
	var run func()
	run = func() {
		if !ended {
			do(w)
			w.After(every, run)
		}
	}
	run()
	return func() { ended = true }
}

// sentDatagram is a recorded datagram with its sender's host.
type sentDatagram struct {
	from string
	data []byte
}

// maxRecorded bounds the number of recorded datagrams. Later datagrams replace drawn ones, so that the sample
// covers the whole simulation.
const maxRecorded = 2000

// record adds a datagram to the recorded sample. Once the sample is full, each datagram replaces a drawn one
// with a probability of 1/20.
func (f *Fleet) record(from string, data []byte) {
	if len(f.recorded) < maxRecorded {
		f.recorded = append(f.recorded, sentDatagram{from, data})
		return
	}
	if at := f.rng.IntN(20 * maxRecorded); at < maxRecorded {
		f.recorded[at] = sentDatagram{from, data}
	}
}

// replay delivers one drawn datagram to one drawn node.
func (f *Fleet) replay(w *sim.World, datagrams []sentDatagram) {
	if len(datagrams) > 0 {
		s := datagrams[w.Rand().IntN(len(datagrams))]
		w.Inject(s.from, f.Nodes[w.Rand().IntN(len(f.Nodes))].Name, s.data)
	}
}

// stranger is the host that sends floods; no node runs on it.
const stranger = "stranger"

// sendJunk sends one drawn datagram of a flood to every node.
func (f *Fleet) sendJunk(w *sim.World) {
	rng := w.Rand()
	d := wire.Datagram{
		Header: wire.Header{
			Kind:       wire.Ping,
			Fleet:      wire.FleetHash("books"),
			Sender:     1 + rng.Uint64()>>1,
			Generation: rng.Uint64N(1 << 40),
		},
		Seq: rng.Uint32(),
	}
	if rng.IntN(2) == 0 {
		d.Fleet = wire.FleetHash("others")
	}
	b := d.Encode()
	if rng.IntN(3) == 0 {
		b = make([]byte, rng.IntN(1500))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
	}
	f.address(stranger)
	for _, host := range f.Nodes {
		w.Inject(stranger, host.Name, b)
	}
}
