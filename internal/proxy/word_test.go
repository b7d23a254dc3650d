package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// agent is a discovery whose calls the test answers one by one, or leaves unanswered.
type agent struct {
	address string
	calls   chan string // the query of each call
	answers chan string // "" leaves a call unanswered
}

func newAgent(t *testing.T) *agent {
	a := &agent{calls: make(chan string, 100), answers: make(chan string, 100)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls <- r.URL.RawQuery
		select {
		case answer := <-a.answers:
			if besteffort.Output(fmt.Fprint(w, answer)); answer == "" {
				<-r.Context().Done()
			}
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	a.address = s.Listener.Addr().String()
	return a
}

// startWithInitialList starts a proxy with an agent and with an initial list in its configuration.
func startWithInitialList(t *testing.T, a *agent, prepare func(*Server), entries ...string) *running {
	t.Helper()
	return startNodeWith(t, func(n *Server) {
		n.config.Discovery = a.address
		if err := json.Unmarshal([]byte(listOf(7, entries...)), &n.config.initialList); err != nil {
			t.Fatal(err)
		}
		prepare(n)
	})
}

// listOf returns a complete list in the form of discovery's answers.
func listOf(index int, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
}

// ready reports whether the proxy's readiness check succeeds.
func (n *running) ready(t *testing.T) bool {
	t.Helper()
	resp, err := http.Get("http://" + n.address + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// TestReadinessWaitsForTheAgentsFirstList: the agent's list applies from the start of a process, so the proxy
// is not ready before it has that list.
func TestReadinessWaitsForTheAgentsFirstList(t *testing.T) {
	a := newAgent(t)
	oldServer, oldRequests := echoServer(t)
	server, newRequests := echoServer(t)
	n := startWithInitialList(t, a, func(n *Server) { n.firstListTimeout = enough }, entryJSON("old", oldServer, "ready"))
	if q := wait(t, a.calls, "the first call"); q != "" {
		t.Errorf("the first call is %q, want a call for the complete list", q)
	}
	if n.ready(t) {
		t.Error("the proxy is ready with the initial list")
	}
	a.answers <- listOf(9, entryJSON("old", oldServer, "draining"), entryJSON("new", server, "ready"))
	until(t, "the proxy to be ready", func() bool { return n.ready(t) })
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, newRequests, "the attempt") != "x" || len(oldRequests) > 0 {
		t.Errorf("answer %+v", got)
	}
}

// TestInitialListServesWhileTheAgentIsSilent: while the agent does not answer, the proxy serves with the
// initial list; a list that comes later replaces it.
func TestInitialListServesWhileTheAgentIsSilent(t *testing.T) {
	a := newAgent(t)
	oldServer, oldRequests := echoServer(t)
	newServer, newRequests := echoServer(t)
	n := startWithInitialList(t, a, func(n *Server) { n.firstListTimeout = time.Millisecond }, entryJSON("old", oldServer, "ready"))
	a.answers <- ""
	until(t, "the proxy to be ready", func() bool { return n.ready(t) })
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, oldRequests, "the attempt") != "x" {
		t.Errorf("answer %+v", got)
	}
	a.answers <- listOf(9, entryJSON("new", newServer, "ready"))
	wait(t, n.listKnown, "the list")
	if got := do(t, n.request(t, "GET", "saldo", "y", "20", nil)); got.body != "y" || wait(t, newRequests, "the attempt") != "y" {
		t.Errorf("answer %+v", got)
	}
}

// TestHandoffWaitsForTheListAfterASilentCall: the old process serves until the new one has the list, although
// the new one's first call is not answered.
func TestHandoffWaitsForTheListAfterASilentCall(t *testing.T) {
	a, dir := newAgent(t), handoffDir(t)
	server, _ := echoServer(t)
	listKnown := make(chan bool, 1)
	var n *running
	started := make(chan struct{})
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.read.ReadString('\n')
		o.send(t, `{"v":1,"kind":"state"}`)
		o.receive(t, kindReady)
		<-started
		select {
		case <-n.listKnown:
			listKnown <- true
		default:
			listKnown <- false
		}
		o.send(t, `{"kind":"yours"}`)
	})
	a.answers <- ""
	a.answers <- listOf(9, entryJSON("new", server, "ready"))
	n = startWithInitialList(t, a, func(n *Server) { n.EnableHandoff(dir); n.handoffListTimeout = enough })
	close(started)
	if !wait(t, listKnown, "the new process to be ready") {
		t.Error("the new process is ready before it has the list")
	}
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" {
		t.Errorf("answer %+v", got)
	}
}

// TestInitialListMayBeIndented: an initial list that is indented in the configuration file is read like a
// compact one.
func TestInitialListMayBeIndented(t *testing.T) {
	const config = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","settings":{},"known":%s}`
	var plain registry.ListResponse
	for i, known := range []string{`{"index":7,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:3","status":"ready"}]}`,
		"{\r\n\t\"index\": 7,\r\n\t\"snapshot\": true,\r\n\t\"endpoints\": [\r\n\t\t{\r\n\t\t\t\"name\": \"s\",\r\n\t\t\t" +
			"\"address\": \"127.0.0.1:3\",\r\n\t\t\t\"status\": \"ready\"\r\n\t\t}\r\n\t]\r\n}"} {
		cfg, err := parseConfig(fmt.Appendf(nil, config, known))
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			plain = cfg.initialList
		}
		if got, want := fmt.Sprint(cfg.initialList), fmt.Sprint(plain); got != want || len(cfg.initialList.Endpoints) != 1 {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
