package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const testTimeout = 30 * time.Second

// gatedListener is a listener whose connections wait at gates before a half-close and, if gateReads is
// set, after a read. A test opens a gate by calling the function that it receives.
type gatedListener struct {
	*net.TCPListener
	closeWriteGates chan func() // gates before each half-close
	closed          chan bool
	readGates       chan func() // gates after each read that returns bytes, if gateReads is set
	gateReads       atomic.Bool
}

type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	return gatedConn{c, l}, err
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.listener.gateReads.Load() {
		waitAtGate(c.listener.readGates)
	}
	return n, err
}

// waitAtGate sends a function to gates, and returns once that function has been called.
func waitAtGate(gates chan<- func()) {
	opened := make(chan bool)
	gates <- func() { close(opened) }
	<-opened
}

func (c gatedConn) CloseWrite() error {
	waitAtGate(c.listener.closeWriteGates)
	return c.TCPConn.CloseWrite()
}

func (c gatedConn) Close() error {
	defer func() { c.listener.closed <- true }()
	return c.TCPConn.Close()
}

func listen(t *testing.T) *gatedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gatedListener{TCPListener: ln.(*net.TCPListener), closeWriteGates: make(chan func(), 10), closed: make(chan bool, 10), readGates: make(chan func(), 10)}
}

// serve runs an HTTP server on l that counts requests. states receives a value whenever a connection is
// new or goes idle.
func serve(t *testing.T, l *Listener, h http.HandlerFunc) (served *atomic.Int32, states chan bool) {
	t.Helper()
	served, states = new(atomic.Int32), make(chan bool, 100)
	srv := &http.Server{MaxHeaderBytes: MaxHead, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		h(w, r)
	}), ConnState: func(c net.Conn, s http.ConnState) {
		l.TrackState(c, s)
		if s == http.StateNew || s == http.StateIdle {
			states <- true
		}
	}}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() {
		l.SkipLinger()
		besteffort.Close(srv)
	})
	return served, states
}

func dial(t *testing.T, l net.Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(testTimeout)))
	return c.(*net.TCPConn)
}

func wait[T any](t *testing.T, c <-chan T, awaited string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + awaited)
	}
	return v
}

// closeCases lists what a client sends before its connection is half-closed, and at that moment (crossing).
var closeCases = []struct {
	name, sent, crossing string
	wantStatus           int  // status of the last response; 0 means none
	serverCloses         bool // the server closes the connection without Drain
}{
	{"Connection: close", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "", 200, true},
	{"Connection: close, bytes behind the request", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 32<<10), "", 200, true},
	{"Connection: close, request crosses the half-close", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, true},
	{"malformed request", "x\r\n\r\n" + strings.Repeat("x", 32<<10), "", 400, true},
	{"idle", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", 200, false},
	{"idle, request crosses the half-close", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, false},
	{"new", "", "", 0, false},
	{"new, request crosses the half-close", "", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, false},
}

// TestCloseDeliversLastResponseWithoutReset checks that a client gets its response and an end of the
// connection, never a reset, however many of its bytes are unread. Bytes behind the request are not served.
// If the client does not close its side, the connection is closed nevertheless.
func TestCloseDeliversLastResponseWithoutReset(t *testing.T) {
	for _, c := range closeCases {
		for _, clientCloses := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				ln := listen(t)
				l := Limit(ln, 2)
				conn := dial(t, ln)
				besteffort.Output(io.WriteString(conn, c.sent)) // arrives completely before the server reads
				served, states := serve(t, l, func(http.ResponseWriter, *http.Request) {})
				if c.wantStatus > 0 {
					wait(t, states, "the connection")
				}
				reader := bufio.NewReader(conn)
				if c.wantStatus > 0 {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil || resp.StatusCode != c.wantStatus {
						t.Fatalf("response %v, %v", resp, err)
					}
				}
				if !c.serverCloses {
					wait(t, states, "the connection to go idle, or to be new")
					go func() { // waits at the gate
						l.Drain()
						l.CloseNew()
					}()
				}
				select {
				case open := <-ln.closeWriteGates:
					besteffort.Output(io.WriteString(conn, c.crossing))
					open()
				case <-ln.closed:
					t.Fatalf("connection closed without a half-close: %v", readToEnd(reader))
				case <-time.After(testTimeout):
					t.Fatal("connection is not closed")
				}
				if err := readToEnd(reader); err != nil {
					t.Errorf("connection ends with %v, want a clean end", err)
				}
				if clientCloses {
					besteffort.Close(conn)
				}
				wait(t, ln.closed, "the close")
				if n := served.Load(); n > 1 {
					t.Errorf("%d requests served, want at most 1", n)
				}
			})
		}
	}
}

func readToEnd(r io.Reader) error {
	_, err := io.ReadAll(r)
	return err
}

// TestStalledNextRequestEndsAtHeadTimeout guards against a next request that stops within its first three
// bytes: the HTTP server does not yet count these as a request, and would wait as long as for an idle client.
func TestStalledNextRequestEndsAtHeadTimeout(t *testing.T) {
	ln := listen(t)
	l := Limit(ln, 1)
	l.HeadTimeout = 50 * time.Millisecond
	_, states := serve(t, l, func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, ln)
	besteffort.Output(io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	wait(t, states, "the connection")
	wait(t, states, "the connection to go idle")
	besteffort.Output(io.WriteString(conn, "GE"))
	wait(t, ln.closeWriteGates, "the half-close")()
}

// TestRequestReadDuringCloseIsAnswered guards against a close that drops what was just read (report 9f9607).
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	for _, previous := range []int{0, 1} { // requests served before
		ln := listen(t)
		l := Limit(ln, 1)
		served, states := serve(t, l, func(http.ResponseWriter, *http.Request) {})
		conn := dial(t, ln)
		reader := bufio.NewReader(conn)
		wait(t, states, "the connection")
		for range previous {
			besteffort.Output(io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
			wait(t, states, "the connection to go idle")
		}
		ln.gateReads.Store(true)
		besteffort.Output(io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		open := wait(t, ln.readGates, "the read")
		l.Drain()
		l.CloseNew()
		open()
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 || served.Load() != int32(previous+1) {
			t.Fatalf("after %d requests: response %v, %v, and %d have been served", previous, resp, err, served.Load())
		}
		wait(t, ln.closeWriteGates, "the half-close")()
		if unexpected, err := io.ReadAll(reader); len(unexpected) > 0 || err != nil {
			t.Errorf("after %d requests the connection ends with %q, %v", previous, unexpected, err)
		}
	}
}
