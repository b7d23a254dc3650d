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

// okResponse is a response whose body is what.
func okResponse(what string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(what), what)
}

// attemptPath makes one attempt for a path at endpoint 1.
func attemptPath(p *pool, path string) result {
	ctx, cancel := context.WithTimeout(context.Background(), enough)
	defer cancel()
	return p.attempt(ctx, 1, get(path), alwaysMayWrite, nil)
}

// TestUnsolicitedBytesAreNeverTakenForAResponse checks that bytes which a backend sends beyond its
// response are never taken for the next response on the connection, whenever they come.
func TestUnsolicitedBytesAreNeverTakenForAResponse(t *testing.T) {
	for name, unsolicited := range map[string]string{
		"a second answer":       okResponse("/first"),
		"an answer to nothing":  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"half a line":           "HTTP/1.1 20",
		"half a head":           "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n",
		"one byte":              "H",
		"an empty line":         "\r\n",
		"a body without a head": "hi",
	} {
		for _, c := range []struct {
			when   string
			idle   bool          // the bytes come while the connection is idle, otherwise with the next request on it
			since  time.Duration // how long the connection has been idle by then
			number int           // the connection that the next request uses
			want   balancer.Outcome
		}{
			{"while idle", true, lateResponseWait, 1, balancer.OK},
			{"late", true, 0, 1, balancer.OK},
			{"as the next request leaves", false, lateResponseWait, 0, balancer.ServerError},
		} {
			if name == "a second answer" && c.want != balancer.OK {
				continue // excluded: a second response comes within lateResponseWait
			}
			t.Run(name+" "+c.when, func(t *testing.T) {
				first, second := make(chan net.Conn, 1), make(chan int, 1)
				p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
					for req := readRequest(r); req != nil; req = readRequest(r) {
						if req.URL.Path == "/first" {
							first <- conn
						} else if second <- number; number == 0 {
							besteffort.Output(io.WriteString(conn, unsolicited))
						}
						besteffort.Output(io.WriteString(conn, okResponse(req.URL.Path)))
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
				p.pause = func(_ context.Context, rest time.Duration) bool {
					if rest > 0 {
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
				if number := wait(t, second, "the second"); number != c.number || got.outcome != balancer.OK && p.openConnections != 0 {
					t.Errorf("second request on connection %d, want %d; %d connections open afterwards", number, c.number, p.openConnections)
				}
			})
		}
	}
}

// waitReadable returns once a connection has bytes to read, or its end.
func waitReadable(t *testing.T, c net.Conn) {
	t.Helper()
	for until := time.Now().Add(enough); isOpenAndEmpty(c); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("nothing from the backend becomes readable")
		}
	}
}
