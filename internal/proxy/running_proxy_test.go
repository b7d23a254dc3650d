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

// testConfig returns the configuration of a proxy under test. discovery is the address of its discovery.
func testConfig(discovery string) Config {
	return Config{Name: "n0", Discovery: discovery, Seed: 1, MemoryMB: 192, MaxDescriptors: 512, Settings: balancer.Settings{
		Proxies: 1, Zone: "a", Zones: []string{"a"}, MachineTypes: []string{"m2"}, MaxAttempts: 4, AllowCancel: true, SendRetryAfter: true,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: testTimeout, ConnectionIdleTimeout: time.Hour, MaxOpenRequests: 1000,
		DrainGrace: time.Second, SlowStartInitial: 0.3, SlowStartDuration: time.Second, OverloadFactor: 3, OverloadDuration: time.Second,
		Classes: []balancer.Class{
			{Name: "saldo", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.Idempotent},
			{Name: "pedido", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.IdempotentByKey, DedupWindow: time.Second},
			{Name: "pagar", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.NotIdempotent},
		}}}
}

// runningProxy is a proxy under test that runs with a discovery that lists its backends.
type runningProxy struct {
	*Server
	address          string
	stop             context.CancelFunc
	endLateAccepting func() // ends the time after SIGTERM in which the proxy continues to accept
	ended            chan error
	listener         *observedListener
}

// startProxy starts a proxy with backends at the given addresses. It waits until the proxy is ready, unless
// there are no backends.
func startProxy(t *testing.T, backends ...string) *runningProxy {
	t.Helper()
	return startProxyWith(t, func(*Server) {}, backends...)
}

// startProxyWith does the same as startProxy, and calls prepare before the proxy runs.
func startProxyWith(t *testing.T, prepare func(*Server), backends ...string) *runningProxy {
	t.Helper()
	var entries []string
	for i, s := range backends {
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
	srv := &runningProxy{Server: New(testConfig(disc.Listener.Addr().String()), discardLog), address: ln.Addr().String(), stop: stop,
		ended: make(chan error, 1), listener: &observedListener{TCPListener: ln.(*net.TCPListener), closed: make(chan struct{})}}
	acceptingEnded := make(chan struct{})
	srv.endLateAccepting = sync.OnceFunc(func() { close(acceptingEnded) })
	srv.frontend.waitForLateConns = func() { <-acceptingEnded }
	prepare(srv.Server)
	go func() { srv.ended <- srv.Run(ctx, srv.listener) }()
	t.Cleanup(func() {
		stop()
		srv.endLateAccepting()
		<-srv.Server.ended // first: until then the proxy polls discovery, whose port another test's backend may get
		close(ended)
		disc.Close()
	})
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + srv.address + "/health/ready")
		if err == nil {
			besteffort.Close(resp.Body)
		}
		if err == nil && resp.StatusCode == http.StatusOK || len(backends) == 0 {
			return srv
		}
		if time.Now().After(until) {
			t.Fatal("timed out waiting for the proxy to be ready")
		}
	}
}

// currentConfig returns the proxy's current configuration. It reads it on the loop, which may change it.
func (srv *runningProxy) currentConfig() (cfg Config) {
	srv.do(func() { cfg = srv.config })
	return cfg
}

// request returns a request with the headers that the proxy requires. An empty header is left out.
func (srv *runningProxy) request(t *testing.T, method, class, id, deadline string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+srv.address+"/api/key?a=1", body)
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

// receivedResponse is a response that a client has read completely.
type receivedResponse struct {
	status int
	header http.Header
	body   string
}

// do sends a request on a new connection and reads the response.
func do(t *testing.T, req *http.Request) receivedResponse {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * testTimeout}
	resp, err := c.Do(req)
	if err != nil {
		t.Error(err)
		return receivedResponse{}
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return receivedResponse{resp.StatusCode, resp.Header, string(body)}
}

// wait receives a value from a channel. The test fails if no value is received within testTimeout.
func wait[T any](t *testing.T, c <-chan T, awaited string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + awaited)
	}
	return v
}

// clientConn is a client's connection to the proxy. The test writes and reads its bytes.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (srv *runningProxy) dial(t *testing.T) clientConn {
	t.Helper()
	c, err := net.Dial("tcp", srv.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(testTimeout)))
	return clientConn{c.(*net.TCPConn), bufio.NewReader(c)}
}

// sendGet sends a GET request without reading the response.
func (c clientConn) sendGet(t *testing.T, class, id, deadline string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n\r\n",
		id, class, deadline); err != nil {
		t.Fatal(err)
	}
}

// readBegun reads the head of a response with status 200, whose body the caller reads.
func (c clientConn) readBegun(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("no response begins: %v, %+v", err, resp)
	}
	return resp
}

// readStatus reads a response and returns its status.
func (c clientConn) readStatus(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
