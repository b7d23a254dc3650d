package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// TestReloadSwitchesToNewDiscoveryAddress: after a reload with a new address of discovery, the proxy drops
// the list of the old address, applies the complete list of the new address, whose versions may be lower, and
// watches there. Open requests are not disturbed.
func TestReloadSwitchesToNewDiscoveryAddress(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	blockedServer := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okResponse))
		}
	})
	server, ids := echoServer(t)
	srv := startProxy(t, blockedServer)
	heldResponse := make(chan receivedResponse, 1)
	go func() { heldResponse <- do(t, srv.request(t, "GET", "saldo", "before", "60", nil)) }()
	wait(t, got, "the attempt before the reload")

	calls, changes := make(chan string, 10), make(chan string, 1)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		calls <- from
		if from == "" {
			besteffort.Output(fmt.Fprintf(w, `{"index":0,"snapshot":true,"endpoints":[%s]}`, entryJSON("new", server, "ready")))
			return
		}
		select {
		case change := <-changes:
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":false,"endpoints":[%s]}`, change))
		case <-r.Context().Done():
		}
	}))
	defer newDiscovery.Close()
	defer srv.stopAndWait(t)
	cfg := srv.currentConfig()
	cfg.Discovery = newDiscovery.Listener.Addr().String()
	srv.Reload(cfg)
	srv.Reload(cfg) // the same configuration again changes nothing
	for _, want := range []string{"", "0"} {
		if from := wait(t, calls, "a call to the new address"); from != want {
			t.Fatalf("call from %q, want %q", from, want)
		}
	}
	if a := do(t, srv.request(t, "GET", "saldo", "after", "20", nil)); a.body != "after" {
		t.Errorf("response %+v, want body after", a)
	}
	if id := wait(t, ids, "the attempt after the reload"); id != "after" {
		t.Errorf("the new backend received %q", id)
	}
	close(release)
	if a := wait(t, heldResponse, "the response to the request from before the reload"); a.status != 200 {
		t.Errorf("the request from before the reload: response %+v, want 200", a)
	}
	changes <- entryJSON("new", server, "draining")
	if from := wait(t, calls, "the next call"); from != "1" {
		t.Errorf("call from %q, want 1", from)
	}
	if a := do(t, srv.request(t, "GET", "saldo", "drained", "20", nil)); a.status != 503 {
		t.Errorf("with all endpoints draining: response %+v, want 503", a)
	}
}

// stopAndWait stops the proxy and waits for its end, so that its calls to discovery have ended too.
func (srv *runningProxy) stopAndWait(t *testing.T) {
	srv.stop()
	srv.endLateAccepting()
	<-srv.Server.ended
}

// TestReloadFromPollToPushStartsWatch: after a reload from polled to pushed lists, with the same address, the
// proxy starts a watch itself, because the balancer will not poll again when its last watch fails.
func TestReloadFromPollToPushStartsWatch(t *testing.T) {
	watched, completeReads := make(chan bool, 10), make(chan bool, 10)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			watched <- true
			<-r.Context().Done()
			return
		}
		completeReads <- true
		besteffort.Output(fmt.Fprint(w, `{"index":1,"snapshot":true,"endpoints":[]}`))
	}))
	defer disc.Close()
	srv := startProxyWith(t, func(srv *Server) {
		srv.config.Discovery = disc.Listener.Addr().String()
		srv.config.Settings.PollForEndpoints = true
		srv.balancer = balancer.New(srv.config.Settings, 1)
	})
	defer srv.stopAndWait(t)
	wait(t, watched, "the balancer's watch")
	cfg := srv.currentConfig()
	cfg.Settings.PollForEndpoints = false
	srv.Reload(cfg)
	wait(t, completeReads, "the proxy's own read of the complete list")
	wait(t, watched, "the proxy's own watch")
}

// TestInitialListDoesNotReplaceListReadAfterReload: a reload changes the address of discovery while a
// new process still waits for the old process's state, and the new address returns a list. The configuration's
// initial list does not replace this list.
func TestInitialListDoesNotReplaceListReadAfterReload(t *testing.T) {
	dir, listKnown := handoffDir(t), make(chan chan struct{}, 1)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.reader.ReadString('\n')
		<-<-listKnown
		o.sendLine(t, `{"v":1,"kind":"state"}`)
		o.receive(t, kindReady)
		o.sendLine(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	server, ids := echoServer(t)
	first := make(chan bool, 1)
	first <- true
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, entryJSON("new", server, "ready")))
		default: // later calls are not answered
			<-r.Context().Done()
		}
	}))
	defer disc.Close()
	srv := startProxyWith(t, func(srv *Server) {
		srv.EnableHandoff(dir)
		srv.config.initialList = registry.ListResponse{Snapshot: true, Endpoints: []registry.Endpoint{{Name: "old", Address: refusingAddress(t), Status: registry.Ready}}}
		listKnown <- srv.listKnown
		cfg := srv.config
		cfg.Discovery = disc.Listener.Addr().String()
		srv.Reload(cfg) // applied as soon as the loop runs
	})
	defer srv.stopAndWait(t)
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	} else if id := wait(t, ids, "the attempt"); id != "q" {
		t.Errorf("the new backend received %q", id)
	}
}

// TestReloadAppliesDrainSentByPreviousDiscovery: discovery is sending a list in which a backend drains when a
// reload changes the address of discovery. The new address does not respond. The drain is applied, whether the
// list has been sent completely before the reload or its last bytes follow shortly after it.
func TestReloadAppliesDrainSentByPreviousDiscovery(t *testing.T) {
	for i := range 20 {
		watch := make(chan net.Conn, 1)
		responseWith := func(status string) string {
			list := listOf(9, entryJSON("s", "127.0.0.1:1", status))
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
		disc := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			besteffort.Output(io.WriteString(c, responseWith("ready")))
			readRequest(r)
			watch <- c
			_, _ = io.Copy(io.Discard, r)
		})
		srv := startProxyWith(t, func(srv *Server) { srv.config.Discovery = disc })
		watchConn, newDiscovery := wait(t, watch, "the watch"), newFakeAgent(t)
		cfg := srv.currentConfig()
		cfg.Discovery = newDiscovery.address
		rawResponse, lateBytes := responseWith("draining"), 0
		if i%2 == 0 {
			lateBytes = 20
		}
		besteffort.Output(io.WriteString(watchConn, rawResponse[:len(rawResponse)-lateBytes]))
		srv.Reload(cfg)
		if lateBytes > 0 {
			srv.do(func() {}) // waits until the reload has been applied
			besteffort.Output(io.WriteString(watchConn, rawResponse[len(rawResponse)-lateBytes:]))
		}
		wait(t, newDiscovery.calls, "the call to the new address")
		draining := make(chan bool, 1)
		srv.post(func() { draining <- srv.pool.backends[srv.listedEndpoints["s"]].draining })
		if !wait(t, draining, "the list") {
			t.Errorf("round %d, %d bytes sent after the reload: the backend does not drain", i, lateBytes)
		}
		srv.stopAndWait(t)
	}
}
