package accept

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const enough = 30 * time.Second

// watched is a listener whose connections tell when they are half-closed and closed.
type watched struct {
	*net.TCPListener
	halved chan func() // takes what lets the half-close go on
	closed chan bool
}

type watchedConn struct {
	*net.TCPConn
	by *watched
}

func (l *watched) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	return watchedConn{c, l}, err
}

func (c watchedConn) CloseWrite() error {
	let := make(chan bool)
	c.by.halved <- func() { close(let) }
	<-let
	return c.TCPConn.CloseWrite()
}

func (c watchedConn) Close() error {
	defer func() { c.by.closed <- true }()
	return c.TCPConn.Close()
}

func listen(t *testing.T) *watched {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &watched{ln.(*net.TCPListener), make(chan func(), 10), make(chan bool, 10)}
}

// serve runs a server that counts requests, and tells when a connection goes idle.
func serve(t *testing.T, l *Listener, h http.HandlerFunc) (served *atomic.Int32, idle chan bool) {
	t.Helper()
	served, idle = new(atomic.Int32), make(chan bool, 10)
	srv := &http.Server{MaxHeaderBytes: MaxHead, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		h(w, r)
	}), ConnState: func(c net.Conn, s http.ConnState) {
		l.Note(c, s)
		if s == http.StateIdle {
			idle <- true
		}
	}}
	go srv.Serve(l)
	t.Cleanup(func() {
		l.Hurry()
		srv.Close()
	})
	return served, idle
}

func dial(t *testing.T, l net.Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(enough))
	return c.(*net.TCPConn)
}

func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(enough):
		t.Fatal("waited in vain for " + what)
	}
	return v
}

// closings are what a client sends, and what comes when its connection is half-closed.
var closings = []struct {
	name, sent, crossing string
	want                 int  // the last answer
	ends                 bool // the server ends the connection by itself
}{
	{"asked to close", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "", 200, true},
	{"asked to close, more behind", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 32<<10), "", 200, true},
	{"asked to close, crossed", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, true},
	{"no request", "x\r\n\r\n" + strings.Repeat("x", 32<<10), "", 400, true},
	{"idle", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", 200, false},
	{"idle, crossed", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, false},
}

// TestCloseIsNoReset: whatever of a client's bytes nobody has read, it gets its answer and an end. What comes behind is
// not served. A client that does not close, too, is let go.
func TestCloseIsNoReset(t *testing.T) {
	for _, c := range closings {
		for _, polite := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				ln := listen(t)
				l := Limit(ln, 2)
				conn := dial(t, ln)
				io.WriteString(conn, c.sent) // all of it is here before the server reads
				served, idle := serve(t, l, func(http.ResponseWriter, *http.Request) {})
				read := bufio.NewReader(conn)
				resp, err := http.ReadResponse(read, nil)
				if err != nil || resp.StatusCode != c.want {
					t.Fatalf("answer %v, %v", resp, err)
				}
				if !c.ends {
					wait(t, idle, "the connection to go idle")
					l.Drain()
				}
				select {
				case let := <-ln.halved:
					io.WriteString(conn, c.crossing)
					let()
				case <-ln.closed:
					t.Fatalf("closed at once: %v", endOf(read))
				}
				if err := endOf(read); err != nil {
					t.Errorf("it ends with %v", err)
				}
				if polite {
					conn.Close()
				}
				wait(t, ln.closed, "the close")
				if n := served.Load(); n > 1 {
					t.Errorf("%d requests served", n)
				}
			})
		}
	}
}

func endOf(r io.Reader) error {
	_, err := io.ReadAll(r)
	return err
}

// TestNextRequestThatStops at its first bytes, of which the server takes no notice, is not waited for as an idle client is.
func TestNextRequestThatStops(t *testing.T) {
	ln := listen(t)
	l := Limit(ln, 1)
	l.HeadTime = 50 * time.Millisecond
	_, idle := serve(t, l, func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, ln)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	wait(t, idle, "the connection to go idle")
	io.WriteString(conn, "GE")
	wait(t, ln.halved, "the half-close")()
}
