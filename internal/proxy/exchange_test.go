package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// TestAttemptOutcomeForEachResponse checks the outcome of an attempt for well-formed, malformed,
// truncated and oversized responses.
func TestAttemptOutcomeForEachResponse(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+maxResponseHead+1)
	for _, c := range []struct {
		name, answer string // the backend closes after it
		want         balancer.Outcome
	}{
		{"served", okAnswer, balancer.OK},
		{"served after 1xx", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer, balancer.OK},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503 with proof", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504 with proof", "HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"503 with no proof", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"500 with a header that proves nothing", "HTTP/1.1 500 Oops\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"no answer", "", balancer.ConnectionReset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", balancer.ConnectionReset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", balancer.ConnectionReset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balancer.ServerError},
		{"a length below nothing", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.ServerError},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.OK},
		{"a line with no colon", "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\nhi", balancer.ServerError},
		{"other protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + okAnswer, balancer.ServerError},
		{"a body where none may be", "HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nhi", balancer.ServerError},
		{"the greatest head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("x", maxResponseHead) + "\r\n\r\nhi", balancer.OK},
		{"no HTTP", "hello there\r\n\r\n", balancer.ServerError},
		{"body too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxStreamedBody+1, long), balancer.ServerError},
		{"half a long body", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxStreamedBody, long), balancer.ConnectionReset},
		{"head too long", "HTTP/1.1 200 OK\r\nX-Long: " + long + long, balancer.ServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					besteffort.Output(io.WriteString(conn, c.answer))
				}
			}))
			got := attemptOnce(t, p, enough)
			if got.outcome != c.want {
				t.Errorf("outcome %d, want %d", got.outcome, c.want)
			}
			if got.outcome == balancer.OK && string(got.body) != "hi" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// truncatingConn breaks before the last byte is written.
type truncatingConn struct{ *net.TCPConn }

func (c truncatingConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	return n, errors.New("broken")
}

// TestBreakBeforeTheLastByteIsConnectFailed checks that a request whose last byte was not written is
// reported as never executed.
func TestBreakBeforeTheLastByteIsConnectFailed(t *testing.T) {
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(conn, okAnswer))
		}
	}))
	if got := attemptOnce(t, p, enough); got.outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.outcome)
	}
	ageIdleConns(p, lateResponseWait)
	idle := p.backends[1].idle
	idle[0].Conn = truncatingConn{idle[0].Conn.(*net.TCPConn)}
	if got := attemptOnce(t, p, enough); got.outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.outcome)
	}
}

// TestPoolNeverResendsARequest checks that a connection which breaks under a request gives an outcome:
// the pool must not send the request again on another connection.
func TestPoolNeverResendsARequest(t *testing.T) {
	requests := make(chan int, 10)
	p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) != nil; i++ {
			requests <- number
			if i == 1 {
				return
			}
			besteffort.Output(io.WriteString(conn, okAnswer))
		}
	}))
	if got := attemptOnce(t, p, enough); got.outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.outcome)
	}
	ageIdleConns(p, lateResponseWait)
	if got := attemptOnce(t, p, enough); got.outcome != balancer.ConnectionReset {
		t.Errorf("outcome %d, want Reset", got.outcome)
	}
	if n := len(requests); n != 2 {
		t.Errorf("backend received %d requests, want 2", n)
	}
	for range 2 {
		if number := <-requests; number != 0 {
			t.Errorf("request on connection %d, want 0: the pool reuses connections", number)
		}
	}
}

// TestEndedAttemptHasClosedItsConnection checks that the backend sees the end of an attempt no later than
// the balancer, because a further attempt could overlap it otherwise.
func TestEndedAttemptHasClosedItsConnection(t *testing.T) {
	for name, want := range map[string]balancer.Outcome{"timed out": balancer.TimedOut, "cancelled": balancer.Cancelled} {
		got, gone := make(chan struct{}), make(chan struct{})
		p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			close(got)
			_, _ = r.ReadByte() // until the proxy closes
			close(gone)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), enough)
		if want == balancer.TimedOut {
			ctx, cancel = context.WithTimeout(context.Background(), 1500*time.Millisecond)
		} else {
			go func() { <-got; cancel() }()
		}
		res := p.attempt(ctx, 1, get("/api/x"), alwaysMayWrite, nil)
		cancel()
		if res.outcome != want {
			t.Errorf("%s: outcome %d, want %d", name, res.outcome, want)
		}
		if p.openConnections != 0 {
			t.Errorf("%s: the connection is still open", name)
		}
		select {
		case <-gone:
		case <-time.After(enough):
			t.Errorf("%s: the backend does not see the connection end", name)
		}
	}
}

// blockedWriteConn blocks a writer when it sets its deadline, until the reader has cancelled the write.
type blockedWriteConn struct {
	*net.TCPConn
	began, writeCancelled func()
	cancelled             chan struct{}
}

func (c blockedWriteConn) SetWriteDeadline(at time.Time) error {
	if at.After(time.Now()) {
		c.began()
		<-c.cancelled
	}
	err := c.TCPConn.SetWriteDeadline(at)
	if at.Before(time.Now()) {
		c.writeCancelled()
	}
	return err
}

// TestRejectionAheadOfTheRequestLeavesTheUploadIntact checks that nothing of a request is sent to a
// backend that rejects it as soon as it is connected, so that another backend can serve the request.
func TestRejectionAheadOfTheRequestLeavesTheUploadIntact(t *testing.T) {
	began, up := make(chan struct{}), make(chan struct{})
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		<-began
		besteffort.Output(io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		readRequest(r)
	}))
	ctx, cancel := context.WithTimeout(context.Background(), enough)
	defer cancel()
	c, err := p.get(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Conn = blockedWriteConn{c.Conn.(*net.TCPConn), sync.OnceFunc(func() { close(began) }), sync.OnceFunc(func() { close(up) }), up}
	c.release()
	ageIdleConns(p, lateResponseWait)
	rest, client := io.Pipe()
	go func() { besteffort.Output(client.Write(pattern(10))); besteffort.Close(client) }()
	o := get("/api/x")
	o.method, o.body = "POST", pattern(maxBufferedBody+1)
	o.upload = &upload{length: maxBufferedBody + 11, pipe: rest, responseTimeout: enough, readingEnded: make(chan struct{}), onComplete: func(time.Duration) {},
		clientGone: func() bool { return false }}
	got := p.attempt(ctx, 1, o, alwaysMayWrite, nil)
	if got.outcome != balancer.Rejected || got.bodyDiscarded || p.forwards.Load() != 0 {
		t.Errorf("outcome %d, body discarded %v, %d requests written; want Rejected, false, 0", got.outcome, got.bodyDiscarded, p.forwards.Load())
	}
	besteffort.Close(rest)
}
