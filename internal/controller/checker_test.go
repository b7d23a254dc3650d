package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/registry"
)

// TestOnlyLastingOrphansAreRemoved draws random changes of endpoints. A registration may be removed only if,
// in every observation for Thresholds.RemoveAfter, it was draining without a TTL, at the version that is
// removed, and its endpoint was unreachable.
func TestOnlyLastingOrphansAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		thresholds := Thresholds{ReportAfter: 10 * time.Second, RemoveAfter: 60 * time.Second}
		checker := NewChecker(thresholds)
		type endpointState struct {
			registration  registry.Registration
			orphanedSince time.Duration // when the endpoint became orphaned; negative: it is not
		}
		endpoints := map[string]*endpointState{}
		var now time.Duration
		version := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
			name := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "endpoint"))
			if rapid.IntRange(0, 3).Draw(t, "changed if 0") == 0 {
				version++
				e := registry.Endpoint{
					Name:    name,
					Address: name + ":1",
					Status: rapid.SampledFrom([]string{registry.Ready, registry.Draining, registry.Draining}).
						Draw(t, "status"),
				}
				endpoints[name] = &endpointState{
					registry.Registration{
						Endpoint: e,
						Version:  version,
						TTL:      time.Duration(rapid.IntRange(0, 1).Draw(t, "ttl")) * time.Second,
					},
					-1,
				}
			}
			observed := Observation{At: now, Reachable: map[string]bool{}}
			for name, s := range endpoints {
				observed.Registrations = append(observed.Registrations, s.registration)
				if rapid.IntRange(0, 7).Draw(t, "reachable if 0") == 0 {
					observed.Reachable[name] = true
				}
				switch orphaned := s.registration.Endpoint.Status == registry.Draining && s.registration.TTL == 0 && !observed.Reachable[name]; {
				case !orphaned:
					s.orphanedSince = -1
				case s.orphanedSince < 0:
					s.orphanedSince = now
				}
			}
			_, repairs := checker.Check(observed)
			want := 0
			for _, s := range endpoints {
				if s.orphanedSince >= 0 && now-s.orphanedSince >= thresholds.RemoveAfter {
					want++
				}
			}
			if len(repairs) != want {
				t.Fatalf("at %v the repairs are %v, want %d", now, repairs, want)
			}
			for _, r := range repairs {
				if s := endpoints[r.Name]; s.orphanedSince < 0 || now-s.orphanedSince < thresholds.RemoveAfter || r.Version != s.registration.Version {
					t.Fatalf("at %v the repair is %+v, but the endpoint is %+v", now, r, *s)
				}
			}
		}
	})
}

// TestFindingsAreReportedWhileTheyLast: a finding of each kind is reported once it has lasted for
// Thresholds.ReportAfter, and not any more when it is over.
func TestFindingsAreReportedWhileTheyLast(t *testing.T) {
	c := NewChecker(Thresholds{ReportAfter: 10 * time.Second, RemoveAfter: time.Hour})
	registration := func(name, address, status string) registry.Registration {
		return registry.Registration{
			Endpoint: registry.Endpoint{Name: name, Address: address, Status: status},
			Version:  1,
		}
	}
	inconsistent := Observation{
		Registrations: []registry.Registration{
			registration("a", "x:1", registry.Ready),
			registration("b", "x:1", registry.Draining),
		},
		Proxies: []ProxyObservation{
			{Name: "n0"},
			{Name: "n1", Up: true},
			{Name: "n2", Up: true, Ready: true, Discovered: 5},
			{Name: "n3", Up: true, Ready: true, Discovered: -1},
		},
	}
	consistent := Observation{
		Registrations: inconsistent.Registrations[:1],
		Reachable:     map[string]bool{"a": true},
		Proxies:       []ProxyObservation{{Name: "n0", Up: true, Ready: true, Discovered: 1}},
	}
	kinds := func(at time.Duration, observed Observation) (reported []string) {
		observed.At = at
		findings, _ := c.Check(observed)
		for _, f := range findings {
			reported = append(reported, f.Kind+" "+f.Subject)
		}
		return reported
	}
	want := fmt.Sprint([]string{"differs n2", "orphan b", "silent a", "twice b", "unreachable n0", "unready n1"})
	for _, step := range []struct {
		at       time.Duration
		observed Observation
		want     string
	}{{0, inconsistent, "[]"}, {9 * time.Second, inconsistent, "[]"}, {10 * time.Second, inconsistent, want}, {11 * time.Second, consistent, "[]"}, {12 * time.Second, inconsistent, "[]"}} {
		if got := fmt.Sprint(kinds(step.at, step.observed)); got != step.want {
			t.Errorf("at %v: %s, want %s", step.at, got, step.want)
		}
	}
	if n := parseDiscovered("app.forwards:3|c\napp.discovered:12|g\n"); n != 12 {
		t.Errorf("parsed %d endpoints, want 12", n)
	}
}
