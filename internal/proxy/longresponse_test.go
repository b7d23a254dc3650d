package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// longHead is the head of a response that is too long to be buffered.
var longHead = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBufferedBody+1)

// longResponseRequests are requests whose first response stops behind its head, with the status that their
// client is owed and the number of times that they may run.
var longResponseRequests = map[string]struct {
	request string
	status  int
	runs    int32
}{
	"idempotent":     {completeGet, http.StatusOK, 2},
	"not idempotent": {completePost, http.StatusBadGateway, 1},
	"upload": {
		fmt.Sprintf(uploadHeadFormat+"Content-Length: 70000\r\n\r\n", "q") + strings.Repeat("x", 70000),
		http.StatusBadGateway, 1,
	},
}

// TestLongResponseBrokenBehindItsHeadIsAFailedAttempt guards against ending a client's connection with no
// answer where a backend's connection ends between the head and the body of a long one: a client sends its
// request once more then, and it runs twice (review/6).
func TestLongResponseBrokenBehindItsHeadIsAFailedAttempt(t *testing.T) {
	for name, test := range longResponseRequests {
		for _, linger := range []int{-1, 0} { // closed, reset
			t.Run(fmt.Sprintf("%s, linger %d", name, linger), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				serve := func(_ int, c net.Conn, r *bufio.Reader) {
					for req := readRequest(r); req != nil; req = readRequest(r) {
						if req.Header.Get("X-Request-Id") == "q" && runs.Add(1) == 1 {
							besteffort.Output(io.WriteString(c, longHead))
							time.Sleep(20 * time.Millisecond)
							besteffort.SocketOption(c.(*net.TCPConn).SetLinger(linger))
							return
						}
						besteffort.Output(io.WriteString(c, okResponse))
					}
				}
				srv := startProxy(t, backendServer(t, serve), backendServer(t, serve))
				c := srv.dialKeepAlive(t)
				besteffort.Output(io.WriteString(c, test.request))
				if status := c.readStatus(t); status != test.status || runs.Load() != test.runs {
					t.Errorf("status %d after %d runs, want %d after %d", status, runs.Load(), test.status, test.runs)
				}
				c.sendGet(t, "saldo", "later", "20")
				if status := c.readStatus(t); status != http.StatusOK {
					t.Errorf("status %d of the next request on the connection, want 200", status)
				}
			})
		}
	}
}

// TestLongResponseHangingBehindItsHeadEndsInTime guards against leaving a request without any answer where a
// backend hangs between the head and the body of a long one (review/8).
func TestLongResponseHangingBehindItsHeadEndsInTime(t *testing.T) {
	const deadline = 2 * time.Second
	for name, test := range longResponseRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan bool, 1)
			srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for req := readRequest(r); req != nil; req = readRequest(r) {
					if req.Header.Get("X-Request-Id") != "q" {
						besteffort.Output(io.WriteString(c, okResponse))
						continue
					}
					besteffort.Output(io.WriteString(c, longHead))
					_, _ = r.ReadByte() // returns when the proxy closes the connection
					gone <- true
					return
				}
			}))
			c := srv.dialKeepAlive(t)
			request := strings.Replace(test.request, "X-Deadline: 60", "X-Deadline: 2", 1)
			request = strings.Replace(request, "X-Deadline: 20", "X-Deadline: 2", 1)
			sentAt := time.Now()
			besteffort.Output(io.WriteString(c, request))
			status := c.readStatus(t)
			if waited := time.Since(sentAt); status < http.StatusInternalServerError || waited > deadline+time.Second/2 {
				t.Errorf("status %d after %v, want a failure by %v", status, waited, deadline)
			}
			wait(t, gone, "the attempt to end")
			c.sendGet(t, "saldo", "later", "20")
			if status := c.readStatus(t); status != http.StatusOK {
				t.Errorf("status %d of the next request on the connection, want 200", status)
			}
		})
	}
}
