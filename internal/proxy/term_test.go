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

// tapped is the clients' socket of a proxy under test. It tells what the proxy has taken from it.
type tapped struct {
	*net.TCPListener
	accepted, read atomic.Int64 // connections, and bytes on all of them
	once           sync.Once
	closed         chan struct{}
	reads          atomic.Pointer[[]chan struct{}] // of connections from now on: each waits for its channel; nil: none waits
}

func (l *tapped) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	if held := l.reads.Load(); held != nil {
		return &lateConn{c.(*net.TCPConn), *held}, nil
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

// until waits for a condition that no channel tells of.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(enough); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// opened is a connection that the proxy has accepted.
func (n *running) opened(t *testing.T) raw {
	t.Helper()
	before := n.tap.accepted.Load()
	c := n.dial(t)
	until(t, "the connection", func() bool { return n.tap.accepted.Load() > before })
	return c
}

// kept is a connection on which a request has been served.
func (n *running) kept(t *testing.T) raw {
	t.Helper()
	c := n.opened(t)
	c.ask(t, "saldo", "first", "60")
	if s := c.status(t); s != http.StatusOK {
		t.Fatalf("the request before: %d", s)
	}
	return c
}

// send writes bytes, and returns when the proxy has read them and gone on with all but the last.
func (n *running) send(t *testing.T, c raw, text string) {
	t.Helper()
	for _, part := range []string{text[:1], text[1:]} {
		before := n.tap.read.Load()
		besteffort.Output(io.WriteString(c, part))
		until(t, "the node to read", func() bool { return n.tap.read.Load() >= before+int64(len(part)) })
	}
}

const (
	wholeGet  = "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n"
	wholePost = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nrent"
)

// aroundTheSignal are clients' connections as SIGTERM finds them: what has been read on one, and what is to come.
var aroundTheSignal = []struct {
	name  string
	open  func(n *running, t *testing.T) raw
	text  string
	split int  // so many bytes have been read
	idle  bool // it is closed at the end of accepting
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

// TestConnectionsThatStayOpenAreAnswered after SIGTERM, whatever SIGTERM or the end of accepting cuts in two: in time on
// a proxy by itself, and on the old process of an upgrade. Only a connection on which nothing has come since its last
// answer is closed, at the end of accepting.
func TestConnectionsThatStayOpenAreAnswered(t *testing.T) {
	for _, handed := range []bool{false, true} {
		for _, late := range []bool{false, true} {
			for _, c := range aroundTheSignal {
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
						t.Errorf("answer %s, told to close %v, %v", resp.Status, resp.Close, err)
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

// TestNewConnectionsWhileItLingers are served until accepting ends, one request each.
func TestNewConnectionsWhileItLingers(t *testing.T) {
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

// TestLateRequestIsAnsweredAheadOfSIGKILL, though its own time would go on after it and no server answers.
func TestLateRequestIsAnsweredAheadOfSIGKILL(t *testing.T) {
	server, _, _ := silentServer(t)
	n := startNodeWith(t, func(n *Server) { n.frontend.killTimeout = 100 * time.Millisecond }, server)
	c := [2]raw{n.opened(t), n.opened(t)}
	n.stop()
	n.linger()
	wait(t, n.tap.closed, "the listener's end")
	until(t, "the last time", func() bool { return n.frontend.drainDeadline.Load() != nil })
	for i, c := range c { // the second comes when its time is over
		besteffort.Output(io.WriteString(c, strings.Replace(wholeGet, "Id: q", fmt.Sprint("Id: q", i), 1)))
		if s := c.status(t); s < 500 {
			t.Errorf("answer %d", s)
		}
	}
	n.wantEnd(t)
}

// startHolding starts a proxy, whose server holds requests with the id q until the channel is closed.
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
		if n.frontend.killTimeout = enough; upgrades {
			n.TakeOver(meetingPlace(t))
		}
	}, server), release
}

// handOver plays a new process that has become ready.
func (n *running) handOver(t *testing.T) {
	t.Helper()
	o := meet(t, strings.TrimSuffix(n.handoffPath, "/"+handoffSocket))
	o.say(t, hello)
	o.hear(t, kindState)
	o.say(t, `{"kind":"ready"}`)
	wait(t, n.tap.closed, "the listener's end")
}

func (n *running) wantEnd(t *testing.T) {
	t.Helper()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}
