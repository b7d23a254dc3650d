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

// viewFleet is a fleet of real proxies that keep a view of each other.
type viewFleet struct {
	t      *testing.T // whose end is the processes' end
	places map[string]*platform
	live   map[string]*process
	seeds  []string
}

// start begins a process of a proxy, a first one or a further one.
func (f *viewFleet) start(name string) *process {
	f.t.Helper()
	p := f.places[name]
	if p == nil {
		p = newPlatform(f.t)
		f.places[name] = p
	}
	if len(f.seeds) == 0 {
		f.seeds = []string{p.peerListen}
	}
	c := p.startWith(f.t, map[string]any{"name": name, "peers": nil,
		"fleet": map[string]any{"name": "windhoek", "join": f.seeds, "period_ms": 100}})
	f.live[name] = c
	return c
}

func (c *process) view(t *testing.T) (r gossip.Report) {
	t.Helper()
	status, body, _ := ask("GET", "http://"+c.control+"/fleet", nil)
	if status == 200 {
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			t.Fatalf("%v: %s", err, body)
		}
	}
	return r
}

// seen gives a member's health, state, life and incarnation.
func seen(r gossip.Report, name string) gossip.Member {
	if i := slices.IndexFunc(r.Members, func(m gossip.Member) bool { return m.Name == name }); i >= 0 {
		return r.Members[i]
	}
	return gossip.Member{}
}

// settle waits until all live proxies have one digest and see what is wanted, and gives the one view.
func (f *viewFleet) settle(t *testing.T, what string, wanted func(gossip.Report) bool) (r gossip.Report) {
	t.Helper()
	last := map[string]gossip.Report{}
	for until := time.Now().Add(enough); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		good := true
		for name, c := range f.live {
			r = c.view(t)
			last[name] = r
			good = good && wanted(r)
		}
		for _, other := range last {
			good = good && other.Digest == r.Digest
		}
		if good {
			return r
		}
	}
	t.Fatalf("not settled: %s\n%+v", what, last)
	return r
}

// all wants every live proxy alive and serving.
func (f *viewFleet) all(r gossip.Report) bool {
	for name := range f.live {
		if m := seen(r, name); m.Health != "alive" || m.State != "serving" {
			return false
		}
	}
	return true
}

// TestView: five real proxies and an older one, in one history.
func TestView(t *testing.T) {
	f := &viewFleet{t: t, places: map[string]*platform{}, live: map[string]*process{}}
	old := newPlatform(t)
	f.start("n0")
	f.seeds = []string{f.places["n0"].peerListen, old.peerListen}
	older := old.startWith(t, map[string]any{"name": "old", "peers": []string{old.peerListen, f.places["n0"].peerListen}})
	for i := 1; i < 5; i++ {
		f.start(fmt.Sprint("n", i))
	}
	first := f.settle(t, "five join by one address", func(r gossip.Report) bool { return len(r.Members) == 5 && f.all(r) })

	t.Run("a stranger's flood costs nothing", func(t *testing.T) {
		flood(t, f.places["n0"].peerListen)
		after := f.settle(t, "after a flood", f.all)
		for _, m := range first.Members {
			if seen(after, m.Name).Generation != m.Generation || len(after.Members) != 5 {
				t.Errorf("%+v became %+v", m, seen(after, m.Name))
			}
		}
		if r := f.live["n0"].view(t).Received; r.Dropped == 0 || r.Strangers < r.Dropped {
			t.Errorf("received %+v", r)
		}
	})
	t.Run("one that was stopped refutes its death", func(t *testing.T) {
		before := seen(first, "n4")
		stopped := f.live["n4"]
		besteffort.Signal(stopped.Process.Signal(syscall.SIGSTOP))
		delete(f.live, "n4")
		f.settle(t, "n4 is dead", func(r gossip.Report) bool {
			m := seen(r, "n4")
			return m.Health == "dead" && m.Accusers != "" && m.Reason != ""
		})
		besteffort.Signal(stopped.Process.Signal(syscall.SIGCONT))
		f.live["n4"] = stopped
		after := seen(f.settle(t, "n4 is back", f.all), "n4")
		if after.Generation != before.Generation || after.Incarnation <= before.Incarnation {
			t.Errorf("%+v became %+v", before, after)
		}
		if late := stopped.view(t).LateMS; late < 500 {
			t.Errorf("it was late by %d ms, as it says", late)
		}
	})
	t.Run("nobody sees an upgrade", func(t *testing.T) {
		before := f.live["n1"]
		life := before.view(t).Generation
		next := f.start("n1")
		for taken := false; !taken; time.Sleep(10 * time.Millisecond) {
			taken = next.view(t).Generation != 0
			for _, name := range []string{"n0", "n2", "n3", "n4"} {
				if m := seen(f.live[name].view(t), "n1"); m.Health != "alive" || m.State != "serving" || m.Generation != life {
					t.Fatalf("%s sees %+v", name, m)
				}
			}
		}
		besteffort.Signal(before.Process.Signal(syscall.SIGTERM))
		before.waitEnd(t)
		if m := seen(f.settle(t, "after the upgrade", f.all), "n1"); m.Generation != life {
			t.Errorf("in life %d after %d", m.Generation, life)
		}
	})
	t.Run("a killed one is dead, and comes back in a new life", func(t *testing.T) {
		besteffort.Signal(f.live["n3"].Process.Kill())
		delete(f.live, "n3")
		dead := seen(f.settle(t, "n3 is dead", func(r gossip.Report) bool { return seen(r, "n3").Health == "dead" && f.all(r) }), "n3")
		f.start("n3")
		if m := seen(f.settle(t, "n3 is back", f.all), "n3"); m.Generation <= dead.Generation {
			t.Errorf("in life %d after %d", m.Generation, dead.Generation)
		}
	})
	t.Run("an ordered end is no death", func(t *testing.T) {
		going := f.live["n2"]
		delete(f.live, "n2")
		besteffort.Signal(going.Process.Signal(syscall.SIGTERM))
		states := map[string]bool{}
		r := f.settle(t, "n2 has left", func(r gossip.Report) bool {
			m := seen(r, "n2")
			states[m.State] = true
			if m.Health == "dead" {
				t.Fatalf("%s sees %+v", r.Name, m)
			}
			return m.Health == "left" && f.all(r)
		})
		going.waitEnd(t)
		if m := seen(r, "n2"); m.State != "leaving" || !states["draining"] {
			t.Errorf("%+v, after the states %v", m, states)
		}
	})
	older.waitReady(t)
	old.wantServed(t, "older")
	if status, _, _ := ask("GET", "http://"+older.control+"/fleet", nil); status != 404 {
		t.Errorf("the older node answers /fleet with %d", status)
	}
}

// flood sends what a stranger may: noise, and datagrams of this fleet with noise behind their heads.
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
