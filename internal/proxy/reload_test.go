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

// TestReloadMovesDiscovery: after a reload with another address of discovery the proxy drops the old one's
// list, applies the complete list of the new one, whose versions may be lower, and watches there. Open
// requests are not disturbed.
func TestReloadMovesDiscovery(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	blockedServer := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okAnswer))
		}
	})
	server, ids := echoServer(t)
	n := startNode(t, blockedServer)
	open := make(chan reply, 1)
	go func() { open <- do(t, n.request(t, "GET", "saldo", "before", "60", nil)) }()
	wait(t, got, "the attempt before the move")

	calls, changes := make(chan string, 10), make(chan string, 1)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	defer next.Close()
	defer n.stopAndWait(t)
	cfg := n.configOf()
	cfg.Discovery = next.Listener.Addr().String()
	n.Reload(cfg)
	n.Reload(cfg) // the same configuration again changes nothing
	for _, want := range []string{"", "0"} {
		if from := wait(t, calls, "a call to the new address"); from != want {
			t.Fatalf("call from %q, want %q", from, want)
		}
	}
	if a := do(t, n.request(t, "GET", "saldo", "after", "20", nil)); a.body != "after" {
		t.Errorf("answer %+v", a)
	}
	if id := wait(t, ids, "the attempt after the move"); id != "after" {
		t.Errorf("the new server got %q", id)
	}
	close(release)
	if a := wait(t, open, "the answer from before"); a.status != 200 {
		t.Errorf("the request from before the move: %+v", a)
	}
	changes <- entryJSON("new", server, "draining")
	if from := wait(t, calls, "the next call"); from != "1" {
		t.Errorf("call from %q, want 1", from)
	}
	if a := do(t, n.request(t, "GET", "saldo", "drained", "20", nil)); a.status != 503 {
		t.Errorf("with all draining: %+v", a)
	}
}

// stopAndWait ends the proxy, so that none of its calls stay open.
func (n *running) stopAndWait(t *testing.T) {
	n.stop()
	n.linger()
	<-n.Server.ended
}

// TestReloadFromPollToPushStartsWatch: after a reload from polled to pushed lists, at the same address, the
// proxy follows by itself, as the balancer will not poll again when its last watch fails.
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
	n := startNodeWith(t, func(n *Server) {
		n.config.Discovery = disc.Listener.Addr().String()
		n.config.Settings.PollForEndpoints = true
		n.balancer = balancer.New(n.config.Settings, 1)
	})
	defer n.stopAndWait(t)
	wait(t, watched, "the balancer's watch")
	cfg := n.configOf()
	cfg.Settings.PollForEndpoints = false
	n.Reload(cfg)
	wait(t, completeReads, "the proxy's own read of the complete list")
	wait(t, watched, "the proxy's own watch")
}

// TestReloadBeforeTheFirstList: a reload moves discovery while a new process still waits for the old one's
// state, and the new address delivers a list. The configuration's initial list does not replace it.
func TestReloadBeforeTheFirstList(t *testing.T) {
	dir, told := handoffDir(t), make(chan chan struct{}, 1)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.read.ReadString('\n')
		<-<-told
		o.send(t, `{"v":1,"kind":"state"}`)
		o.receive(t, kindReady)
		o.send(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	server, ids := echoServer(t)
	first := make(chan bool, 1)
	first <- true
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, entryJSON("new", server, "ready")))
		default: // no answer after the first one
			<-r.Context().Done()
		}
	}))
	defer disc.Close()
	n := startNodeWith(t, func(n *Server) {
		n.EnableHandoff(dir)
		n.config.initialList = registry.ListResponse{Snapshot: true, Endpoints: []registry.Endpoint{{Name: "old", Address: refusing(t), Status: registry.Ready}}}
		told <- n.listKnown
		cfg := n.config
		cfg.Discovery = disc.Listener.Addr().String()
		n.Reload(cfg) // applied as soon as the loop runs
	})
	defer n.stopAndWait(t)
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	} else if id := wait(t, ids, "the attempt"); id != "q" {
		t.Errorf("the new server got %q", id)
	}
}

// TestReloadKeepsDrainingReadBeforeTheMove: discovery is writing that a backend drains when a reload moves
// the proxy to another address, which does not answer. The drain is applied, whether the list was complete at
// the move or its rest comes a moment later.
func TestReloadKeepsDrainingReadBeforeTheMove(t *testing.T) {
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
		n := startNodeWith(t, func(n *Server) { n.config.Discovery = disc })
		c, next := wait(t, watch, "the watch"), newAgent(t)
		cfg := n.configOf()
		cfg.Discovery = next.address
		answer, cut := responseWith("draining"), 0
		if i%2 == 0 {
			cut = 20
		}
		besteffort.Output(io.WriteString(c, answer[:len(answer)-cut]))
		n.Reload(cfg)
		if cut > 0 {
			n.do(func() {}) // waits for the move
			besteffort.Output(io.WriteString(c, answer[len(answer)-cut:]))
		}
		wait(t, next.calls, "the call to the new address")
		draining := make(chan bool, 1)
		n.post(func() { draining <- n.pool.backends[n.listedEndpoints["s"]].draining })
		if !wait(t, draining, "the list") {
			t.Errorf("round %d, %d bytes sent after the move: the backend does not drain", i, cut)
		}
		n.stopAndWait(t)
	}
}
