package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/registry"
)

// TestJudge: whatever comes and goes, an entry is removed only if it was draining
// without a lease, at that version, and silent at every look for as long as stated.
func TestJudge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Thresholds{Settle: 10 * time.Second, Orphan: 60 * time.Second}
		c := NewChecker(p)
		type state struct {
			item   registry.Registration
			silent time.Duration // since when it is silent and draining as it is; below 0: it is not
		}
		all := map[string]*state{}
		var now time.Duration
		version := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second
			name := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "who"))
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				version++
				e := registry.Endpoint{
					Name:    name,
					Address: name + ":1",
					Status: rapid.SampledFrom([]string{registry.Ready, registry.Draining, registry.Draining}).
						Draw(t, "status"),
				}
				all[name] = &state{
					registry.Registration{
						Endpoint: e,
						Version:  version,
						TTL:      time.Duration(rapid.IntRange(0, 1).Draw(t, "ttl")) * time.Second,
					},
					-1,
				}
			}
			l := Observation{At: now, Reachable: map[string]bool{}}
			for name, s := range all {
				l.Registrations = append(l.Registrations, s.item)
				if rapid.IntRange(0, 7).Draw(t, "answers") == 0 {
					l.Reachable[name] = true
				}
				switch quiet := s.item.Endpoint.Status == registry.Draining && s.item.TTL == 0 && !l.Reachable[name]; {
				case !quiet:
					s.silent = -1
				case s.silent < 0:
					s.silent = now
				}
			}
			_, repairs := c.Check(l)
			want := 0
			for _, s := range all {
				if s.silent >= 0 && now-s.silent >= p.Orphan {
					want++
				}
			}
			if len(repairs) != want {
				t.Fatalf("at %v %v are removed, want %d", now, repairs, want)
			}
			for _, r := range repairs {
				if s := all[r.Name]; s.silent < 0 || now-s.silent < p.Orphan || r.Version != s.item.Version {
					t.Fatalf("at %v %+v is removed, which is %+v", now, r, *s)
				}
			}
		}
	})
}

// TestFindings: each kind is reported once it has lasted, and not when it is over.
func TestFindings(t *testing.T) {
	c := NewChecker(Thresholds{Settle: 10 * time.Second, Orphan: time.Hour})
	item := func(name, address, status string) registry.Registration {
		return registry.Registration{
			Endpoint: registry.Endpoint{Name: name, Address: address, Status: status},
			Version:  1,
		}
	}
	wrong := Observation{
		Registrations: []registry.Registration{
			item("a", "x:1", registry.Ready),
			item("b", "x:1", registry.Draining),
		},
		Proxies: []ProxyObservation{
			{Name: "n0"},
			{Name: "n1", Up: true},
			{Name: "n2", Up: true, Ready: true, Discovered: 5},
			{Name: "n3", Up: true, Ready: true, Discovered: -1},
		},
	}
	right := Observation{
		Registrations: wrong.Registrations[:1],
		Reachable:     map[string]bool{"a": true},
		Proxies:       []ProxyObservation{{Name: "n0", Up: true, Ready: true, Discovered: 1}},
	}
	kinds := func(at time.Duration, l Observation) (all []string) {
		l.At = at
		findings, _ := c.Check(l)
		for _, f := range findings {
			all = append(all, f.Kind+" "+f.Subject)
		}
		return all
	}
	want := fmt.Sprint([]string{"differs n2", "orphan b", "silent a", "twice b", "unreachable n0", "unready n1"})
	for _, k := range []struct {
		at   time.Duration
		look Observation
		want string
	}{{0, wrong, "[]"}, {9 * time.Second, wrong, "[]"}, {10 * time.Second, wrong, want}, {11 * time.Second, right, "[]"}, {12 * time.Second, wrong, "[]"}} {
		if got := fmt.Sprint(kinds(k.at, k.look)); got != k.want {
			t.Errorf("at %v: %s, want %s", k.at, got, k.want)
		}
	}
	if n := parseDiscovered("app.forwards:3|c\napp.discovered:12|g\n"); n != 12 {
		t.Errorf("a node's figures say %d", n)
	}
}
