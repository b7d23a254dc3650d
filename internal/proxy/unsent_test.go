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

// blockedDials makes a pool's dials wait until release is closed; each sends on began.
type blockedDials struct {
	began   chan struct{}
	release chan struct{}
}

// blockDials blocks the dials of a proxy from the given one on.
func blockDials(n *Server, from int32) blockedDials {
	h, dials := blockedDials{make(chan struct{}, 10), make(chan struct{})}, atomic.Int32{}
	n.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials.Add(1) >= from {
			h.began <- struct{}{}
			<-h.release
		}
		return nil
	}
	return h
}

// runOnLoop runs f on a proxy's loop, and waits for it.
func (n *Server) runOnLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	n.post(func() { f(); close(done) })
	wait(t, done, "the loop")
}

// TestNothingIsSentAfterItsConditionEndsDuringTheDial checks that a request is not sent if a condition
// that held when its endpoint was chosen no longer holds when the connection is established.
func TestNothingIsSentAfterItsConditionEndsDuringTheDial(t *testing.T) {
	entry := func(n *running, status string, since int64) registry.Endpoint {
		return registry.Endpoint{Name: "s-0", Address: n.pool.backends[n.listedEndpoints["s-0"]].address, Zone: "a", Type: "m2", Status: status, StartedAtMS: since}
	}
	for _, c := range []struct {
		name   string
		event  func(t *testing.T, n *running, c raw)
		status int // of the response; 0 if the client has left
	}{
		{"its client has left", func(t *testing.T, n *running, c raw) {
			besteffort.Close(c)
			n.waitAbandoned(t, "q")
		}, 0},
		{"its client has left, and nothing may be called off", func(t *testing.T, n *running, c raw) {
			n.runOnLoop(t, func() {
				n.config.Settings.AllowCancel = false
				n.handle(balancer.SettingsChanged{Settings: n.config.Settings})
			})
			besteffort.Close(c)
			n.waitAbandoned(t, "q")
		}, 0},
		{"its server drains", func(t *testing.T, n *running, _ raw) {
			n.runOnLoop(t, func() {
				n.applyList(registry.ListResponse{Endpoints: []registry.Endpoint{entry(n, registry.Draining, 0)}}, balancer.UpdateIncremental)
			})
		}, 503},
		{"its server has left", func(t *testing.T, n *running, _ raw) {
			n.runOnLoop(t, func() { n.applyList(registry.ListResponse{Snapshot: true}, balancer.UpdateComplete) })
		}, 503},
		{"its server is another process", func(t *testing.T, n *running, _ raw) {
			n.runOnLoop(t, func() {
				n.applyList(registry.ListResponse{Endpoints: []registry.Endpoint{entry(n, registry.Ready, 1)}}, balancer.UpdateIncremental)
			})
		}, 503},
		{"its server is in maintenance", func(t *testing.T, n *running, _ raw) {
			if err := n.requestMaintenance(context.Background(), "s-0", true); err != nil {
				t.Error(err)
			}
		}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			var dial blockedDials
			n := startNodeWith(t, func(n *Server) { dial = blockDials(n, 1) }, serving(t))
			conn := n.dial(t)
			conn.ask(t, "saldo", "q", "60")
			wait(t, dial.began, "the connection to begin")
			c.event(t, n, conn)
			close(dial.release)
			if c.status != 0 {
				if s := conn.status(t); s != c.status {
					t.Errorf("response %d, want %d", s, c.status)
				}
			}
			n.waitNoRequests(t)
			if sent := n.stats.forwards.Load(); sent != 0 {
				t.Errorf("request is sent %d times, want 0", sent)
			}
		})
	}
}

// waitAbandoned waits until the loop knows that the client of a request has left.
func (n *running) waitAbandoned(t *testing.T, id balancer.RequestID) {
	t.Helper()
	until(t, "the client's end", func() (done bool) {
		n.runOnLoop(t, func() { r := n.requests[id]; done = r == nil || r.answered })
		return done
	})
}

// waitNoRequests waits until no request is open, and none is counted as outstanding.
func (n *running) waitNoRequests(t *testing.T) {
	t.Helper()
	until(t, "the requests' end", func() (none bool) {
		n.runOnLoop(t, func() { none = len(n.requests) == 0 })
		return none && n.stats.outstanding.Load() == 0
	})
}

// TestRetryIsNotWrittenAfterItsDedupWindow checks that a retry is not sent if its dedup window, which was
// open when the second endpoint was chosen, has ended when the connection is established.
func TestRetryIsNotWrittenAfterItsDedupWindow(t *testing.T) {
	var dial blockedDials
	failing := func() string {
		return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for readRequest(r) != nil {
				besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
			}
		})
	}
	n := startNodeWith(t, func(n *Server) { dial = blockDials(n, 2) }, failing(), failing())
	before := n.now()
	answered := make(chan reply, 1)
	go func() {
		req := n.request(t, "POST", "pedido", "q", "60", strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "k")
		answered <- do(t, req)
	}()
	wait(t, dial.began, "the second connection to begin")
	until(t, "the window's end", func() bool { return n.now() > before+2*time.Second }) // the window lasts one second from the first send
	close(dial.release)
	if a := wait(t, answered, "the answer"); a.status != http.StatusBadGateway {
		t.Errorf("response %+v, want 502", a)
	}
	if sent := n.stats.forwards.Load(); sent != 1 {
		t.Errorf("request is sent %d times, want once", sent)
	}
}

// TestAttemptCancelledBeforeTheWriteIsNotSent checks an attempt whose context has ended already: an idle
// connection is available at once, so the attempt would be written before the cancellation takes effect.
func TestAttemptCancelledBeforeTheWriteIsNotSent(t *testing.T) {
	p := testPool(serving(t))
	ctx, cancel := context.WithTimeout(context.Background(), enough)
	cancel()
	for i := range 100 {
		attemptOnce(t, p, enough)
		ageIdleConns(p, lateResponseWait)
		if res := p.attempt(ctx, 1, get("/api/x"), alwaysMayWrite, nil); res.outcome != balancer.NotSent {
			t.Fatalf("outcome %d, want NotSent", res.outcome)
		}
		if sent := p.forwards.Load(); sent != int64(i+1) || p.openConnections != 0 {
			t.Fatalf("%d requests sent, %d connections open, want %d and 0", sent, p.openConnections, i+1)
		}
	}
}

// lateConn is a connection whose first reads wait until the test allows them.
type lateConn struct {
	*net.TCPConn
	reads []chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	if len(c.reads) > 0 {
		<-c.reads[0]
		c.reads = c.reads[1:]
	}
	return c.TCPConn.Read(p)
}

// TestRequestOfAnAlreadyDepartedClientIsNotSent checks a client that has left by the time its request is
// read: the background read of the HTTP server, which would detect that, comes later than the attempt.
func TestRequestOfAnAlreadyDepartedClientIsNotSent(t *testing.T) {
	for _, behind := range []int{0, 20, 40000} { // the HTTP server reads 4 KiB at a time
		n := startNode(t, serving(t))
		first, second := make(chan struct{}), make(chan struct{})
		n.tap.reads.Store(&[]chan struct{}{first, second})
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		besteffort.Output(io.WriteString(c, strings.Repeat("x", behind)))
		_ = c.CloseWrite()
		until(t, "the proxy's kernel to receive the end", func() bool { return tcpState(t, c.TCPConn) == finWait2 })
		close(first)
		if s := c.status(t); s != http.StatusServiceUnavailable {
			t.Errorf("%d bytes behind: response %d, want 503", behind, s)
		}
		close(second)
		n.waitNoRequests(t)
		if sent := n.stats.forwards.Load(); sent != 0 {
			t.Errorf("%d bytes behind: request is sent %d times, want 0", behind, sent)
		}
	}
}

// finWait2 is Linux's number for the state of a connection whose end the peer has acknowledged.
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
