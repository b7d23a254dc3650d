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

// observedListener is the clients' listener of a proxy under test. It counts accepted connections and the
// bytes that the proxy reads on them.
type observedListener struct {
	*net.TCPListener
	accepted, bytesRead atomic.Int64 // numbers of accepted connections, and of bytes read on all of them
	closeOnce           sync.Once
	closed              chan struct{}
	readGates           atomic.Pointer[[]chan struct{}] // if not nil, the reads of each connection accepted from now on wait for these channels, one channel per read
}

func (l *observedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	if channels := l.readGates.Load(); channels != nil {
		return &gatedReadConn{c.(*net.TCPConn), *channels}, nil
	}
	return observedConn{c.(*net.TCPConn), l}, nil
}

func (l *observedListener) Close() error {
	defer l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

type observedConn struct {
	*net.TCPConn
	listener *observedListener
}

func (c observedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.bytesRead.Add(int64(n))
	return n, err
}

// waitUntil polls a condition until it is true. The test fails if it does not become true within testTimeout.
func waitUntil(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + awaited)
		}
	}
}

// dialAccepted returns a connection that the proxy has accepted.
func (srv *runningProxy) dialAccepted(t *testing.T) clientConn {
	t.Helper()
	before := srv.listener.accepted.Load()
	c := srv.dial(t)
	waitUntil(t, "the connection", func() bool { return srv.listener.accepted.Load() > before })
	return c
}

// dialKeepAlive returns a keep-alive connection on which a request has been served.
func (srv *runningProxy) dialKeepAlive(t *testing.T) clientConn {
	t.Helper()
	c := srv.dialAccepted(t)
	c.sendGet(t, "saldo", "first", "60")
	if s := c.readStatus(t); s != http.StatusOK {
		t.Fatalf("the first request on the connection is answered %d, want 200", s)
	}
	return c
}

// sendAndWaitUntilRead writes a text and waits until the proxy has read all of it. The first byte is written
// and read separately.
func (srv *runningProxy) sendAndWaitUntilRead(t *testing.T, c clientConn, text string) {
	t.Helper()
	for _, part := range []string{text[:1], text[1:]} {
		before := srv.listener.bytesRead.Load()
		besteffort.Output(io.WriteString(c, part))
		waitUntil(t, "the proxy to read the bytes", func() bool { return srv.listener.bytesRead.Load() >= before+int64(len(part)) })
	}
}

const (
	completeGet  = "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n"
	completePost = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nrent"
)

// connectionsAtSIGTERM are states of clients' connections at SIGTERM.
var connectionsAtSIGTERM = []struct {
	name              string
	open              func(srv *runningProxy, t *testing.T) clientConn
	request           string
	bytesRead         int  // number of bytes of request that the proxy has read before SIGTERM; the others are sent later
	closedAtAcceptEnd bool // the proxy closes the connection when it stops accepting
}{
	{"new, nothing sent", (*runningProxy).dialAccepted, completeGet, 0, false},
	{"new, half of a head", (*runningProxy).dialAccepted, completeGet, 40, false},
	{"reused, half of a head", (*runningProxy).dialKeepAlive, completeGet, 40, false},
	{"reused, two bytes", (*runningProxy).dialKeepAlive, completeGet, 2, false},
	{"new, half of a body", (*runningProxy).dialAccepted, completePost, len(completePost) - 2, false},
	{"reused, half of a body", (*runningProxy).dialKeepAlive, completePost, len(completePost) - 2, false},
	{"new, complete request", (*runningProxy).dialAccepted, completeGet, len(completeGet), false},
	{"reused, complete request", (*runningProxy).dialKeepAlive, completeGet, len(completeGet), false},
	{"reused, idle", (*runningProxy).dialKeepAlive, completeGet, 0, true},
}

// TestOpenConnectionsAreAnsweredAfterSIGTERM: a request is answered even if SIGTERM or the end of accepting
// comes before the proxy has read it completely, both in a proxy without a handoff and in the old process of a
// handoff. At the end of accepting the proxy closes only connections on which it has received nothing since the
// last response.
func TestOpenConnectionsAreAnsweredAfterSIGTERM(t *testing.T) {
	for _, handedOver := range []bool{false, true} {
		for _, acceptingEnded := range []bool{false, true} {
			for _, c := range connectionsAtSIGTERM {
				t.Run(fmt.Sprintf("handed over %v, accepting ended %v, %s", handedOver, acceptingEnded, c.name), func(t *testing.T) {
					srv, release := startWithHeldResponse(t, handedOver)
					conn := c.open(srv, t)
					idle := srv.dialKeepAlive(t)
					if c.bytesRead > 0 {
						srv.sendAndWaitUntilRead(t, conn, c.request[:c.bytesRead])
					}
					if handedOver {
						srv.handOver(t)
					}
					srv.stop()
					waitUntil(t, "the drain to begin", srv.frontend.draining.Load)
					if acceptingEnded {
						srv.endLateAccepting()
						if unexpected, err := io.ReadAll(idle); err != nil || len(unexpected) > 0 {
							t.Errorf("the idle connection ends with %q, %v, want an end without bytes", unexpected, err)
						}
						besteffort.Close(idle)
						if c.closedAtAcceptEnd {
							besteffort.Close(conn)
							srv.waitForCleanEnd(t)
							return
						}
					}
					besteffort.Output(io.WriteString(conn, c.request[c.bytesRead:]))
					close(release)
					resp, err := http.ReadResponse(conn.reader, nil)
					if err != nil {
						t.Fatalf("reading the response: %v", err)
					}
					if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
						t.Errorf("response %s, Connection: close %v, %v, want 200 with Connection: close", resp.Status, resp.Close, err)
					}
					besteffort.Close(conn)
					besteffort.Close(idle)
					srv.endLateAccepting()
					srv.waitForCleanEnd(t)
				})
			}
		}
	}
}

// TestNewConnectionsAreServedUntilAcceptingEnds: on each connection that is opened after SIGTERM, while the
// proxy still accepts, one request is served.
func TestNewConnectionsAreServedUntilAcceptingEnds(t *testing.T) {
	srv, release := startWithHeldResponse(t, false)
	close(release)
	srv.stop()
	waitUntil(t, "the drain to begin", srv.frontend.draining.Load)
	for range 20 {
		c := srv.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		if s := c.readStatus(t); s != http.StatusOK {
			t.Errorf("response %d, want 200", s)
		}
	}
	srv.endLateAccepting()
	srv.waitForCleanEnd(t)
}

// TestLateRequestIsAnsweredBeforeSIGKILL: a request that arrives after SIGTERM is answered before the platform
// would send SIGKILL, even if its own deadline is later and no backend responds.
func TestLateRequestIsAnsweredBeforeSIGKILL(t *testing.T) {
	server, _, _ := silentServer(t)
	srv := startProxyWith(t, func(srv *Server) { srv.frontend.finishTime = 100 * time.Millisecond }, server)
	conns := [2]clientConn{srv.dialAccepted(t), srv.dialAccepted(t)}
	srv.stop()
	srv.endLateAccepting()
	wait(t, srv.listener.closed, "the listener to close")
	waitUntil(t, "the drain deadline to be set", func() bool { return srv.frontend.drainDeadline.Load() != nil })
	for i, c := range conns { // the second request comes after the drain deadline
		besteffort.Output(io.WriteString(c, strings.Replace(completeGet, "Id: q", fmt.Sprint("Id: q", i), 1)))
		if s := c.readStatus(t); s < 500 {
			t.Errorf("response %d, want 500 or above", s)
		}
	}
	srv.waitForCleanEnd(t)
}

// startWithHeldResponse starts a proxy whose backend responds to requests with the ID q only after the returned
// channel is closed. If acceptHandoff is set, the proxy accepts handoffs.
func startWithHeldResponse(t *testing.T, acceptHandoff bool) (*runningProxy, chan struct{}) {
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
			besteffort.Output(io.WriteString(c, okResponse))
		}
	})
	return startProxyWith(t, func(srv *Server) {
		if srv.frontend.finishTime = testTimeout; acceptHandoff {
			srv.EnableHandoff(handoffDir(t))
		}
	}, server), release
}

// handOver acts as a new process that becomes ready, and waits until the proxy has closed its listener.
func (srv *runningProxy) handOver(t *testing.T) {
	t.Helper()
	newProcess := dialHandoff(t, strings.TrimSuffix(srv.handoffPath, "/"+handoffSocket))
	newProcess.sendLine(t, helloLine)
	newProcess.receive(t, kindState)
	newProcess.sendLine(t, `{"kind":"ready"}`)
	wait(t, srv.listener.closed, "the listener to close")
}

// waitForCleanEnd waits until the proxy has ended. The test fails if it ended with an error.
func (srv *runningProxy) waitForCleanEnd(t *testing.T) {
	t.Helper()
	if err := wait(t, srv.ended, "the proxy to end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
}
