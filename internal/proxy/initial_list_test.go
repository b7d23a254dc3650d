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

// fakeAgent is a discovery whose calls are answered with responses given by the test, in order.
type fakeAgent struct {
	address   string
	calls     chan string // the query of each call
	responses chan string // "" leaves the call unanswered
}

func newFakeAgent(t *testing.T) *fakeAgent {
	agent := &fakeAgent{calls: make(chan string, 100), responses: make(chan string, 100)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		agent.calls <- r.URL.RawQuery
		select {
		case response := <-agent.responses:
			if besteffort.Output(fmt.Fprint(w, response)); response == "" {
				<-r.Context().Done()
			}
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	agent.address = s.Listener.Addr().String()
	return agent
}

// startWithInitialList starts a proxy that follows agent and has an initial list of entries in its
// configuration.
func startWithInitialList(t *testing.T, a *fakeAgent, prepare func(*Server), entries ...string) *runningProxy {
	t.Helper()
	return startProxyWith(t, func(srv *Server) {
		srv.config.Discovery = a.address
		if err := json.Unmarshal([]byte(listOf(7, entries...)), &srv.config.initialList); err != nil {
			t.Fatal(err)
		}
		prepare(srv)
	})
}

// listOf returns a complete list as discovery sends it.
func listOf(index int, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
}

// ready reports whether /health/ready responds with 200.
func (srv *runningProxy) ready(t *testing.T) bool {
	t.Helper()
	resp, err := http.Get("http://" + srv.address + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// TestReadinessWaitsForTheAgentsFirstList: the agent's list, not the initial list, has to be in force when
// the proxy is ready, so the proxy is not ready before it has the agent's list.
func TestReadinessWaitsForTheAgentsFirstList(t *testing.T) {
	agent := newFakeAgent(t)
	oldServer, oldRequests := echoServer(t)
	server, newRequests := echoServer(t)
	srv := startWithInitialList(t, agent, func(srv *Server) { srv.firstListTimeout = testTimeout }, entryJSON("old", oldServer, "ready"))
	if q := wait(t, agent.calls, "the first call"); q != "" {
		t.Errorf("the first call has query %q, want a call for the complete list", q)
	}
	if srv.ready(t) {
		t.Error("the proxy is ready with the initial list")
	}
	agent.responses <- listOf(9, entryJSON("old", oldServer, "draining"), entryJSON("new", server, "ready"))
	waitUntil(t, "the proxy to be ready", func() bool { return srv.ready(t) })
	if got := do(t, srv.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, newRequests, "the attempt") != "x" || len(oldRequests) > 0 {
		t.Errorf("response %+v, want body x, and no request to the draining endpoint", got)
	}
}

// TestInitialListServesWhileTheAgentIsSilent: while the agent does not respond, the proxy serves with the
// initial list. A list that the agent sends later replaces it.
func TestInitialListServesWhileTheAgentIsSilent(t *testing.T) {
	agent := newFakeAgent(t)
	oldServer, oldRequests := echoServer(t)
	newServer, newRequests := echoServer(t)
	srv := startWithInitialList(t, agent, func(srv *Server) { srv.firstListTimeout = time.Millisecond }, entryJSON("old", oldServer, "ready"))
	agent.responses <- ""
	waitUntil(t, "the proxy to be ready", func() bool { return srv.ready(t) })
	if got := do(t, srv.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, oldRequests, "the attempt") != "x" {
		t.Errorf("response %+v, want body x", got)
	}
	agent.responses <- listOf(9, entryJSON("new", newServer, "ready"))
	wait(t, srv.listKnown, "the list")
	if got := do(t, srv.request(t, "GET", "saldo", "y", "20", nil)); got.body != "y" || wait(t, newRequests, "the attempt") != "y" {
		t.Errorf("response %+v, want body y", got)
	}
}

// TestHandoffWaitsForTheListAfterASilentCall: the old process serves until the new process has the list, even
// if the new process's first call is not answered.
func TestHandoffWaitsForTheListAfterASilentCall(t *testing.T) {
	agent, dir := newFakeAgent(t), handoffDir(t)
	server, _ := echoServer(t)
	listKnown := make(chan bool, 1)
	var srv *runningProxy
	started := make(chan struct{})
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.reader.ReadString('\n')
		o.sendLine(t, `{"v":1,"kind":"state"}`)
		o.receive(t, kindReady)
		<-started
		select {
		case <-srv.listKnown:
			listKnown <- true
		default:
			listKnown <- false
		}
		o.sendLine(t, `{"kind":"yours"}`)
	})
	agent.responses <- ""
	agent.responses <- listOf(9, entryJSON("new", server, "ready"))
	srv = startWithInitialList(t, agent, func(srv *Server) { srv.EnableHandoff(dir); srv.handoffListTimeout = testTimeout })
	close(started)
	if !wait(t, listKnown, "the new process to be ready") {
		t.Error("the new process is ready before it has the list")
	}
	if got := do(t, srv.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" {
		t.Errorf("response %+v, want body x", got)
	}
}

// TestInitialListMayBeIndented: an initial list that is indented in the configuration file is read like a
// compact list.
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
			t.Errorf("initial list %s, want %s with one endpoint", got, want)
		}
	}
}
