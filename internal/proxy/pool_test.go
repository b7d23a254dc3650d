package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// testPool returns a pool with a backend at address for endpoint 1.
func testPool(address string) *pool {
	p := newPool(balancer.Settings{ConnectTimeout: testTimeout, ConnectionIdleTimeout: time.Hour}, 100)
	p.setBackend(1, address, 0)
	return p
}

// getRequest returns a GET request for path.
func getRequest(path string) *outbound {
	return &outbound{method: http.MethodGet, url: &url.URL{Path: path}, host: "app.svc", header: http.Header{"X-Request-Id": {"q"}}}
}

func alwaysMayWrite() bool { return true }

// hasBarred reports whether an endpoint is barred.
func (p *pool) hasBarred(id balancer.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.barredBackends[id]
}

// ageIdleConns sets the idle time of all idle connections to about since, and keeps their order.
func ageIdleConns(p *pool, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		for i, c := range b.idle {
			c.idleSince = time.Now().Add(time.Duration(i) - time.Duration(len(b.idle)) - since)
		}
	}
}

// attemptOnce makes one attempt at endpoint 1. It discards the body of a streamed response.
func attemptOnce(t *testing.T, p *pool, timeout time.Duration) result {
	t.Helper()
	return attemptFor(t, p, getRequest("/api/x"), timeout)
}

// attemptFor makes an attempt for a request.
func attemptFor(t *testing.T, p *pool, request *outbound, timeout time.Duration) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.attempt(ctx, 1, request, alwaysMayWrite, func(res result) error {
		_, err := io.Copy(io.Discard, res.stream.remaining)
		return err
	})
}

// TestLocalLimitsDoNotCountAgainstTheBackend checks that a proxy that has reached its limit of
// connections or descriptors does not report the backend as unreachable, which would make the balancer eject
// the endpoint.
func TestLocalLimitsDoNotCountAgainstTheBackend(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	p := testPool(backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	p.maxConnections = 1
	first := make(chan result, 1)
	go func() { first <- attemptOnce(t, p, testTimeout) }()
	wait(t, got, "the attempt that uses the only connection")
	if res := attemptOnce(t, p, testTimeout); res.outcome != balancer.NotSent {
		t.Errorf("at the connection limit: outcome %v, want NotSent", res.outcome)
	}
	close(release)
	if res := wait(t, first, "its response"); res.outcome != balancer.OK {
		t.Errorf("first attempt: outcome %v, want OK", res.outcome)
	}
	p = testPool(refusingAddress(t))
	p.dialer.Control = func(string, string, syscall.RawConn) error { return syscall.EMFILE }
	if res := attemptOnce(t, p, testTimeout); res.outcome != balancer.NotSent {
		t.Errorf("without a free descriptor: outcome %v, want NotSent", res.outcome)
	}
}

// TestRefusedConnectionIsConnectFailed checks that an attempt at an endpoint that refuses connections or
// is not listed is reported as ConnectFailed, which means that the backend never executed it.
func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	if got := attemptOnce(t, testPool(refusingAddress(t)), testTimeout); got.outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.outcome)
	}
	p := newPool(balancer.Settings{}, 100)
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d for an unlisted endpoint, want ConnectFailed", got.outcome)
	}
}

// TestSlowConnectionIsConnectTimedOut checks that an attempt whose connection is not established in time is
// reported as ConnectTimedOut, which does not prove that the backend is gone.
func TestSlowConnectionIsConnectTimedOut(t *testing.T) {
	p := newPool(balancer.Settings{ConnectTimeout: time.Nanosecond}, 100)
	p.setBackend(1, okServer(t), 0)
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.ConnectTimedOut || p.openConnections != 0 {
		t.Errorf("outcome %d, want ConnectTimedOut; %d connections open, want 0", got.outcome, p.openConnections)
	}
}

// TestStaleConnectionIsNotUsed checks that an attempt does not use an idle connection that the backend
// has closed.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		besteffort.Output(io.WriteString(conn, okResponse))
		if number == 0 {
			besteffort.Close(conn)
			close(closed)
		} else {
			readRequest(r)
		}
	}))
	attemptOnce(t, p, testTimeout)
	<-closed
	// The backend has closed the connection. Wait until the close arrives at the proxy.
	for until := time.Now().Add(testTimeout); len(p.backends[1].idle) > 0 && isOpenAndEmpty(p.backends[1].idle[0].Conn); {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for the backend's close to arrive")
		}
		time.Sleep(time.Millisecond)
	}
	ageIdleConns(p, lateResponseWait)
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.OK {
		t.Errorf("outcome %d, want OK on a new connection", got.outcome)
	}
}

// TestUncleanConnectionIsNotPooled checks that a connection is closed, not pooled, if bytes follow its
// response, which would be taken for the next response, or if the backend asks to close the connection.
func TestUncleanConnectionIsNotPooled(t *testing.T) {
	for name, rawResponse := range map[string]string{
		"bytes after the response": okResponse + okResponse,
		"Connection: close":        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
	} {
		p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			besteffort.Output(io.WriteString(conn, rawResponse))
			readRequest(r)
		}))
		if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.OK {
			t.Errorf("%s: outcome %d, want OK", name, got.outcome)
		}
		if p.openConnections != 0 || len(p.backends[1].idle) != 0 {
			t.Errorf("%s: %d connections open, want 0", name, p.openConnections)
		}
	}
}

// TestRestartAndNewAddressDropOldConnections checks that a new start time or a new address of an
// endpoint closes its idle connections at once, and its connections in use when they are released.
func TestRestartAndNewAddressDropOldConnections(t *testing.T) {
	serve := func(name string) string {
		return backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for readRequest(r) != nil {
				besteffort.Output(fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name))
			}
		})
	}
	a, b := serve("a"), serve("b")
	p := testPool(a)
	attemptOnce(t, p, testTimeout)
	p.setBackend(1, a, 0)
	if len(p.backends[1].idle) != 1 {
		t.Error("an unchanged entry closes the idle connection")
	}
	p.setBackend(1, a, 5)
	if p.openConnections != 0 {
		t.Errorf("%d connections open after a restart, want 0", p.openConnections)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := p.get(ctx, 1) // in use while the address changes
	if err != nil {
		t.Fatal(err)
	}
	p.setBackend(1, b, 5)
	c.release()
	if p.openConnections != 0 {
		t.Errorf("%d connections open after a new address, want 0", p.openConnections)
	}
	if got := attemptOnce(t, p, testTimeout); string(got.body) != "b" {
		t.Errorf("response %q, want b", got.body)
	}
}

// TestIdleConnectionReuseEvictionAndExpiry checks that the most recently used connection is reused first,
// that at the limit the connection that has been idle longest is evicted, and that idle connections are closed
// by closeIdle and after maxIdleTime.
func TestIdleConnectionReuseEvictionAndExpiry(t *testing.T) {
	address := backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(conn, okResponse))
		}
	})
	p := testPool(address)
	p.maxConnections = 2
	p.setBackend(2, address, 0)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var conns []*conn
	for range 2 {
		c, err := p.get(ctx, 1)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if _, err := p.get(ctx, 2); err == nil {
		t.Error("a third connection is opened beyond the limit of 2")
	}
	conns[1].release()
	conns[0].release()
	ageIdleConns(p, lateResponseWait)
	if c, _ := p.get(ctx, 1); c != conns[0] {
		t.Error("the most recently used connection is not reused first")
	} else {
		c.release()
	}
	c, err := p.get(ctx, 2) // evicts the connection that has been idle longest
	if err != nil || p.openConnections != 2 || len(p.backends[1].idle) != 1 || p.backends[1].idle[0] != conns[0] {
		t.Fatalf("no idle connection is evicted at the limit: %v", err)
	}
	c.release()
	p.expire(time.Now().Add(p.maxIdleTime - time.Minute))
	if p.openConnections != 2 {
		t.Errorf("%d connections open before maxIdleTime has passed, want 2", p.openConnections)
	}
	p.closeIdle(2)
	if p.openConnections != 1 {
		t.Errorf("%d connections open after closeIdle, want 1", p.openConnections)
	}
	p.expire(time.Now().Add(p.maxIdleTime))
	if p.openConnections != 0 {
		t.Errorf("%d connections open after maxIdleTime, want 0", p.openConnections)
	}
	if p.maxIdleTime >= time.Hour {
		t.Errorf("connections stay idle for %v, want less than the 1h of the settings", p.maxIdleTime)
	}
}
