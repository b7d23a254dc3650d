package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership/gossip"
	"wrenspread/internal/membership/wire"
)

// viewFleet is a fleet of real proxies with a common membership.
type viewFleet struct {
	t         *testing.T // the processes end with this test
	platforms map[string]*platform
	running   map[string]*process
	seeds     []string
}

// start starts a process of a proxy, which may have others already.
func (f *viewFleet) start(name string) *process {
	f.t.Helper()
	p := f.platforms[name]
	if p == nil {
		p = newPlatform(f.t)
		f.platforms[name] = p
	}
	if len(f.seeds) == 0 {
		f.seeds = []string{p.peerListen}
	}
	c := p.startWith(f.t, map[string]any{"name": name, "peers": nil,
		"fleet": map[string]any{"name": "windhoek", "join": f.seeds, "period_ms": 100}})
	f.running[name] = c
	return c
}

// view returns the process's view of the fleet, or the zero Report if it has none.
func (c *process) view(t *testing.T) (r gossip.Report) {
	t.Helper()
	status, body, _ := sendRequest("GET", "http://"+c.control+"/fleet", nil)
	if status == 200 {
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			t.Fatalf("%v: %s", err, body)
		}
	}
	return r
}

// memberOf returns the member of this name in a view, or the zero Member if the view does not have it.
func memberOf(r gossip.Report, name string) gossip.Member {
	if i := slices.IndexFunc(r.Members, func(m gossip.Member) bool { return m.Name == name }); i >= 0 {
		return r.Members[i]
	}
	return gossip.Member{}
}

// settle waits until the views of all running proxies have the same digest and meet the condition wanted, and
// returns one of the views. condition describes wanted.
func (f *viewFleet) settle(t *testing.T, condition string, wanted func(gossip.Report) bool) (r gossip.Report) {
	t.Helper()
	last := map[string]gossip.Report{}
	for until := time.Now().Add(hangTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		settled := true
		for name, c := range f.running {
			r = c.view(t)
			last[name] = r
			settled = settled && wanted(r)
		}
		for _, other := range last {
			settled = settled && other.Digest == r.Digest
		}
		if settled {
			return r
		}
	}
	t.Fatalf("not settled: %s\n%+v", condition, last)
	return r
}

// allServing reports whether a view has all running proxies as alive and serving.
func (f *viewFleet) allServing(r gossip.Report) bool {
	for name := range f.running {
		if m := memberOf(r, name); m.Health != "alive" || m.State != "serving" {
			return false
		}
	}
	return true
}

// TestViewsSettleAfterFaults: the views of five real proxies agree again after a flood of invalid datagrams,
// a pause, an upgrade, a kill and a normal end. A proxy that is configured without membership serves, too.
func TestViewsSettleAfterFaults(t *testing.T) {
	f := &viewFleet{t: t, platforms: map[string]*platform{}, running: map[string]*process{}}
	olderPlatform := newPlatform(t)
	f.start("n0")
	f.seeds = []string{f.platforms["n0"].peerListen, olderPlatform.peerListen}
	older := olderPlatform.startWith(t, map[string]any{"name": "old", "peers": []string{olderPlatform.peerListen, f.platforms["n0"].peerListen}})
	for i := 1; i < 5; i++ {
		f.start(fmt.Sprint("n", i))
	}
	first := f.settle(t, "five join by one address", func(r gossip.Report) bool { return len(r.Members) == 5 && f.allServing(r) })

	t.Run("a flood of invalid datagrams changes no view", func(t *testing.T) {
		flood(t, f.platforms["n0"].peerListen)
		after := f.settle(t, "after a flood", f.allServing)
		for _, m := range first.Members {
			if memberOf(after, m.Name).Generation != m.Generation || len(after.Members) != 5 {
				t.Errorf("%+v became %+v", m, memberOf(after, m.Name))
			}
		}
		if r := f.running["n0"].view(t).Received; r.Dropped == 0 || r.Strangers < r.Dropped {
			t.Errorf("received %+v", r)
		}
	})
	t.Run("a paused process refutes its death", func(t *testing.T) {
		before := memberOf(first, "n4")
		stopped := f.running["n4"]
		besteffort.Signal(stopped.Process.Signal(syscall.SIGSTOP))
		delete(f.running, "n4")
		f.settle(t, "n4 is dead", func(r gossip.Report) bool {
			m := memberOf(r, "n4")
			return m.Health == "dead" && m.Accusers != "" && m.Reason != ""
		})
		besteffort.Signal(stopped.Process.Signal(syscall.SIGCONT))
		f.running["n4"] = stopped
		after := memberOf(f.settle(t, "n4 is back", f.allServing), "n4")
		if after.Generation != before.Generation || after.Incarnation <= before.Incarnation {
			t.Errorf("%+v became %+v", before, after)
		}
		if late := stopped.view(t).LateMS; late < 500 {
			t.Errorf("the paused process reports a lateness of %d ms, want at least 500", late)
		}
	})
	t.Run("an upgrade changes no view", func(t *testing.T) {
		before := f.running["n1"]
		generation := before.view(t).Generation
		next := f.start("n1")
		for hasView := false; !hasView; time.Sleep(10 * time.Millisecond) {
			hasView = next.view(t).Generation != 0
			for _, name := range []string{"n0", "n2", "n3", "n4"} {
				if m := memberOf(f.running[name].view(t), "n1"); m.Health != "alive" || m.State != "serving" || m.Generation != generation {
					t.Fatalf("%s sees %+v", name, m)
				}
			}
		}
		besteffort.Signal(before.Process.Signal(syscall.SIGTERM))
		before.waitEnd(t)
		if m := memberOf(f.settle(t, "after the upgrade", f.allServing), "n1"); m.Generation != generation {
			t.Errorf("generation %d after the upgrade, want %d", m.Generation, generation)
		}
	})
	t.Run("a killed process is dead and returns in a new generation", func(t *testing.T) {
		besteffort.Signal(f.running["n3"].Process.Kill())
		delete(f.running, "n3")
		dead := memberOf(f.settle(t, "n3 is dead", func(r gossip.Report) bool { return memberOf(r, "n3").Health == "dead" && f.allServing(r) }), "n3")
		f.start("n3")
		if m := memberOf(f.settle(t, "n3 is back", f.allServing), "n3"); m.Generation <= dead.Generation {
			t.Errorf("generation %d after a restart, want more than %d", m.Generation, dead.Generation)
		}
	})
	t.Run("a process that ends normally has left and is not dead", func(t *testing.T) {
		leaving := f.running["n2"]
		delete(f.running, "n2")
		besteffort.Signal(leaving.Process.Signal(syscall.SIGTERM))
		states := map[string]bool{}
		r := f.settle(t, "n2 has left", func(r gossip.Report) bool {
			m := memberOf(r, "n2")
			states[m.State] = true
			if m.Health == "dead" {
				t.Fatalf("%s sees %+v", r.Name, m)
			}
			return m.Health == "left" && f.allServing(r)
		})
		leaving.waitEnd(t)
		if m := memberOf(r, "n2"); m.State != "leaving" || !states["draining"] {
			t.Errorf("%+v, after the states %v", m, states)
		}
	})
	older.waitReady(t)
	olderPlatform.wantServed(t, "older")
	if status, _, _ := sendRequest("GET", "http://"+older.control+"/fleet", nil); status != 404 {
		t.Errorf("the proxy without a membership answers /fleet with %d, want 404", status)
	}
}

// flood sends 20,000 invalid datagrams from an unknown sender: random bytes, and headers of this fleet
// followed by random bytes.
func flood(t *testing.T, to string) {
	t.Helper()
	c, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(c)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 20_000 {
		b := make([]byte, 1+rng.IntN(300))
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			d := wire.Datagram{Header: wire.Header{Kind: wire.Ping + wire.Kind(rng.IntN(10)), Fleet: wire.FleetHash("windhoek"), Sender: rng.Uint64()}}
			b = append(d.Encode(), b[:min(len(b), 20)]...)
		}
		besteffort.Output(c.Write(b))
	}
}
