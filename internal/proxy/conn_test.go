package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// okResponseWith returns a complete 200 response with the given body.
func okResponseWith(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// attemptPath makes one attempt at endpoint 1 to get a path.
func attemptPath(p *pool, path string) result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return p.attempt(ctx, 1, getRequest(path), alwaysMayWrite, nil)
}

// TestUnsolicitedBytesAreNeverTakenForAResponse checks that bytes that a backend sends after its response
// are never taken for the next response on the connection, no matter when they arrive.
func TestUnsolicitedBytesAreNeverTakenForAResponse(t *testing.T) {
	for name, unsolicited := range map[string]string{
		"a second response":            okResponseWith("/first"),
		"a response without a request": "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"a partial status line":        "HTTP/1.1 20",
		"a partial head":               "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n",
		"one byte":                     "H",
		"an empty line":                "\r\n",
		"a body without a head":        "hi",
	} {
		for _, c := range []struct {
			when   string
			idle   bool          // the bytes arrive while the connection is idle; otherwise during the next request on it
			since  time.Duration // how long the connection has been idle before the next request
			number int           // number of the connection that the next request uses
			want   balancer.Outcome
		}{
			{"while idle", true, lateResponseWait, 1, balancer.OK},
			{"while idle, within lateResponseWait", true, 0, 1, balancer.OK},
			{"as the next request is sent", false, lateResponseWait, 0, balancer.ServerError},
		} {
			if name == "a second response" && c.want != balancer.OK {
				continue // see TestSecondResponseOnABusyConnectionIsNotServed
			}
			t.Run(name+", "+c.when, func(t *testing.T) {
				first, second := make(chan net.Conn, 1), make(chan int, 1)
				p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
					for req := readRequest(r); req != nil; req = readRequest(r) {
						if req.URL.Path == "/first" {
							first <- conn
						} else if second <- number; number == 0 {
							besteffort.Output(io.WriteString(conn, unsolicited))
						}
						besteffort.Output(io.WriteString(conn, okResponseWith(req.URL.Path)))
					}
				}))
				if got := attemptPath(p, "/first"); string(got.body) != "/first" {
					t.Fatalf("outcome %d, %q", got.outcome, got.body)
				}
				idleConn := p.backends[1].idle[0].Conn
				sendUnsolicited := func() {
					besteffort.Output(io.WriteString(<-first, unsolicited))
					waitReadable(t, idleConn)
				}
				ageIdleConns(p, c.since)
				p.pause = func(_ context.Context, waitTime time.Duration) bool {
					if waitTime > 0 {
						sendUnsolicited() // during lateResponseWait
					}
					return true
				}
				if c.idle && c.since > 0 {
					sendUnsolicited()
				}
				got := attemptPath(p, "/second")
				if got.outcome != c.want || got.outcome == balancer.OK && string(got.body) != "/second" {
					t.Errorf("outcome %d with %q, want %d", got.outcome, got.body, c.want)
				}
				if number := wait(t, second, "the second request"); number != c.number || got.outcome != balancer.OK && p.openConnections != 0 {
					t.Errorf("second request on connection %d, want %d; %d connections open afterwards", number, c.number, p.openConnections)
				}
			})
		}
	}
}

// waitReadable waits until a connection has bytes to read or has been closed by its peer.
func waitReadable(t *testing.T, c net.Conn) {
	t.Helper()
	for until := time.Now().Add(testTimeout); isOpenAndEmpty(c); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection does not become readable")
		}
	}
}
