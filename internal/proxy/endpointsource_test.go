package proxy

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

var quiet = slog.New(slog.DiscardHandler)

func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

func TestEndpointIDsAreStableAndDistinct(t *testing.T) {
	a, b := newEndpointIDs(), newEndpointIDs()
	first := a.idOf("s-1")
	if first != a.idOf("s-1") || a.idOf("s-1") == a.idOf("s-2") {
		t.Error("a name has two IDs, or two names have one")
	}
	if b.idOf("s-2") != a.idOf("s-2") {
		t.Error("IDs depend on the order of the names")
	}
	a.hashName = func(s string) uint32 { return uint32(strings.Count(s, "\x00")) }
	x, y := a.idOf("x"), a.idOf("y")
	if x == y || a.idOf("x") != x || a.idOf("y") != y {
		t.Errorf("names with the same hash get IDs %d and %d", x, y)
	}
	a.forget("x")
	if a.idOf("z") != x {
		t.Error("the ID of a forgotten name is not assigned again")
	}
}

func TestBalancerClockReadsUnixTime(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	before := time.Now().UnixMilli()
	if now := n.now(); now < time.Duration(before)*time.Millisecond || now > time.Duration(before)*time.Millisecond+enough {
		t.Errorf("the balancer's clock reads %v at Unix time %d ms", now, before)
	}
}

func TestApplyListUpdatesPoolAndReadiness(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	apply := func(kind balancer.UpdateKind, entries ...string) {
		var l registry.ListResponse
		text := fmt.Sprintf(`{"index":1,"snapshot":%v,"endpoints":[%s]}`, kind != balancer.UpdateIncremental, strings.Join(entries, ","))
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		n.applyList(l, kind)
	}
	check := func(when string, want map[string]string) {
		t.Helper()
		if len(n.listedEndpoints) != len(want) || len(n.pool.backends) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, want %d", when, len(n.listedEndpoints), len(n.pool.backends), len(want))
		}
		for name, address := range want {
			if b := n.pool.backends[n.listedEndpoints[name]]; b == nil || b.address != address {
				t.Errorf("%s: %s is at %+v, want %s", when, name, b, address)
			}
		}
		if n.frontend.ready.Load() != (len(want) > 0) {
			t.Errorf("%s: ready is wrong", when)
		}
	}
	check("at the start", nil)
	apply(balancer.UpdateCached, entryJSON("a", "127.0.0.1:1", "ready"), entryJSON("b", "127.0.0.1:2", "draining"))
	check("cached", map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
	apply(balancer.UpdateIncremental, entryJSON("a", "127.0.0.1:3", "ready"), entryJSON("b", "", "gone"), entryJSON("c", "", "gone"))
	check("changes", map[string]string{"a": "127.0.0.1:3"})
	apply(balancer.UpdateComplete, entryJSON("d", "127.0.0.1:4", "ready"))
	check("full", map[string]string{"d": "127.0.0.1:4"})
	apply(balancer.UpdateComplete)
	check("empty", nil)
}

// TestLastEntryOfANameCounts: of several entries of a name in one list, the last one is applied.
func TestLastEntryOfANameCounts(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	l := registry.ListResponse{Index: 2}
	for _, status := range []string{registry.Removed, registry.Ready, registry.Draining} {
		for i := range 50 {
			l.Endpoints = append(l.Endpoints, registry.Endpoint{Name: fmt.Sprint("moved-", i), Address: "127.0.0.1:1", Status: status})
		}
	}
	for _, status := range []string{registry.Ready, registry.Removed} {
		for i := range 50 {
			l.Endpoints = append(l.Endpoints, registry.Endpoint{Name: fmt.Sprint("left-", i), Address: "127.0.0.1:1", Status: status})
		}
	}
	n.applyList(l, balancer.UpdateIncremental)
	if len(n.listedEndpoints) != 50 || len(n.pool.backends) != 50 {
		t.Errorf("%d are listed, %d in the pool, want 50", len(n.listedEndpoints), len(n.pool.backends))
	}
	for name := range n.listedEndpoints {
		if !strings.HasPrefix(name, "moved-") {
			t.Errorf("%s is listed, although its last entry is removed", name)
		}
	}
}

// TestReloadSwitchesBetweenPushAndPoll: after a reload the proxy reads the complete list and then watches in
// the new way, pushed or polled, which the watches' hold time shows.
func TestReloadSwitchesBetweenPushAndPoll(t *testing.T) {
	calls := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls <- r.URL.RawQuery; r.URL.RawQuery == "" {
			besteffort.Output(fmt.Fprint(w, listOf(9)))
			return
		}
		<-r.Context().Done()
	}))
	defer discovery.Close()
	n := startNodeWith(t, func(n *Server) { n.config.Discovery = discovery.Listener.Addr().String() })
	defer n.stopAndWait(t)
	cfg := n.configOf()
	for _, want := range []string{"from=9&hold_ms=3500", "from=9&hold_ms=20000", "from=9&hold_ms=3500"} {
		got := "none"
		for got != "" { // watches of the previous way
			got = wait(t, calls, "the call for the complete list")
		}
		for got == "" { // the balancer may read the complete list again
			got = wait(t, calls, "the watch")
		}
		if got != want {
			t.Fatalf("the watch asks for %q, want %q", got, want)
		}
		cfg.Settings.PollForEndpoints = !cfg.Settings.PollForEndpoints
		n.Reload(cfg)
	}
}

// TestRegistryListIsServedAndCached: a proxy that follows the registry takes the list from any replica that
// answers, and a later process starts from the cached list when no replica answers.
func TestRegistryListIsServedAndCached(t *testing.T) {
	server, _ := echoServer(t)
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		besteffort.Output(fmt.Fprintf(w, `{"index":7,"epoch":"e","snapshot":true,"endpoints":[%s]}`, entryJSON("s", server, "ready")))
	}))
	file := filepath.Join(t.TempDir(), "list")
	replicaAddress := replica.Listener.Addr().String()
	for _, c := range []struct {
		when string
		list []string
	}{{"with one replica of two", []string{"127.0.0.1:1", replicaAddress}}, {"with none", []string{"127.0.0.1:1"}}} {
		n := startNodeWith(t, func(n *Server) { n.config.Registry, n.config.RegistryCache = c.list, file })
		for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
			if _, err := os.Stat(file); err == nil && n.frontend.ready.Load() { // the proxy serves before it caches the list
				break
			}
			if time.Now().After(until) {
				t.Fatalf("%s: not ready, or no list cached", c.when)
			}
		}
		if a := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); a.body != "x" {
			t.Errorf("%s: answer %+v", c.when, a)
		}
		for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) { // the list is cached after it is applied
			if _, err := os.Stat(file); err == nil {
				break
			} else if time.Now().After(until) {
				t.Fatal(err)
			}
		}
		n.stopAndWait(t)
		replica.CloseClientConnections()
	}
	replica.Close()
}
