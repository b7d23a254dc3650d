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

// agent is a discovery whose calls are answered one by one, or stay silent.
type agent struct {
	address string
	calls   chan string // what each asks for
	answers chan string // "" for silence
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

// startKnowing starts a proxy that knows of servers from before, with an agent.
func startKnowing(t *testing.T, a *agent, prepare func(*Server), entries ...string) *running {
	t.Helper()
	return startNodeWith(t, func(n *Server) {
		n.config.Discovery = a.address
		if err := json.Unmarshal([]byte(listOf(7, entries...)), &n.config.initialList); err != nil {
			t.Fatal(err)
		}
		prepare(n)
	})
}

func listOf(index int, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
}

func (n *running) ready(t *testing.T) bool {
	t.Helper()
	resp, err := http.Get("http://" + n.address + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// TestFirstMomentOfANewProcess: what the agent holds counts from there, so no client is welcome before it is known.
func TestFirstMomentOfANewProcess(t *testing.T) {
	a := newAgent(t)
	gone, was := echoServer(t)
	server, now := echoServer(t)
	n := startKnowing(t, a, func(n *Server) { n.firstListTimeout = enough }, entryJSON("old", gone, "ready"))
	if q := wait(t, a.calls, "the first call"); q != "" {
		t.Errorf("the first call asks for %q, want the whole list", q)
	}
	if n.ready(t) {
		t.Error("it is ready on the list of before")
	}
	a.answers <- listOf(9, entryJSON("old", gone, "draining"), entryJSON("new", server, "ready"))
	until(t, "the node to be ready", func() bool { return n.ready(t) })
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, now, "the attempt") != "x" || len(was) > 0 {
		t.Errorf("answer %+v", got)
	}
}

// TestSilentAgentAtTheStart: the list of before has to do, and a list that comes later is taken.
func TestSilentAgentAtTheStart(t *testing.T) {
	a := newAgent(t)
	before, was := echoServer(t)
	after, now := echoServer(t)
	n := startKnowing(t, a, func(n *Server) { n.firstListTimeout = time.Millisecond }, entryJSON("old", before, "ready"))
	a.answers <- ""
	until(t, "the node to be ready", func() bool { return n.ready(t) })
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" || wait(t, was, "the attempt") != "x" {
		t.Errorf("answer %+v", got)
	}
	a.answers <- listOf(9, entryJSON("new", after, "ready"))
	wait(t, n.listKnown, "the list")
	if got := do(t, n.request(t, "GET", "saldo", "y", "20", nil)); got.body != "y" || wait(t, now, "the attempt") != "y" {
		t.Errorf("answer %+v", got)
	}
}

// TestUpgradeWithASilentCall: the old process goes on until the new one has the list, though its first call fell silent.
func TestUpgradeWithASilentCall(t *testing.T) {
	a, dir := newAgent(t), meetingPlace(t)
	server, _ := echoServer(t)
	told := make(chan bool, 1)
	var n *running
	started := make(chan struct{})
	oldProcess(t, dir, func(o other) {
		_, _ = o.read.ReadString('\n')
		o.say(t, `{"v":1,"kind":"state"}`)
		o.hear(t, kindReady)
		<-started
		select {
		case <-n.listKnown:
			told <- true
		default:
			told <- false
		}
		o.say(t, `{"kind":"yours"}`)
	})
	a.answers <- ""
	a.answers <- listOf(9, entryJSON("new", server, "ready"))
	n = startKnowing(t, a, func(n *Server) { n.TakeOver(dir); n.handoffListTimeout = enough })
	close(started)
	if !wait(t, told, "the new process to be ready") {
		t.Error("it is ready ahead of the list")
	}
	if got := do(t, n.request(t, "GET", "saldo", "x", "20", nil)); got.body != "x" {
		t.Errorf("answer %+v", got)
	}
}

// TestIndentedKnown: the list of before may come indented in the configuration, as others may.
func TestIndentedKnown(t *testing.T) {
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
