package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"wrenspread/internal/besteffort"
)

const (
	chunkedPost = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nrent\r\n0\r\n\r\n"
	nextGet     = "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: next\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n"
)

// clientDepartures are the ways in which a client can end its connection.
var clientDepartures = map[string]func(clientConn){
	"closed":      func(c clientConn) { besteffort.Close(c) },
	"reset":       func(c clientConn) { besteffort.SocketOption(c.SetLinger(0)); besteffort.Close(c) },
	"half-closed": func(c clientConn) { _ = c.CloseWrite() },
}

// TestDepartedClientCancelsItsRequestDespitePipelinedBytes checks that the proxy detects that a client
// has left, whatever bytes the client has sent after its request. The attempt ends, the request is no longer
// counted as open, and the bytes after the request are not forwarded.
func TestDepartedClientCancelsItsRequestDespitePipelinedBytes(t *testing.T) {
	server, got, gone := silentServer(t)
	srv := startProxy(t, server)
	number := 0
	for request, sent := range map[string]string{"get": completeGet, "post": completePost, "chunked": chunkedPost} {
		for _, extra := range []string{"", "x", "\r\n", nextGet[:20], nextGet, nextGet + nextGet[:20], strings.Repeat("x", 40000)} {
			for departure, leave := range clientDepartures {
				t.Run(fmt.Sprintf("%s, %d bytes after the request, %s", request, len(extra), departure), func(t *testing.T) {
					c := srv.dialAccepted(t)
					number++
					want := fmt.Sprint("q", number) // an ID of its own: a request of a client that has left does not run again
					besteffort.Output(io.WriteString(c, strings.Replace(sent, "Id: q", "Id: "+want, 1)))
					wait(t, got, "the attempt")
					before := srv.listener.bytesRead.Load()
					besteffort.Output(io.WriteString(c, extra))
					waitUntil(t, "the proxy to read the bytes", func() bool { return srv.listener.bytesRead.Load() >= before+min(int64(len(extra)), 16<<10) })
					leave(c)
					if id := wait(t, gone, "the attempt to end"); id != want {
						t.Errorf("attempt of %q ended, want %q", id, want)
					}
					waitUntil(t, "the request to end", func() (over bool) {
						srv.do(func() { over = len(srv.requests) == 0 && srv.stats.outstanding.Load() == 0 })
						return over
					})
				})
			}
		}
	}
	if len(got) > 0 {
		t.Errorf("request %q was forwarded, though it comes after an open request", <-got)
	}
}

// TestPipelinedRequestsAreServedInOrder checks that requests that a client sends after a request in flight
// are served in their order, even if they are too long for the buffer.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	long := strings.Replace(strings.Replace(completePost, "Id: q", "Id: next", 1), "4\r\n\r\nrent", "40000\r\n\r\n"+strings.Repeat("x", 40000), 1)
	for _, extra := range []string{nextGet, "\r\n" + nextGet + nextGet, long, nextGet + long} {
		t.Run(fmt.Sprintf("%d bytes", len(extra)), func(t *testing.T) {
			srv, release := startWithHeldResponse(t, false)
			c := srv.dialAccepted(t)
			srv.sendAndWaitUntilRead(t, c, completePost)
			before := srv.listener.bytesRead.Load()
			besteffort.Output(io.WriteString(c, extra))
			waitUntil(t, "the proxy to read the bytes", func() bool { return srv.listener.bytesRead.Load() >= before+min(int64(len(extra)), 16<<10) })
			close(release)
			for range 1 + strings.Count(extra, "HTTP/1.1") {
				if s := c.readStatus(t); s != http.StatusOK {
					t.Errorf("response %d, want 200", s)
				}
			}
		})
	}
}

// TestPipelinedRequestIsAnsweredDuringDrain checks a connection with an open request and a next one, of
// which the proxy has read some bytes. Both are answered, even if SIGTERM and the end of accepting come before
// the first response. Only the second response asks the client to close.
func TestPipelinedRequestIsAnsweredDuringDrain(t *testing.T) {
	for _, split := range []int{1, 30, len(nextGet)} {
		for _, acceptingEnded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes read, accepting ended %v", split, acceptingEnded), func(t *testing.T) {
				srv, release := startWithHeldResponse(t, false)
				c := srv.dialAccepted(t)
				srv.sendAndWaitUntilRead(t, c, completeGet)
				before := srv.listener.bytesRead.Load()
				besteffort.Output(io.WriteString(c, nextGet[:split]))
				waitUntil(t, "the proxy to read the bytes", func() bool { return srv.listener.bytesRead.Load() >= before+int64(split) })
				srv.stop()
				waitUntil(t, "the drain to begin", srv.frontend.draining.Load)
				if acceptingEnded {
					srv.endLateAccepting()
					wait(t, srv.listener.closed, "the listener to close")
				}
				close(release)
				for i, last := range []bool{false, true} {
					resp, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						t.Fatalf("response %d: %v", i, err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					if resp.StatusCode != http.StatusOK || resp.Close != last {
						t.Errorf("response %d: %s, Connection: close %v, want 200, with Connection: close only on the last response", i, resp.Status, resp.Close)
					}
					if !last {
						besteffort.Output(io.WriteString(c, nextGet[split:]))
					}
				}
				besteffort.Close(c)
				srv.endLateAccepting()
				srv.waitForCleanEnd(t)
			})
		}
	}
}
