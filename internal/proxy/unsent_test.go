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

// lateDial has a pool's connections come up when they are released, from a number on.
type lateDial struct {
	began   chan struct{}
	release chan struct{}
}

func holdDials(n *Server, from int32) lateDial {
	h, dials := lateDial{make(chan struct{}, 10), make(chan struct{})}, atomic.Int32{}
	n.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials.Add(1) >= from {
			h.began <- struct{}{}
			<-h.release
		}
		return nil
	}
	return h
}

// on runs f on a proxy's loop.
func (n *Server) on(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	n.post(func() { f(); close(done) })
	wait(t, done, "the loop")
}

// TestNothingIsSentOnceItMayNot: what held when a server was chosen has ended when the connection to it is there.
func TestNothingIsSentOnceItMayNot(t *testing.T) {
	entry := func(n *running, status string, since int64) registry.Endpoint {
		return registry.Endpoint{Name: "s-0", Address: n.pool.backends[n.listedEndpoints["s-0"]].address, Zone: "a", Type: "m2", Status: status, StartedAtMS: since}
	}
	for _, c := range []struct {
		name   string
		happen func(t *testing.T, n *running, c raw)
		status int // of the answer; 0: nobody is there to read it
	}{
		{"its client has left", func(t *testing.T, n *running, c raw) {
			besteffort.Close(c)
			n.gone(t, "q")
		}, 0},
		{"its client has left, and nothing may be called off", func(t *testing.T, n *running, c raw) {
			n.on(t, func() {
				n.config.Settings.AllowCancel = false
				n.handle(balancer.SettingsChanged{Settings: n.config.Settings})
			})
			besteffort.Close(c)
			n.gone(t, "q")
		}, 0},
		{"its server drains", func(t *testing.T, n *running, _ raw) {
			n.on(t, func() {
				n.applyList(registry.ListResponse{Endpoints: []registry.Endpoint{entry(n, registry.Draining, 0)}}, balancer.UpdateIncremental)
			})
		}, 503},
		{"its server has left", func(t *testing.T, n *running, _ raw) {
			n.on(t, func() { n.applyList(registry.ListResponse{Snapshot: true}, balancer.UpdateComplete) })
		}, 503},
		{"its server is another process", func(t *testing.T, n *running, _ raw) {
			n.on(t, func() {
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
			var dial lateDial
			n := startNodeWith(t, func(n *Server) { dial = holdDials(n, 1) }, serving(t))
			conn := n.dial(t)
			conn.ask(t, "saldo", "q", "60")
			wait(t, dial.began, "the connection to begin")
			c.happen(t, n, conn)
			close(dial.release)
			if c.status != 0 {
				if s := conn.status(t); s != c.status {
					t.Errorf("answer %d, want %d", s, c.status)
				}
			}
			n.empty(t)
			if sent := n.stats.forwards.Load(); sent != 0 {
				t.Errorf("it is sent %d times", sent)
			}
		})
	}
}

// gone waits until the loop knows that the client of a request has left.
func (n *running) gone(t *testing.T, id balancer.RequestID) {
	t.Helper()
	until(t, "the client's end", func() (done bool) {
		n.on(t, func() { r := n.requests[id]; done = r == nil || r.answered })
		return done
	})
}

// empty waits until nothing is open, at the proxy or counted at its servers.
func (n *running) empty(t *testing.T) {
	t.Helper()
	until(t, "the requests' end", func() (none bool) {
		n.on(t, func() { none = len(n.requests) == 0 })
		return none && n.stats.outstanding.Load() == 0
	})
}

// TestRepeatIsNotWrittenAfterItsWindow: the window was open when the second server was chosen.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	var dial lateDial
	failing := func() string {
		return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for readRequest(r) != nil {
				besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
			}
		})
	}
	n := startNodeWith(t, func(n *Server) { dial = holdDials(n, 2) }, failing(), failing())
	before := n.now()
	answered := make(chan reply, 1)
	go func() {
		req := n.request(t, "POST", "pedido", "q", "60", strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "k")
		answered <- do(t, req)
	}()
	wait(t, dial.began, "the second connection to begin")
	until(t, "the window's end", func() bool { return n.now() > before+2*time.Second }) // it lasts one, from the first send
	close(dial.release)
	if a := wait(t, answered, "the answer"); a.status != http.StatusBadGateway {
		t.Errorf("answer %+v, want a failure", a)
	}
	if sent := n.stats.forwards.Load(); sent != 1 {
		t.Errorf("it is sent %d times, want once", sent)
	}
}

// TestCalledOffBeforeTheWrite: an idle connection is there at once, and so is ahead of what ends an attempt.
func TestCalledOffBeforeTheWrite(t *testing.T) {
	p := testPool(serving(t))
	ctx, cancel := context.WithTimeout(context.Background(), enough)
	cancel()
	for i := range 100 {
		try(t, p, enough)
		stood(p, lateResponseRest)
		if res := p.attempt(ctx, 1, get("/api/x"), always, nil); res.outcome != balancer.NotSent {
			t.Fatalf("outcome %d, want Moot", res.outcome)
		}
		if sent := p.forwards.Load(); sent != int64(i+1) || p.open != 0 {
			t.Fatalf("%d requests sent, %d connections open, want %d and none", sent, p.open, i+1)
		}
	}
}

// lateConn is a connection whose first reads wait until they are let go.
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

// TestLeftBeforeItIsRead: the end of its connection is here when a request is read, but the server's own read, which would
// tell, comes later than the attempt.
func TestLeftBeforeItIsRead(t *testing.T) {
	for _, behind := range []int{0, 20, 40000} { // the server reads 4 KiB at once
		n := startNode(t, serving(t))
		first, second := make(chan struct{}), make(chan struct{})
		n.tap.reads.Store(&[]chan struct{}{first, second})
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		besteffort.Output(io.WriteString(c, strings.Repeat("x", behind)))
		_ = c.CloseWrite()
		until(t, "the node's system to have it", func() bool { return tcpState(t, c.TCPConn) == finWait2 })
		close(first)
		if s := c.status(t); s != http.StatusServiceUnavailable {
			t.Errorf("%d bytes behind: answer %d, want a refusal", behind, s)
		}
		close(second)
		n.empty(t)
		if sent := n.stats.forwards.Load(); sent != 0 {
			t.Errorf("%d bytes behind: it is sent %d times", behind, sent)
		}
	}
}

// finWait2 is the state of a connection whose end the other side has acknowledged, in Linux's numbers.
const finWait2 = 5

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
