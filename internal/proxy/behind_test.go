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

// clientDepartures are the ways in which a client leaves.
var clientDepartures = map[string]func(raw){
	"closed":      func(c raw) { besteffort.Close(c) },
	"reset":       func(c raw) { besteffort.SocketOption(c.SetLinger(0)); besteffort.Close(c) },
	"half-closed": func(c raw) { _ = c.CloseWrite() },
}

// TestDepartedClientCancelsItsRequestDespitePipelinedBytes checks that the proxy detects that a client
// leaves whatever it has sent behind its request. The attempt ends, the request no longer counts, and
// nothing behind it is forwarded.
func TestDepartedClientCancelsItsRequestDespitePipelinedBytes(t *testing.T) {
	server, got, gone := silentServer(t)
	n := startNode(t, server)
	for request, sent := range map[string]string{"get": wholeGet, "post": wholePost, "chunked": chunkedPost} {
		for _, behind := range []string{"", "x", "\r\n", nextGet[:20], nextGet, nextGet + nextGet[:20], strings.Repeat("x", 40000)} {
			for how, leave := range clientDepartures {
				t.Run(fmt.Sprintf("%s, %d bytes behind, %s", request, len(behind), how), func(t *testing.T) {
					c := n.opened(t)
					besteffort.Output(io.WriteString(c, sent))
					wait(t, got, "the attempt")
					before := n.tap.read.Load()
					besteffort.Output(io.WriteString(c, behind))
					until(t, "the proxy to read", func() bool { return n.tap.read.Load() >= before+min(int64(len(behind)), 16<<10) })
					leave(c)
					if id := wait(t, gone, "the attempt's end"); id != "q" {
						t.Errorf("attempt of %q ended, want q", id)
					}
					until(t, "the request's end", func() (over bool) {
						n.do(func() { over = len(n.requests) == 0 && n.stats.outstanding.Load() == 0 })
						return over
					})
				})
			}
		}
	}
	if len(got) > 0 {
		t.Errorf("request %q was forwarded too", <-got)
	}
}

// TestPipelinedRequestsAreServedInOrder checks that what a client sends behind a request in flight is
// served in its turn, also where it is too long for the buffer.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	long := strings.Replace(strings.Replace(wholePost, "Id: q", "Id: next", 1), "4\r\n\r\nrent", "40000\r\n\r\n"+strings.Repeat("x", 40000), 1)
	for _, behind := range []string{nextGet, "\r\n" + nextGet + nextGet, long, nextGet + long} {
		t.Run(fmt.Sprintf("%d bytes", len(behind)), func(t *testing.T) {
			n, release := startHolding(t, false)
			c := n.opened(t)
			n.send(t, c, wholePost)
			before := n.tap.read.Load()
			besteffort.Output(io.WriteString(c, behind))
			until(t, "the proxy to read", func() bool { return n.tap.read.Load() >= before+min(int64(len(behind)), 16<<10) })
			close(release)
			for range 1 + strings.Count(behind, "HTTP/1.1") {
				if s := c.status(t); s != http.StatusOK {
					t.Errorf("response %d, want 200", s)
				}
			}
		})
	}
}

// TestPipelinedRequestIsAnsweredDuringDrain checks that a request of which bytes have been read is
// answered, though SIGTERM and the end of accepting come before the response to the request ahead of it.
// Only its own response asks the client to close.
func TestPipelinedRequestIsAnsweredDuringDrain(t *testing.T) {
	for _, split := range []int{1, 30, len(nextGet)} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, late %v", split, late), func(t *testing.T) {
				n, release := startHolding(t, false)
				c := n.opened(t)
				n.send(t, c, wholeGet)
				before := n.tap.read.Load()
				besteffort.Output(io.WriteString(c, nextGet[:split]))
				until(t, "the proxy to read", func() bool { return n.tap.read.Load() >= before+int64(split) })
				n.stop()
				until(t, "the drain", n.frontend.draining.Load)
				if late {
					n.linger()
					wait(t, n.tap.closed, "the listener's end")
				}
				close(release)
				for i, last := range []bool{false, true} {
					resp, err := http.ReadResponse(c.read, nil)
					if err != nil {
						t.Fatalf("response %d: %v", i, err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					if resp.StatusCode != http.StatusOK || resp.Close != last {
						t.Errorf("response %d: %s, Connection: close %v", i, resp.Status, resp.Close)
					}
					if !last {
						besteffort.Output(io.WriteString(c, nextGet[split:]))
					}
				}
				besteffort.Close(c)
				n.linger()
				n.wantEnd(t)
			})
		}
	}
}
