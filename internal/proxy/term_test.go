package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// tapped is the clients' listener of a proxy under test. It counts what the proxy accepts and reads.
type tapped struct {
	*net.TCPListener
	accepted, read atomic.Int64 // accepted connections, and bytes read on all of them
	once           sync.Once
	closed         chan struct{}
	reads          atomic.Pointer[[]chan struct{}] // for connections accepted from now on: their reads wait for these channels; nil: no read waits
}

func (l *tapped) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	if channels := l.reads.Load(); channels != nil {
		return &lateConn{c.(*net.TCPConn), *channels}, nil
	}
	return tappedConn{c.(*net.TCPConn), l}, nil
}

func (l *tapped) Close() error {
	defer l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

type tappedConn struct {
	*net.TCPConn
	tap *tapped
}

func (c tappedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.tap.read.Add(int64(n))
	return n, err
}

// until polls a condition until it is true; the test fails if it does not become true in time.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(enough); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// opened returns a connection that the proxy has accepted.
func (n *running) opened(t *testing.T) raw {
	t.Helper()
	before := n.tap.accepted.Load()
	c := n.dial(t)
	until(t, "the connection", func() bool { return n.tap.accepted.Load() > before })
	return c
}

// kept returns a keep-alive connection on which a request has been served.
func (n *running) kept(t *testing.T) raw {
	t.Helper()
	c := n.opened(t)
	c.ask(t, "saldo", "first", "60")
	if s := c.status(t); s != http.StatusOK {
		t.Fatalf("the first request on the connection is answered %d, want 200", s)
	}
	return c
}

// send writes a text, and returns when the proxy has read all of it. The first byte is written and read by
// itself.
func (n *running) send(t *testing.T, c raw, text string) {
	t.Helper()
	for _, part := range []string{text[:1], text[1:]} {
		before := n.tap.read.Load()
		besteffort.Output(io.WriteString(c, part))
		until(t, "the proxy to read", func() bool { return n.tap.read.Load() >= before+int64(len(part)) })
	}
}

const (
	wholeGet  = "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n"
	wholePost = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nrent"
)

// connectionsAtSIGTERM are states of clients' connections at SIGTERM: what the proxy has read, and what comes
// later.
var connectionsAtSIGTERM = []struct {
	name  string
	open  func(n *running, t *testing.T) raw
	text  string
	split int  // number of bytes of text that have been read
	idle  bool // the proxy closes the connection when it stops accepting
}{
	{"new and silent", (*running).opened, wholeGet, 0, false},
	{"half of its first head", (*running).opened, wholeGet, 40, false},
	{"kept, half of a head", (*running).kept, wholeGet, 40, false},
	{"kept, two bytes", (*running).kept, wholeGet, 2, false},
	{"half of a body", (*running).opened, wholePost, len(wholePost) - 2, false},
	{"kept, half of a body", (*running).kept, wholePost, len(wholePost) - 2, false},
	{"busy", (*running).opened, wholeGet, len(wholeGet), false},
	{"kept and busy", (*running).kept, wholeGet, len(wholeGet), false},
	{"kept and idle", (*running).kept, wholeGet, 0, true},
}

// TestOpenConnectionsAreAnsweredAfterSIGTERM: a request is answered even if SIGTERM or the end of accepting
// comes in the middle of it, both on a proxy by itself and on the old process of a handoff. Only a connection
// on which nothing has been received since its last answer is closed, at the end of accepting.
func TestOpenConnectionsAreAnsweredAfterSIGTERM(t *testing.T) {
	for _, handed := range []bool{false, true} {
		for _, late := range []bool{false, true} {
			for _, c := range connectionsAtSIGTERM {
				t.Run(fmt.Sprintf("handed over %v, late %v, %s", handed, late, c.name), func(t *testing.T) {
					n, release := startHolding(t, handed)
					conn := c.open(n, t)
					idle := n.kept(t)
					if c.split > 0 {
						n.send(t, conn, c.text[:c.split])
					}
					if handed {
						n.handOver(t)
					}
					n.stop()
					until(t, "the drain", n.frontend.draining.Load)
					if late {
						n.linger()
						if rest, err := io.ReadAll(idle); err != nil || len(rest) > 0 {
							t.Errorf("an idle connection ends with %q, %v", rest, err)
						}
						besteffort.Close(idle)
						if c.idle {
							besteffort.Close(conn)
							n.wantEnd(t)
							return
						}
					}
					besteffort.Output(io.WriteString(conn, c.text[c.split:]))
					close(release)
					resp, err := http.ReadResponse(conn.read, nil)
					if err != nil {
						t.Fatalf("no answer: %v", err)
					}
					if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
						t.Errorf("answer %s, with Connection: close %v, %v", resp.Status, resp.Close, err)
					}
					besteffort.Close(conn)
					besteffort.Close(idle)
					n.linger()
					n.wantEnd(t)
				})
			}
		}
	}
}

// TestNewConnectionsAreServedUntilAcceptingEnds: connections that are opened after SIGTERM, while the proxy
// still accepts, are served one request each.
func TestNewConnectionsAreServedUntilAcceptingEnds(t *testing.T) {
	n, release := startHolding(t, false)
	close(release)
	n.stop()
	until(t, "the drain", n.frontend.draining.Load)
	for range 20 {
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		if s := c.status(t); s != http.StatusOK {
			t.Errorf("answer %d", s)
		}
	}
	n.linger()
	n.wantEnd(t)
}

// TestLateRequestIsAnsweredBeforeSIGKILL: a request that comes after SIGTERM is answered before the platform
// would send SIGKILL, although its own deadline is later and no backend answers.
func TestLateRequestIsAnsweredBeforeSIGKILL(t *testing.T) {
	server, _, _ := silentServer(t)
	n := startNodeWith(t, func(n *Server) { n.frontend.finishTime = 100 * time.Millisecond }, server)
	c := [2]raw{n.opened(t), n.opened(t)}
	n.stop()
	n.linger()
	wait(t, n.tap.closed, "the listener's end")
	until(t, "the last time", func() bool { return n.frontend.drainDeadline.Load() != nil })
	for i, c := range c { // the second request comes after that time
		besteffort.Output(io.WriteString(c, strings.Replace(wholeGet, "Id: q", fmt.Sprint("Id: q", i), 1)))
		if s := c.status(t); s < 500 {
			t.Errorf("answer %d", s)
		}
	}
	n.wantEnd(t)
}

// startHolding starts a proxy whose backend answers requests with the ID q only after the channel is closed.
// With upgrades the proxy accepts handoffs.
func startHolding(t *testing.T, upgrades bool) (*running, chan struct{}) {
	t.Helper()
	release := make(chan struct{})
	server := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			if req.Header.Get("X-Request-Id") == "q" {
				<-release
			}
			besteffort.Output(io.WriteString(c, okAnswer))
		}
	})
	return startNodeWith(t, func(n *Server) {
		if n.frontend.finishTime = enough; upgrades {
			n.EnableHandoff(handoffDir(t))
		}
	}, server), release
}

// handOver plays a new process that becomes ready, and waits until the proxy has stopped accepting.
func (n *running) handOver(t *testing.T) {
	t.Helper()
	o := dialHandoff(t, strings.TrimSuffix(n.handoffPath, "/"+handoffSocket))
	o.send(t, helloLine)
	o.receive(t, kindState)
	o.send(t, `{"kind":"ready"}`)
	wait(t, n.tap.closed, "the listener's end")
}

// wantEnd waits until the proxy has ended, without an error.
func (n *running) wantEnd(t *testing.T) {
	t.Helper()
	if err := wait(t, n.ended, "the proxy's end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
}
