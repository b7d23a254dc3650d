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

// The sorts of fault that are about views alone.
var (
	leaves = sim.Kind{Name: "leave", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Who: []string{names[rng.IntN(len(names))]}}
		if rng.IntN(3) > 0 {
			f.For = time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
		return f
	}, Do: func(w *sim.World, f sim.Fault) func() {
		e := w.End(f.Who[0])
		if e.Up() {
			w.Say(e.Name, "leaves")
			e.Tell(membership.Leave{})
		}
		return func() {
			if !e.Up() {
				w.Say(e.Name, "starts")
				e.Start()
			}
		}
	}}
	joins = sim.Kind{Name: "join", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{Who: []string{fmt.Sprintf("j%d", rng.IntN(1e6))}}
	}, Do: func(w *sim.World, f sim.Fault) func() {
		if w.End(f.Who[0]) == nil {
			w.Say(f.Who[0], "starts")
			of(w).Start(f.Who[0])
		}
		return nil
	}}
	// twins start a second process of a name on another machine, for a time or for good.
	twins = sim.Kind{Name: "twin", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Who: []string{names[rng.IntN(len(names))]}}
		if rng.IntN(2) > 0 {
			f.For = time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
		return f
	}, Do: func(w *sim.World, f sim.Fault) func() {
		twin := f.Who[0] + twinMark
		w.Say(twin, "starts")
		if e := w.End(twin); e != nil {
			e.Start()
		} else {
			of(w).Start(twin)
		}
		return func() { w.Say(twin, "killed"); w.End(twin).Kill() }
	}}
	facts = sim.Kind{Name: "facts", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		return sim.Fault{Who: []string{names[rng.IntN(len(names))]}, Delay: time.Duration(rng.IntN(1000))}
	}, Do: func(w *sim.World, f sim.Fault) func() {
		w.Say(f.Who[0], "changes facts")
		w.End(f.Who[0]).
			Tell(membership.MetadataChanged{Metadata: membership.Metadata{Zone: "zone-b", Version: "2.1.1", Catalogue: uint64(f.Delay),
				Load: uint16(f.Delay), State: membership.State(1 + f.Delay%2)}})
		return nil
	}}
	// stale lets datagrams arrive again that were sent before, by whoever or by the one that is named, to
	// whomever.
	stale = sim.Kind{Name: "stale", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{For: time.Second + time.Duration(rng.Int64N(int64(10*time.Second)))}
	}, Do: func(w *sim.World, f sim.Fault) func() {
		old := slices.Clone(of(w).old)
		if len(f.Who) > 0 {
			w.Say(f.Who[0], "its old datagrams come")
			old = slices.DeleteFunc(old, func(s sent) bool { return s.from != f.Who[0] })
		}
		return of(w).again(w, 20*time.Millisecond, func(w *sim.World) { of(w).replay(w, old) })
	}}
	// flood lets a stranger send garbage, datagrams of another fleet, and pings of names that nobody knows: 500
	// a second to each.
	flood = sim.Kind{Name: "flood", Draw: func(rng *rand.Rand, _ []string) sim.Fault {
		return sim.Fault{For: time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))}
	}, Do: func(w *sim.World, f sim.Fault) func() { return of(w).again(w, 2*time.Millisecond, of(w).junk) }}
)

func of(w *sim.World) *Fleet { return w.Play.(*Fleet) }

// again does something each so often until the result is called.
func (f *Fleet) again(w *sim.World, every time.Duration, do func(w *sim.World)) func() {
	over := false
	var turn func()
	turn = func() {
		if !over {
			do(w)
			w.After(every, turn)
		}
	}
	turn()
	return func() { over = true }
}

// sent is a datagram as it was sent once.
type sent struct {
	from string
	data []byte
}

// mostSent bounds the datagrams remembered for stale ones: those of the whole play are drawn from, by
// replacing any of them.
const mostSent = 2000

// remember keeps a drawn part of what is sent.
func (f *Fleet) remember(from string, data []byte) {
	if len(f.old) < mostSent {
		f.old = append(f.old, sent{from, data})
		return
	}
	if at := f.draws.IntN(20 * mostSent); at < mostSent {
		f.old[at] = sent{from, data}
	}
}

func (f *Fleet) replay(w *sim.World, old []sent) {
	if len(old) > 0 {
		s := old[w.Rand().IntN(len(old))]
		w.Inject(s.from, f.Nodes[w.Rand().IntN(len(f.Nodes))].Name, s.data)
	}
}

const stranger = "stranger"

func (f *Fleet) junk(w *sim.World) {
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
	for _, e := range f.Nodes {
		w.Inject(stranger, e.Name, b)
	}
}
