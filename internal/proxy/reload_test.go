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

// TestReloadMovesDiscovery: after a move the proxy lets go of the old address,
// takes the complete list of the new one, whose versions may be lower, and goes
// on watching there. What is open is not disturbed.
func TestReloadMovesDiscovery(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	held := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okAnswer))
		}
	})
	server, ids := echoServer(t)
	n := startNode(t, held)
	open := make(chan reply, 1)
	go func() { open <- do(t, n.request(t, "GET", "saldo", "before", "60", nil)) }()
	wait(t, got, "the attempt before the move")

	calls, news := make(chan string, 10), make(chan string, 1)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		calls <- from
		if from == "" {
			besteffort.Output(fmt.Fprintf(w, `{"index":0,"snapshot":true,"endpoints":[%s]}`, entryJSON("new", server, "ready")))
			return
		}
		select {
		case change := <-news:
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":false,"endpoints":[%s]}`, change))
		case <-r.Context().Done():
		}
	}))
	defer next.Close()
	defer n.stopNow(t)
	cfg := n.configOf()
	cfg.Discovery = next.Listener.Addr().String()
	n.Reload(cfg)
	n.Reload(cfg) // once more changes nothing
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
	news <- entryJSON("new", server, "draining")
	if from := wait(t, calls, "the next call"); from != "1" {
		t.Errorf("call from %q, want 1", from)
	}
	if a := do(t, n.request(t, "GET", "saldo", "drained", "20", nil)); a.status != 503 {
		t.Errorf("with all draining: %+v", a)
	}
}

// stopNow ends the proxy, so that none of its calls are left open.
func (n *running) stopNow(t *testing.T) {
	n.stop()
	n.linger()
	<-n.Server.ended
}

// TestReloadTurnsPushed: where lists have been asked for and are pushed from now on, at the same address, the proxy
// follows by itself; the balancer will not ask when the watch fails that it has asked for.
func TestReloadTurnsPushed(t *testing.T) {
	watched, whole := make(chan bool, 10), make(chan bool, 10)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			watched <- true
			<-r.Context().Done()
			return
		}
		whole <- true
		besteffort.Output(fmt.Fprint(w, `{"index":1,"snapshot":true,"endpoints":[]}`))
	}))
	defer disc.Close()
	n := startNodeWith(t, func(n *Server) {
		n.config.Discovery = disc.Listener.Addr().String()
		n.config.Settings.PollForEndpoints = true
		n.balancer = balancer.New(n.config.Settings, 1)
	})
	defer n.stopNow(t)
	wait(t, watched, "the watch that the module asks for")
	cfg := n.configOf()
	cfg.Settings.PollForEndpoints = false
	n.Reload(cfg)
	wait(t, whole, "the node's own call")
	wait(t, watched, "the node's own watch")
}

// TestReloadBeforeTheFirstList: discovery moves while a new process still waits for the state of the old one, and the
// new address tells the list. What the configuration knew of before does not replace it.
func TestReloadBeforeTheFirstList(t *testing.T) {
	dir, told := meetingPlace(t), make(chan chan struct{}, 1)
	oldProcess(t, dir, func(o other) {
		_, _ = o.read.ReadString('\n')
		<-<-told
		o.say(t, `{"v":1,"kind":"state"}`)
		o.hear(t, kindReady)
		o.say(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	server, ids := echoServer(t)
	first := make(chan bool, 1)
	first <- true
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, entryJSON("new", server, "ready")))
		default: // silent from then on
			<-r.Context().Done()
		}
	}))
	defer disc.Close()
	n := startNodeWith(t, func(n *Server) {
		n.TakeOver(dir)
		n.config.initialList = registry.ListResponse{Snapshot: true, Endpoints: []registry.Endpoint{{Name: "old", Address: refusing(t), Status: registry.Ready}}}
		told <- n.listKnown
		cfg := n.config
		cfg.Discovery = disc.Listener.Addr().String()
		n.Reload(cfg) // carried out as soon as the loop runs
	})
	defer n.stopNow(t)
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	} else if id := wait(t, ids, "the attempt"); id != "q" {
		t.Errorf("the new server got %q", id)
	}
}

// TestReloadAmidADrain: discovery has written that a server drains when the proxy moves to another one, which is silent.
// That is told, whether all of it has come or the rest comes a moment later.
func TestReloadAmidADrain(t *testing.T) {
	for i := range 20 {
		watch := make(chan net.Conn, 1)
		say := func(status string) string {
			list := listOf(9, entryJSON("s", "127.0.0.1:1", status))
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
		disc := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			besteffort.Output(io.WriteString(c, say("ready")))
			readRequest(r)
			watch <- c
			_, _ = io.Copy(io.Discard, r)
		})
		n := startNodeWith(t, func(n *Server) { n.config.Discovery = disc })
		c, next := wait(t, watch, "the watch"), newAgent(t)
		cfg := n.configOf()
		cfg.Discovery = next.address
		answer, cut := say("draining"), 0
		if i%2 == 0 {
			cut = 20
		}
		besteffort.Output(io.WriteString(c, answer[:len(answer)-cut]))
		n.Reload(cfg)
		if cut > 0 {
			n.do(func() {}) // it moves
			besteffort.Output(io.WriteString(c, answer[len(answer)-cut:]))
		}
		wait(t, next.calls, "the call to the new address")
		told := make(chan bool, 1)
		n.post(func() { told <- n.pool.backends[n.listedEndpoints["s"]].draining })
		if !wait(t, told, "the list") {
			t.Errorf("round %d, %d bytes to come: the server does not drain", i, cut)
		}
		n.stopNow(t)
	}
}
