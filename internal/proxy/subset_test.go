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

// TestSubsetMatchesTheBalancersRing: the registry and the balancer use the same hash ring to choose a proxy's
// endpoints, both from the complete list and from a subset.
func TestSubsetMatchesTheBalancersRing(t *testing.T) {
	const endpoints, proxies = 3000, 4300
	var endpointsOnRing []registry.Endpoint
	for i := range endpoints {
		endpointsOnRing = append(endpointsOnRing, subsetEntry(i, "127.0.0.1:1"))
	}
	slices.SortFunc(endpointsOnRing, func(a, b registry.Endpoint) int {
		if registry.Position(a.Name) < registry.Position(b.Name) {
			return -1
		}
		return 1
	})
	for _, proxyIndex := range []int{0, 1, 7, 4299} {
		subset := registry.SubsetOf(proxyIndex, proxies, endpoints)
		for _, isSubset := range []bool{false, true} {
			cfg := testConfig("127.0.0.1:1")
			cfg.Settings.Proxies, cfg.Settings.ProxyIndex = proxies, proxyIndex
			srv := New(cfg, discardLog)
			l := registry.ListResponse{Index: 1, Snapshot: true, Endpoints: endpointsOnRing}
			first := int(endpoints * math.Mod(float64(proxyIndex)*math.Phi, 1))
			if isSubset {
				l.Subset, l.Total = subset.String(), endpoints
				l.Endpoints = slices.DeleteFunc(slices.Clone(endpointsOnRing), func(e registry.Endpoint) bool { return !subset.Contains(registry.Position(e.Name)) })
				first = slices.IndexFunc(endpointsOnRing, func(e registry.Endpoint) bool { return registry.Position(e.Name) >= registry.StartPosition(proxyIndex) })
			}
			srv.applyList(l, balancer.UpdateComplete)
			want, got := map[string]bool{}, map[string]bool{}
			for i := range 5 { // the balancer's smallest subset
				want[endpointsOnRing[(first+i)%endpoints].Name] = true
			}
			for i := range 200 {
				e := balancer.RequestArrived{ID: balancer.RequestID(fmt.Sprint(i)), Class: "saldo", Timeout: time.Second}
				for _, a := range srv.balancer.Handle(srv.now(), e) {
					if s, ok := a.(balancer.StartAttempt); ok {
						got[srv.endpointIDs.byID[s.Endpoint]] = true
					}
				}
			}
			for name := range got {
				if !want[name] {
					t.Errorf("proxy %d, subset %v: sends to %s, want only %v", proxyIndex, isSubset, name, want)
				}
			}
			if len(got) < 2 {
				t.Errorf("proxy %d, subset %v: sends to %v, want two or more", proxyIndex, isSubset, got)
			}
		}
	}
}

// subsetRegistry is a registry with one replica. If withoutSubsets is set, the replica is of an earlier version
// that does not support subsets.
type subsetRegistry struct {
	mu             sync.Mutex
	state          *registry.State
	withoutSubsets bool
	changed        chan struct{} // closed and replaced to end the wait of open calls
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
	listResponse := s.state.Since(from)
	if !s.withoutSubsets && err == nil {
		listResponse = s.state.SubsetSince(subset, from)
		listResponse.Subset, listResponse.Total = subset.String(), s.state.Len()
	}
	besteffort.Encode(json.NewEncoder(w).Encode(listResponse))
}

// TestProxyFollowsItsSubset: a proxy follows its subset of the list, and switches to another subset when its
// index changes. A request in flight at an endpoint that is no longer in the subset is answered, as it is at an
// endpoint that is removed. If the registry does not support subsets, the proxy takes the complete list.
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
	srv := startProxyWith(t, func(srv *Server) {
		srv.config.Registry, srv.config.RegistrySubset, srv.config.RegistryCache = []string{registryServer.Listener.Addr().String()}, true, filepath.Join(t.TempDir(), "list")
		srv.config.Settings.Proxies, srv.config.Settings.ProxyIndex = 4300, index
	})
	defer srv.stopAndWait(t)
	waitForSubset := func(when string, subset registry.Subset) {
		t.Helper()
		want := 0
		for i := range servers {
			if subset.Contains(registry.Position(fmt.Sprint("s-", i))) {
				want++
			}
		}
		for until := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			got, outside := 0, 0
			srv.do(func() {
				for name := range srv.listedEndpoints {
					if got++; !subset.Contains(registry.Position(name)) {
						outside++
					}
				}
			})
			if got == want && outside == 0 {
				return
			} else if time.Now().After(until) {
				t.Fatalf("%s: %d endpoints are listed, %d of them outside of subset %v, want exactly its %d endpoints", when, got, outside, subset, want)
			}
		}
	}
	waitForSubset("after the start", registry.SubsetOf(index, 4300, servers))
	answered := make(chan receivedResponse, 1)
	go func() { answered <- do(t, srv.request(t, "GET", "saldo", "x", "30", nil)) }()
	wait(t, arrived, "the request")
	cfg := srv.currentConfig()
	cfg.Settings.ProxyIndex = otherIndex
	srv.Reload(cfg)
	s.update(func() {
		s.state.Apply(registry.Command{Op: registry.OpPutRecord, Name: "k", Value: json.RawMessage("1")})
	})
	waitForSubset("with another proxy index", registry.SubsetOf(otherIndex, 4300, servers))
	select {
	case a := <-answered:
		t.Errorf("the request in flight is answered %+v before its backend responds", a)
	default:
	}
	close(release)
	if a := wait(t, answered, "the response"); a.status != http.StatusOK || a.body != "done" {
		t.Errorf("the request in flight is answered %+v, want 200 with body done", a)
	}
	s.update(func() {
		raw, err := s.state.EncodeSnapshot()
		if err != nil {
			t.Error(err)
		}
		s.withoutSubsets = true
		s.state.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: "e", Epoch: "e2", Snapshot: raw})
	})
	waitForSubset("with a registry without subsets", registry.Subset{})
}

func TestSubsetNeedsRegistryAndProxyIndex(t *testing.T) {
	const on = `"list":["127.0.0.1:1"],"list_part":true,"seed"`
	for _, c := range []struct{ slot, new, want string }{
		{"3", `"list_part":true,"seed"`, "list_part: "}, // with the platform's discovery, which does not support subsets
		{"3", `"list":["127.0.0.1:1"],"list_part":"yes","seed"`, "list_part"},
		{"5", on, "5 of 5"},
		{"3", on, ""},
	} {
		text := strings.Replace(strings.Replace(validConfig, `"slot_no":3`, `"slot_no":`+c.slot, 1), `"seed"`, c.new, 1)
		cfg, err := parseConfig([]byte(text))
		if c.want == "" && (err != nil || !cfg.RegistrySubset) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("slot_no %s, %s: error %v, want %q", c.slot, c.new, err, c.want)
		}
	}
}
