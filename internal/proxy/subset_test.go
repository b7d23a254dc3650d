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

func partEntry(i int, address string) registry.Endpoint {
	return registry.Endpoint{Name: fmt.Sprint("s-", i), Address: address, Zone: "a", Type: "m2", Status: registry.Ready, Weight: 1}
}

// TestPlacesAgree: the list's ring is the one on which decide takes a proxy's servers, of a complete list and of a part.
func TestPlacesAgree(t *testing.T) {
	const servers, nodes = 3000, 4300
	var all []registry.Endpoint
	for i := range servers {
		all = append(all, partEntry(i, "127.0.0.1:1"))
	}
	slices.SortFunc(all, func(a, b registry.Endpoint) int {
		if registry.Position(a.Name) < registry.Position(b.Name) {
			return -1
		}
		return 1
	})
	for _, self := range []int{0, 1, 7, 4299} {
		part := registry.SubsetOf(self, nodes, servers)
		for _, parted := range []bool{false, true} {
			cfg := testConfig("127.0.0.1:1")
			cfg.Settings.Proxies, cfg.Settings.ProxyIndex = nodes, self
			n := New(cfg, quiet)
			l := registry.ListResponse{Index: 1, Snapshot: true, Endpoints: all}
			first := int(servers * math.Mod(float64(self)*math.Phi, 1))
			if parted {
				l.Subset, l.Total = part.String(), servers
				l.Endpoints = slices.DeleteFunc(slices.Clone(all), func(e registry.Endpoint) bool { return !part.Contains(registry.Position(e.Name)) })
				first = slices.IndexFunc(all, func(e registry.Endpoint) bool { return registry.Position(e.Name) >= registry.StartPosition(self) })
			}
			n.applyList(l, balancer.UpdateComplete)
			want, got := map[string]bool{}, map[string]bool{}
			for i := range 5 { // decide's least reach
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
					t.Errorf("node %d, a part: %v: it sends to %s, of %v", self, parted, name, want)
				}
			}
			if len(got) < 2 {
				t.Errorf("node %d, a part: %v: it sends to %v", self, parted, got)
			}
		}
	}
}

// partService is a registry of one replica, or one of before that knows no parts.
type partService struct {
	mu    sync.Mutex
	state *registry.State
	old   bool
	news  chan struct{} // closed and replaced when calls are not to be held any longer
}

func (s *partService) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.news)
	s.news = make(chan struct{})
}

func (s *partService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	s.mu.Lock()
	news, quiet := s.news, from > 0 && from == s.state.Version()
	s.mu.Unlock()
	if quiet {
		select {
		case <-news:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Get("epoch") != s.state.Epoch() {
		from = 0
	}
	part, err := registry.ParseSubset(q.Get("part"))
	a := s.state.Since(from)
	if !s.old && err == nil {
		a = s.state.SubsetSince(part, from)
		a.Subset, a.Total = part.String(), s.state.Len()
	}
	besteffort.Encode(json.NewEncoder(w).Encode(a))
}

// TestListPart: a proxy follows its subset of the list, and goes on to another when its number changes. A request that is
// in flight at a server which leaves the part ends as it would at one that is removed. Of a service that knows no parts
// it has the complete list.
func TestListPart(t *testing.T) {
	arrived, release := make(chan string, 10), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
		besteffort.Output(fmt.Fprint(w, "done"))
	}))
	defer backend.Close()
	const servers = 6000
	s := &partService{state: registry.NewState(), news: make(chan struct{})}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	for i := range servers {
		e := partEntry(i, backend.Listener.Addr().String())
		s.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &e})
	}
	service := httptest.NewServer(s)
	defer service.Close()
	self, other := 3, 3
	for ; registry.SubsetOf(other, 4300, servers).Contains(registry.StartPosition(self)) || registry.SubsetOf(self, 4300, servers).Contains(registry.StartPosition(other)); other++ {
	}
	n := startNodeWith(t, func(n *Server) {
		n.config.Registry, n.config.RegistrySubset, n.config.RegistryCache = []string{service.Listener.Addr().String()}, true, filepath.Join(t.TempDir(), "list")
		n.config.Settings.Proxies, n.config.Settings.ProxyIndex = 4300, self
	})
	defer n.stopNow(t)
	has := func(when string, part registry.Subset) {
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
				t.Fatalf("%s: it has %d servers, %d outside of part %v, which has %d", when, got, outside, part, want)
			}
		}
	}
	has("at first", registry.SubsetOf(self, 4300, servers))
	answered := make(chan reply, 1)
	go func() { answered <- do(t, n.request(t, "GET", "saldo", "x", "30", nil)) }()
	wait(t, arrived, "the request")
	cfg := n.configOf()
	cfg.Settings.ProxyIndex = other
	n.Reload(cfg)
	s.change(func() {
		s.state.Apply(registry.Command{Op: registry.OpPutRecord, Name: "k", Value: json.RawMessage("1")})
	})
	has("under another number", registry.SubsetOf(other, 4300, servers))
	select {
	case a := <-answered:
		t.Errorf("the request in flight is answered %+v", a)
	default:
	}
	close(release)
	if a := wait(t, answered, "the answer"); a.status != http.StatusOK || a.body != "done" {
		t.Errorf("the request in flight ends with %+v", a)
	}
	s.change(func() {
		raw, err := s.state.EncodeSnapshot()
		if err != nil {
			t.Error(err)
		}
		s.old = true
		s.state.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: "e", Epoch: "e2", Snapshot: raw})
	})
	has("of a service that knows no parts", registry.Subset{})
}

func TestBadListPart(t *testing.T) {
	const on = `"list":["127.0.0.1:1"],"list_part":true,"seed"`
	for _, c := range []struct{ slot, new, want string }{
		{"3", `"list_part":true,"seed"`, "list_part: "}, // of the platform's discovery
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
