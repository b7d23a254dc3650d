package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// testConfig returns the configuration of a proxy under test, which follows a discovery at an address.
func testConfig(discovery string) Config {
	return Config{Name: "n0", Discovery: discovery, Seed: 1, MemoryMB: 192, MaxDescriptors: 512, Settings: balancer.Settings{
		Proxies: 1, Zone: "a", Zones: []string{"a"}, MachineTypes: []string{"m2"}, MaxAttempts: 4, AllowCancel: true, SendRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: enough, ConnectionIdleTimeout: time.Hour, MaxOpenRequests: 1000,
		DrainGrace: time.Second, SlowStartInitial: 0.3, SlowStartDuration: time.Second, OverloadFactor: 3, OverloadDuration: time.Second,
		Classes: []balancer.Class{
			{Name: "saldo", PriorityWeight: 1, LatencyObjective: enough, Deadline: 2 * enough, Idempotency: balancer.Idempotent},
			{Name: "pedido", PriorityWeight: 1, LatencyObjective: enough, Deadline: 2 * enough, Idempotency: balancer.IdempotentByKey, DedupWindow: time.Second},
			{Name: "pagar", PriorityWeight: 1, LatencyObjective: enough, Deadline: 2 * enough, Idempotency: balancer.NotIdempotent},
		}}}
}

// running is a running proxy under test, with a discovery that lists its backends.
type running struct {
	*Server
	address string
	stop    context.CancelFunc
	linger  func() // ends the time in which a stopped proxy continues to accept
	ended   chan error
	tap     *tapped
}

// startNode starts a proxy and waits until it is ready, unless it has no backends.
func startNode(t *testing.T, servers ...string) *running {
	t.Helper()
	return startNodeWith(t, func(*Server) {}, servers...)
}

// startNodeWith is startNode, and calls prepare before the proxy runs.
func startNodeWith(t *testing.T, prepare func(*Server), servers ...string) *running {
	t.Helper()
	var entries []string
	for i, s := range servers {
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","type":"m2","status":"ready","weight":1}`, i, s))
	}
	ended := make(chan struct{})
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from := r.URL.Query().Get("from"); from == "0" || from == "" {
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ",")))
			return
		}
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &running{Server: New(testConfig(disc.Listener.Addr().String()), quiet), address: ln.Addr().String(), stop: stop,
		ended: make(chan error, 1), tap: &tapped{TCPListener: ln.(*net.TCPListener), closed: make(chan struct{})}}
	acceptingEnded := make(chan struct{})
	n.linger = sync.OnceFunc(func() { close(acceptingEnded) })
	n.frontend.waitForLateConns = func() { <-acceptingEnded }
	prepare(n.Server)
	go func() { n.ended <- n.Run(ctx, n.tap) }()
	t.Cleanup(func() {
		stop()
		n.linger()
		close(ended)
		disc.Close()
		<-n.Server.ended
	})
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + n.address + "/health/ready")
		if err == nil {
			besteffort.Close(resp.Body)
		}
		if err == nil && resp.StatusCode == http.StatusOK || len(servers) == 0 {
			return n
		}
		if time.Now().After(until) {
			t.Fatal("the proxy does not become ready")
		}
	}
}

// configOf returns the proxy's present configuration. The loop reads it, as the loop changes it.
func (n *running) configOf() (cfg Config) {
	n.do(func() { cfg = n.config })
	return cfg
}

// request makes a request with the headers that the proxy requires; an empty header is left out.
func (n *running) request(t *testing.T, method, class, id, deadline string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.address+"/api/key?a=1", body)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline": deadline} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req
}

type reply struct {
	status int
	header http.Header
	body   string
}

// do sends a request on a connection of its own and reads the reply.
func do(t *testing.T, req *http.Request) reply {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * enough}
	resp, err := c.Do(req)
	if err != nil {
		t.Error(err)
		return reply{}
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return reply{resp.StatusCode, resp.Header, string(body)}
}

// wait receives a value from a channel; the test fails if none comes in time.
func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(enough):
		t.Fatal("timed out waiting for " + what)
	}
	return v
}

// raw is a client's connection on which a test writes and reads bytes.
type raw struct {
	*net.TCPConn
	read *bufio.Reader
}

func (n *running) dial(t *testing.T) raw {
	t.Helper()
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(enough)))
	return raw{c.(*net.TCPConn), bufio.NewReader(c)}
}

// ask sends a GET request.
func (c raw) ask(t *testing.T, class, id, deadline string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n\r\n",
		id, class, deadline); err != nil {
		t.Fatal(err)
	}
}

// status reads a response and returns its status.
func (c raw) status(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
