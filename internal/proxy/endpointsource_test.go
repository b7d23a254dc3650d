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

var discardLog = slog.New(slog.DiscardHandler)

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
	srv := New(testConfig("127.0.0.1:1"), discardLog)
	before := time.Now().UnixMilli()
	if now := srv.now(); now < time.Duration(before)*time.Millisecond || now > time.Duration(before)*time.Millisecond+testTimeout {
		t.Errorf("the balancer's clock reads %v at Unix time %d ms", now, before)
	}
}

func TestApplyListUpdatesPoolAndReadiness(t *testing.T) {
	srv := New(testConfig("127.0.0.1:1"), discardLog)
	apply := func(kind balancer.UpdateKind, entries ...string) {
		var l registry.ListResponse
		text := fmt.Sprintf(`{"index":1,"snapshot":%v,"endpoints":[%s]}`, kind != balancer.UpdateIncremental, strings.Join(entries, ","))
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		srv.applyList(l, kind)
	}
	check := func(when string, want map[string]string) {
		t.Helper()
		if len(srv.listedEndpoints) != len(want) || len(srv.pool.backends) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, want %d", when, len(srv.listedEndpoints), len(srv.pool.backends), len(want))
		}
		for name, address := range want {
			if b := srv.pool.backends[srv.listedEndpoints[name]]; b == nil || b.address != address {
				t.Errorf("%s: %s is at %+v, want %s", when, name, b, address)
			}
		}
		if srv.frontend.ready.Load() != (len(want) > 0) {
			t.Errorf("%s: ready is wrong", when)
		}
	}
	check("at the start", nil)
	apply(balancer.UpdateCached, entryJSON("a", "127.0.0.1:1", "ready"), entryJSON("b", "127.0.0.1:2", "draining"))
	check("after a cached list", map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
	apply(balancer.UpdateIncremental, entryJSON("a", "127.0.0.1:3", "ready"), entryJSON("b", "", "gone"), entryJSON("c", "", "gone"))
	check("after changes", map[string]string{"a": "127.0.0.1:3"})
	apply(balancer.UpdateComplete, entryJSON("d", "127.0.0.1:4", "ready"))
	check("after a complete list", map[string]string{"d": "127.0.0.1:4"})
	apply(balancer.UpdateComplete)
	check("after an empty list", nil)
}

// TestLastEntryOfANameIsApplied: if a list has several entries of one name, the last entry is applied.
func TestLastEntryOfANameIsApplied(t *testing.T) {
	srv := New(testConfig("127.0.0.1:1"), discardLog)
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
	srv.applyList(l, balancer.UpdateIncremental)
	if len(srv.listedEndpoints) != 50 || len(srv.pool.backends) != 50 {
		t.Errorf("%d endpoints are listed, %d in the pool, want 50", len(srv.listedEndpoints), len(srv.pool.backends))
	}
	for name := range srv.listedEndpoints {
		if !strings.HasPrefix(name, "moved-") {
			t.Errorf("%s is listed, although its last entry has the status removed", name)
		}
	}
}

// TestReloadSwitchesBetweenPushAndPoll: after a reload that switches between pushed and polled lists, the proxy
// reads the complete list and then watches in the new mode. The hold time of the watches shows the mode.
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
	srv := startProxyWith(t, func(srv *Server) { srv.config.Discovery = discovery.Listener.Addr().String() })
	defer srv.stopAndWait(t)
	cfg := srv.currentConfig()
	for _, want := range []string{"from=9&hold_ms=3500", "from=9&hold_ms=20000", "from=9&hold_ms=3500"} {
		got := "none"
		for got != "" { // watches in the previous mode
			got = wait(t, calls, "the call for the complete list")
		}
		for got == "" { // the balancer may read the complete list again
			got = wait(t, calls, "the watch")
		}
		if got != want {
			t.Fatalf("the watch has query %q, want %q", got, want)
		}
		cfg.Settings.PollForEndpoints = !cfg.Settings.PollForEndpoints
		srv.Reload(cfg)
	}
}

// TestRegistryListIsServedAndCached: a proxy that follows the registry takes the list from any replica that
// responds. If no replica responds to a later process, that process starts with the cached list.
func TestRegistryListIsServedAndCached(t *testing.T) {
	server, _ := echoServer(t)
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		besteffort.Output(fmt.Fprintf(w, `{"index":7,"epoch":"e","snapshot":true,"endpoints":[%s]}`, entryJSON("s", server, "ready")))
	}))
	cacheFile := filepath.Join(t.TempDir(), "list")
	replicaAddress := replica.Listener.Addr().String()
	for _, c := range []struct {
		when     string
		replicas []string
	}{{"one replica of two responds", []string{"127.0.0.1:1", replicaAddress}}, {"no replica responds", []string{"127.0.0.1:1"}}} {
		srv := startProxyWith(t, func(srv *Server) { srv.config.Registry, srv.config.RegistryCache = c.replicas, cacheFile })
		for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			if _, err := os.Stat(cacheFile); err == nil && srv.frontend.ready.Load() { // the proxy serves before it caches the list
				break
			}
			if time.Now().After(until) {
				t.Fatalf("%s: not ready, or no list cached", c.when)
			}
		}
		if a := do(t, srv.request(t, "GET", "saldo", "x", "20", nil)); a.body != "x" {
			t.Errorf("%s: response %+v, want body x", c.when, a)
		}
		for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // the list is cached after it is applied
			if _, err := os.Stat(cacheFile); err == nil {
				break
			} else if time.Now().After(until) {
				t.Fatal(err)
			}
		}
		srv.stopAndWait(t)
		replica.CloseClientConnections()
	}
	replica.Close()
}
