package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// blockedDials are dials of a pool that wait until release is closed. Each sends on started when it begins.
type blockedDials struct {
	started chan struct{}
	release chan struct{}
}

// blockDialsFrom blocks the dials of a proxy, from the given number on. The first dial has number 1.
func blockDialsFrom(srv *Server, from int32) blockedDials {
	blocked, dials := blockedDials{make(chan struct{}, 10), make(chan struct{})}, atomic.Int32{}
	srv.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials.Add(1) >= from {
			blocked.started <- struct{}{}
			<-blocked.release
		}
		return nil
	}
	return blocked
}

// runOnLoop runs f on the proxy's loop and waits for its end.
func (srv *Server) runOnLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	srv.post(func() { f(); close(done) })
	wait(t, done, "the loop")
}

// TestRequestIsNotSentIfItsConditionEndsDuringTheDial checks that a request is not sent if a condition
// that was true when its endpoint was chosen is false when the connection has been established.
func TestRequestIsNotSentIfItsConditionEndsDuringTheDial(t *testing.T) {
	entry := func(srv *runningProxy, status string, since int64) registry.Endpoint {
		return registry.Endpoint{Name: "s-0", Address: srv.pool.backends[srv.listedEndpoints["s-0"]].address, Zone: "a", Type: "m2", Status: status, StartedAtMS: since}
	}
	for _, c := range []struct {
		name   string
		event  func(t *testing.T, srv *runningProxy, c clientConn)
		status int // of the response; 0 if the client has left and reads none
	}{
		{"the client has left", func(t *testing.T, srv *runningProxy, c clientConn) {
			besteffort.Close(c)
			srv.waitAbandoned(t, "q")
		}, 0},
		{"the client has left, cancellation not allowed", func(t *testing.T, srv *runningProxy, c clientConn) {
			srv.runOnLoop(t, func() {
				srv.config.Settings.AllowCancel = false
				srv.handle(balancer.SettingsChanged{Settings: srv.config.Settings})
			})
			besteffort.Close(c)
			srv.waitAbandoned(t, "q")
		}, 0},
		{"the backend drains", func(t *testing.T, srv *runningProxy, _ clientConn) {
			srv.runOnLoop(t, func() {
				srv.applyList(registry.ListResponse{Endpoints: []registry.Endpoint{entry(srv, registry.Draining, 0)}}, balancer.UpdateIncremental)
			})
		}, 503},
		{"the backend has been removed", func(t *testing.T, srv *runningProxy, _ clientConn) {
			srv.runOnLoop(t, func() { srv.applyList(registry.ListResponse{Snapshot: true}, balancer.UpdateComplete) })
		}, 503},
		{"the backend has been restarted", func(t *testing.T, srv *runningProxy, _ clientConn) {
			srv.runOnLoop(t, func() {
				srv.applyList(registry.ListResponse{Endpoints: []registry.Endpoint{entry(srv, registry.Ready, 1)}}, balancer.UpdateIncremental)
			})
		}, 503},
		{"the backend is in maintenance", func(t *testing.T, srv *runningProxy, _ clientConn) {
			if err := srv.requestMaintenance(context.Background(), "s-0", true); err != nil {
				t.Error(err)
			}
		}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			var dial blockedDials
			srv := startProxyWith(t, func(srv *Server) { dial = blockDialsFrom(srv, 1) }, okServer(t))
			conn := srv.dial(t)
			conn.sendGet(t, "saldo", "q", "60")
			wait(t, dial.started, "the connection to begin")
			c.event(t, srv, conn)
			close(dial.release)
			if c.status != 0 {
				if s := conn.readStatus(t); s != c.status {
					t.Errorf("response %d, want %d", s, c.status)
				}
			}
			srv.waitNoRequests(t)
			if sent := srv.stats.forwards.Load(); sent != 0 {
				t.Errorf("the request is sent %d times, want 0", sent)
			}
		})
	}
}

// waitAbandoned waits until the loop has learned that the client of a request has left.
func (srv *runningProxy) waitAbandoned(t *testing.T, id balancer.RequestID) {
	t.Helper()
	waitUntil(t, "the loop to learn that the client has left", func() (done bool) {
		srv.runOnLoop(t, func() { r := srv.requests[id]; done = r == nil || r.answered })
		return done
	})
}

// waitNoRequests waits until no request is open, and none is counted as outstanding.
func (srv *runningProxy) waitNoRequests(t *testing.T) {
	t.Helper()
	waitUntil(t, "all requests to end", func() (none bool) {
		srv.runOnLoop(t, func() { none = len(srv.requests) == 0 })
		return none && srv.stats.outstanding.Load() == 0
	})
}

// TestRetryIsNotWrittenAfterItsDedupWindow checks that a retry is not sent if the request's dedup window ends
// after the second endpoint has been chosen and before the connection is established.
func TestRetryIsNotWrittenAfterItsDedupWindow(t *testing.T) {
	var dial blockedDials
	failing := func() string {
		return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for readRequest(r) != nil {
				besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
			}
		})
	}
	srv := startProxyWith(t, func(srv *Server) { dial = blockDialsFrom(srv, 2) }, failing(), failing())
	before := srv.now()
	answered := make(chan receivedResponse, 1)
	go func() {
		req := srv.request(t, "POST", "pedido", "q", "60", strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "k")
		answered <- do(t, req)
	}()
	wait(t, dial.started, "the second connection to begin")
	waitUntil(t, "the dedup window to end", func() bool { return srv.now() > before+2*time.Second }) // the window ends one second after the first send
	close(dial.release)
	if a := wait(t, answered, "the response"); a.status != http.StatusBadGateway {
		t.Errorf("response %+v, want 502", a)
	}
	if sent := srv.stats.forwards.Load(); sent != 1 {
		t.Errorf("the request is sent %d times, want 1", sent)
	}
}

// TestAttemptCancelledBeforeTheWriteIsNotSent checks that an attempt whose context has already ended is not
// written. An idle connection is available at once, so the attempt could be written before the cancellation
// takes effect.
func TestAttemptCancelledBeforeTheWriteIsNotSent(t *testing.T) {
	p := testPool(okServer(t))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	cancel()
	for i := range 100 {
		attemptOnce(t, p, testTimeout)
		ageIdleConns(p, lateResponseWait)
		if res := p.attempt(ctx, 1, getRequest("/api/x"), alwaysMayWrite, nil); res.outcome != balancer.NotSent {
			t.Fatalf("outcome %d, want NotSent", res.outcome)
		}
		if sent := p.forwards.Load(); sent != int64(i+1) || p.openConnections != 0 {
			t.Fatalf("%d requests sent, %d connections open, want %d and 0", sent, p.openConnections, i+1)
		}
	}
}

// gatedReadConn is a connection whose first reads wait for one gate each. The test closes a gate to open it.
type gatedReadConn struct {
	*net.TCPConn
	readGates []chan struct{}
}

func (c *gatedReadConn) Read(p []byte) (int, error) {
	if len(c.readGates) > 0 {
		<-c.readGates[0]
		c.readGates = c.readGates[1:]
	}
	return c.TCPConn.Read(p)
}

// TestRequestOfAnAlreadyDepartedClientIsNotSent checks that a request is not sent if its client has left
// before the request is read. The background read of the HTTP server, which detects that a client has left,
// comes too late: after the attempt.
func TestRequestOfAnAlreadyDepartedClientIsNotSent(t *testing.T) {
	for _, extraBytes := range []int{0, 20, 40000} { // the HTTP server reads 4 KiB at a time
		srv := startProxy(t, okServer(t))
		first, second := make(chan struct{}), make(chan struct{})
		srv.listener.readGates.Store(&[]chan struct{}{first, second})
		c := srv.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		besteffort.Output(io.WriteString(c, strings.Repeat("x", extraBytes)))
		_ = c.CloseWrite()
		waitUntil(t, "the proxy's kernel to acknowledge the client's end", func() bool { return tcpState(t, c.TCPConn) == finWait2 })
		close(first)
		if s := c.readStatus(t); s != http.StatusServiceUnavailable {
			t.Errorf("%d bytes after the request: response %d, want 503", extraBytes, s)
		}
		close(second)
		srv.waitNoRequests(t)
		if sent := srv.stats.forwards.Load(); sent != 0 {
			t.Errorf("%d bytes after the request: the request is sent %d times, want 0", extraBytes, sent)
		}
	}
}

// finWait2 is Linux's TCP_FIN_WAIT2: the peer has acknowledged this side's end of the connection.
const finWait2 = 5

// tcpState returns the state of a connection in the kernel.
func tcpState(t *testing.T, c *net.TCPConn) (state uint8) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			t.Error(err)
			return
		}
		state = info.State
	})
	if err != nil {
		t.Fatal(err)
	}
	return state
}
