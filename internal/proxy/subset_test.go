package proxy

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

func subsetEntry(i int, address string) registry.Endpoint {
	return registry.Endpoint{Name: fmt.Sprint("s-", i), Address: address, Zone: "a", Type: "m2", Status: registry.Ready, Weight: 1}
}

// TestSubsetMatchesTheBalancersRing: the registry's hash ring is the one on which the balancer chooses a
// proxy's endpoints, from the complete list and from a subset.
func TestSubsetMatchesTheBalancersRing(t *testing.T) {
	const servers, nodes = 3000, 4300
	var all []registry.Endpoint
	for i := range servers {
		all = append(all, subsetEntry(i, "127.0.0.1:1"))
	}
	slices.SortFunc(all, func(a, b registry.Endpoint) int {
		if registry.Position(a.Name) < registry.Position(b.Name) {
			return -1
		}
		return 1
	})
	for _, proxyIndex := range []int{0, 1, 7, 4299} {
		subset := registry.SubsetOf(proxyIndex, nodes, servers)
		for _, isSubset := range []bool{false, true} {
			cfg := testConfig("127.0.0.1:1")
			cfg.Settings.Proxies, cfg.Settings.ProxyIndex = nodes, proxyIndex
			n := New(cfg, quiet)
			l := registry.ListResponse{Index: 1, Snapshot: true, Endpoints: all}
			first := int(servers * math.Mod(float64(proxyIndex)*math.Phi, 1))
			if isSubset {
				l.Subset, l.Total = subset.String(), servers
				l.Endpoints = slices.DeleteFunc(slices.Clone(all), func(e registry.Endpoint) bool { return !subset.Contains(registry.Position(e.Name)) })
				first = slices.IndexFunc(all, func(e registry.Endpoint) bool { return registry.Position(e.Name) >= registry.StartPosition(proxyIndex) })
			}
			n.applyList(l, balancer.UpdateComplete)
			want, got := map[string]bool{}, map[string]bool{}
			for i := range 5 { // the balancer's smallest subset
				want[all[(first+i)%servers].Name] = true
			}
			for i := range 200 {
				e := balancer.RequestArrived{ID: balancer.RequestID(fmt.Sprint(i)), Class: "saldo", Timeout: time.Second}
				for _, a := range n.balancer.Handle(n.now(), e) {
					if s, ok := a.(balancer.StartAttempt); ok {
						got[n.endpointIDs.byID[s.Endpoint]] = true
					}
				}
			}
			for name := range got {
				if !want[name] {
					t.Errorf("proxy %d, with a subset %v: sends to %s, want only %v", proxyIndex, isSubset, name, want)
				}
			}
			if len(got) < 2 {
				t.Errorf("proxy %d, with a subset %v: sends to %v, want two or more", proxyIndex, isSubset, got)
			}
		}
	}
}

// subsetRegistry is a registry of one replica, or a replica of an earlier version that does not know subsets.
type subsetRegistry struct {
	mu             sync.Mutex
	state          *registry.State
	withoutSubsets bool
	changed        chan struct{} // closed and replaced to answer the waiting calls
}

func (s *subsetRegistry) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *subsetRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	s.mu.Lock()
	changed, unchanged := s.changed, from > 0 && from == s.state.Version()
	s.mu.Unlock()
	if unchanged {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Get("epoch") != s.state.Epoch() {
		from = 0
	}
	subset, err := registry.ParseSubset(q.Get("part"))
	answer := s.state.Since(from)
	if !s.withoutSubsets && err == nil {
		answer = s.state.SubsetSince(subset, from)
		answer.Subset, answer.Total = subset.String(), s.state.Len()
	}
	besteffort.Encode(json.NewEncoder(w).Encode(answer))
}

// TestProxyFollowsItsSubset: a proxy follows its subset of the list, and changes to another one when its
// index changes. A request in flight at an endpoint that leaves the subset is answered, as at an endpoint
// that is removed. From a registry that does not know subsets the proxy takes the complete list.
func TestProxyFollowsItsSubset(t *testing.T) {
	arrived, release := make(chan string, 10), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
		besteffort.Output(fmt.Fprint(w, "done"))
	}))
	defer backend.Close()
	const servers = 6000
	s := &subsetRegistry{state: registry.NewState(), changed: make(chan struct{})}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	for i := range servers {
		e := subsetEntry(i, backend.Listener.Addr().String())
		s.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &e})
	}
	registryServer := httptest.NewServer(s)
	defer registryServer.Close()
	index, otherIndex := 3, 3
	for ; registry.SubsetOf(otherIndex, 4300, servers).Contains(registry.StartPosition(index)) || registry.SubsetOf(index, 4300, servers).Contains(registry.StartPosition(otherIndex)); otherIndex++ {
	}
	n := startNodeWith(t, func(n *Server) {
		n.config.Registry, n.config.RegistrySubset, n.config.RegistryCache = []string{registryServer.Listener.Addr().String()}, true, filepath.Join(t.TempDir(), "list")
		n.config.Settings.Proxies, n.config.Settings.ProxyIndex = 4300, index
	})
	defer n.stopAndWait(t)
	waitForSubset := func(when string, part registry.Subset) {
		t.Helper()
		want := 0
		for i := range servers {
			if part.Contains(registry.Position(fmt.Sprint("s-", i))) {
				want++
			}
		}
		for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
			got, outside := 0, 0
			n.do(func() {
				for name := range n.listedEndpoints {
					if got++; !part.Contains(registry.Position(name)) {
						outside++
					}
				}
			})
			if got == want && outside == 0 {
				return
			} else if time.Now().After(until) {
				t.Fatalf("%s: %d endpoints listed, %d outside of subset %v, want all %d of it", when, got, outside, part, want)
			}
		}
	}
	waitForSubset("at first", registry.SubsetOf(index, 4300, servers))
	answered := make(chan reply, 1)
	go func() { answered <- do(t, n.request(t, "GET", "saldo", "x", "30", nil)) }()
	wait(t, arrived, "the request")
	cfg := n.configOf()
	cfg.Settings.ProxyIndex = otherIndex
	n.Reload(cfg)
	s.update(func() {
		s.state.Apply(registry.Command{Op: registry.OpPutRecord, Name: "k", Value: json.RawMessage("1")})
	})
	waitForSubset("under another number", registry.SubsetOf(otherIndex, 4300, servers))
	select {
	case a := <-answered:
		t.Errorf("the request in flight is answered %+v", a)
	default:
	}
	close(release)
	if a := wait(t, answered, "the answer"); a.status != http.StatusOK || a.body != "done" {
		t.Errorf("the request in flight ends with %+v", a)
	}
	s.update(func() {
		raw, err := s.state.EncodeSnapshot()
		if err != nil {
			t.Error(err)
		}
		s.withoutSubsets = true
		s.state.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: "e", Epoch: "e2", Snapshot: raw})
	})
	waitForSubset("of a service that knows no parts", registry.Subset{})
}

func TestListPartNeedsRegistryAndSlot(t *testing.T) {
	const on = `"list":["127.0.0.1:1"],"list_part":true,"seed"`
	for _, c := range []struct{ slot, new, want string }{
		{"3", `"list_part":true,"seed"`, "list_part: "}, // with the platform's discovery, which knows no subsets
		{"3", `"list":["127.0.0.1:1"],"list_part":"yes","seed"`, "list_part"},
		{"5", on, "5 of 5"},
		{"3", on, ""},
	} {
		text := strings.Replace(strings.Replace(goodConfig, `"slot_no":3`, `"slot_no":`+c.slot, 1), `"seed"`, c.new, 1)
		cfg, err := parseConfig([]byte(text))
		if c.want == "" && (err != nil || !cfg.RegistrySubset) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("slot %s, %s: %v, want %q", c.slot, c.new, err, c.want)
		}
	}
}
