package membership

import (
	"slices"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
	"wrenspread/internal/sim"
)

// rewritingDatagrams returns a broken variant that alters each datagram, or drops it if alter returns false.
func rewritingDatagrams(alter func(f *Fleet, from, to string, d *wire.Datagram) bool) func(*Fleet) {
	return func(f *Fleet) {
		f.World.Intercept = func(from, to string, data []byte) [][]byte {
			f.record(from, data)
			d, err := wire.Decode(data)
			if err != nil || !alter(f, from, to, &d) {
				return nil
			}
			b := d.Encode()
			for _, s := range d.Statements {
				b, _ = wire.AppendStatement(b, s)
			}
			return [][]byte{b}
		}
	}
}

// droppingStatements returns a broken variant that drops the statements that drop accepts.
func droppingStatements(drop func(f *Fleet, from, to string, s wire.Statement) bool) func(*Fleet) {
	return rewritingDatagrams(func(f *Fleet, from, to string, d *wire.Datagram) bool {
		d.Statements = slices.DeleteFunc(d.Statements, func(s wire.Statement) bool { return drop(f, from, to, s) })
		return true
	})
}

// droppingKinds returns a broken variant that drops datagrams of some kinds.
func droppingKinds(kinds ...wire.Kind) func(*Fleet) {
	return rewritingDatagrams(func(_ *Fleet, _, _ string, d *wire.Datagram) bool { return !slices.Contains(kinds, d.Kind) })
}

// brokenVariants lists broken variants of the core. For each variant, one of the checks in foundBy must find
// it.
var brokenVariants = []struct {
	name    string
	play    func(Options) sim.Play
	kinds   []sim.FaultKind // the kinds of faults that expose the variant soonest; nil: all of the play's
	alter   func(*Fleet)
	foundBy []string
}{
	{"no node refutes", Wild, []sim.FaultKind{sim.Pause}, droppingStatements(func(_ *Fleet, from, _ string, s wire.Statement) bool {
		return s.Name == nameAt(from) && s.Incarnation > 0
	}), []string{"alive"}},
	{"no digests, and most gossiped statements are dropped", Wild, []sim.FaultKind{joins, metadataChanges}, func(f *Fleet) {
		rewritingDatagrams(func(f *Fleet, from, _ string, d *wire.Datagram) bool {
			d.Statements = slices.DeleteFunc(d.Statements, func(s wire.Statement) bool { return s.Name != nameAt(from) && f.rng.IntN(10) > 0 })
			return d.Kind < wire.Digest || d.Kind > wire.Answer
		})(f)
	}, []string{"settled", "alive", "dead"}},
	{"no pings to dead members, nor to seeds by nodes that have members", Wild, []sim.FaultKind{sim.Halves}, rewritingDatagrams(func(f *Fleet, from, to string, d *wire.Datagram) bool {
		n, ok := f.World.Host(from).Actor().(*Node)
		return !ok || d.Kind != wire.Ping || n.aliveCount == 1 || n.Member(nameAt(to)).Health <= membership.Suspect
	}), []string{"alive"}},
	{"all generations are equal", Wild, []sim.FaultKind{sim.Kill}, rewritingDatagrams(func(_ *Fleet, _, _ string, d *wire.Datagram) bool {
		d.Generation = startUnixMillis
		for i := range d.Statements {
			d.Statements[i].Generation = startUnixMillis
		}
		return true
	}), []string{"alive"}},
	{"no statements on suspect or dead members", Wild, nil, droppingStatements(func(_ *Fleet, _, _ string, s wire.Statement) bool {
		return s.Health == membership.Suspect || s.Health == membership.Dead
	}), []string{"settled", "alive", "dead"}},
	{"dead members are forgotten at once", Wild, []sim.FaultKind{sim.Kill, staleDatagrams}, func(f *Fleet) {
		f.AdjustConfig = func(cfg *membership.Config) {
			cfg.DeadGossipTime, cfg.DeadReclaimTime = time.Millisecond, 2*time.Millisecond
		}
	}, []string{"lives", "dead"}},
	{"pauses are not noticed", Wild, []sim.FaultKind{sim.Pause}, func(f *Fleet) { f.IgnoresPauses = true }, []string{"blame"}},
	{"processes of the same name do not learn of each other", Wild, []sim.FaultKind{twins}, func(f *Fleet) {
		rewritingDatagrams(func(f *Fleet, from, to string, d *wire.Datagram) bool {
			to = nameAt(to)
			d.Statements = slices.DeleteFunc(d.Statements, func(s wire.Statement) bool { return s.Name == to && s.Health == membership.Alive })
			return nameAt(from) != to
		})(f)
	}, []string{"one of a name", "settled", "alive"}},
	{"no indirect probes", Pairs, nil, droppingKinds(wire.PingReq), []string{"nobody suspected"}},
	{"suspect members are reported as dead", Mild, nil, rewritingDatagrams(func(_ *Fleet, _, _ string, d *wire.Datagram) bool {
		for i := range d.Statements {
			if d.Statements[i].Health == membership.Suspect {
				d.Statements[i].Health = membership.Dead
			}
		}
		return true
	}), []string{"nobody dead"}},
	{"leaving members are reported as dead", Mild, nil, rewritingDatagrams(func(_ *Fleet, _, _ string, d *wire.Datagram) bool {
		for i := range d.Statements {
			if d.Statements[i].Health == membership.Left {
				d.Statements[i].Health, d.Statements[i].Incarnation = membership.Dead, d.Statements[i].Incarnation+1
			}
		}
		return true
	}), []string{"nobody dead"}},
	{"a leave is passed on as a death", Wild, []sim.FaultKind{leaves}, rewritingDatagrams(func(_ *Fleet, from, _ string, d *wire.Datagram) bool {
		for i, s := range d.Statements {
			if s.Health == membership.Left && s.Name != nameAt(from) {
				d.Statements[i].Health, d.Statements[i].Incarnation = membership.Dead, s.Incarnation+1
			}
		}
		return true
	}), []string{"left"}},
	{"pings to ended processes are answered", Wild, []sim.FaultKind{sim.Kill}, rewritingDatagrams(func(f *Fleet, from, to string, d *wire.Datagram) bool {
		if d.Kind != wire.Ping || f.World.Host(to) == nil || f.World.Host(to).Running() {
			return true
		}
		if n, ok := f.World.Host(from).Actor().(*Node); ok {
			ack := wire.Datagram{Header: wire.Header{Kind: wire.Ack, Fleet: d.Fleet, Sender: wire.Hash(nameAt(to)), Generation: n.Member(nameAt(to)).Generation, Digest: d.Digest}, Seq: d.Seq}
			f.World.Inject(to, from, ack.Encode())
		}
		return true
	}), []string{"dead"}},
	{"n1 gets other metadata of n2 than the other nodes", Wild, nil, rewritingDatagrams(func(_ *Fleet, _, to string, d *wire.Datagram) bool {
		for i, s := range d.Statements {
			if to == "n1" && s.Name == "n2" {
				d.Statements[i].Metadata.Zone = "zone-z"
			}
		}
		return true
	}), []string{"settled"}},
	{"datagrams are too large", Mild, nil, func(f *Fleet) {
		f.World.Intercept = func(_, _ string, data []byte) [][]byte {
			return [][]byte{append(slices.Clone(data), make([]byte, 200)...)}
		}
	}, []string{"size"}},
	{"each datagram is sent eight times", Mild, nil, func(f *Fleet) {
		f.World.Intercept = func(_, _ string, data []byte) [][]byte { return slices.Repeat([][]byte{data}, 8) }
	}, []string{"pace"}},
}

// TestEveryCheckFindsItsBrokenVariants: each broken variant is found within 60 schedules by one of the checks
// meant for it, and each check finds at least one variant.
func TestEveryCheckFindsItsBrokenVariants(t *testing.T) {
	var mu sync.Mutex
	found := map[string]bool{}
	t.Run("all", func(t *testing.T) {
		for _, s := range brokenVariants {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				p := s.play(Options{Nodes: 5, AlterFleet: s.alter})
				p.FaultWindow = 20 * time.Second
				if s.kinds != nil {
					p.Kinds = s.kinds
				}
				for seed := uint64(1); seed <= 60; seed++ {
					_, violation := p.Run(seed, p.Faults(seed))
					if violation == nil {
						continue
					}
					if !slices.Contains(s.foundBy, violation.Check) {
						t.Fatalf("seed %d: found by the wrong check: %v", seed, violation)
					}
					t.Logf("seed %d: %v", seed, violation)
					mu.Lock()
					found[violation.Check] = true
					mu.Unlock()
					return
				}
				t.Fatal("not found in 60 schedules")
			})
		}
	})
	for _, play := range []func(Options) sim.Play{Wild, Mild, Pairs} {
		for _, c := range play(Options{Nodes: 5}).Build(sim.New(1)) {
			if !found[c.Name] {
				t.Errorf("no broken variant is found by the check %q", c.Name)
			}
		}
	}
}
