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
		name, rawResponse string // the backend closes the connection after it
		want              balancer.Outcome
	}{
		{"with a length", okResponse, balancer.OK},
		{"after 1xx", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, balancer.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.OK},
		{"500", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503 with X-Not-Run", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504 with X-Not-Run", "HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"503 without X-Not-Run", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"500 with X-Not-Run", "HTTP/1.1 500 Oops\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"no response", "", balancer.ConnectionReset},
		{"a partial head", "HTTP/1.1 200 OK\r\nContent-", balancer.ConnectionReset},
		{"a partial body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", balancer.ConnectionReset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balancer.ServerError},
		{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.ServerError},
		{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.OK},
		{"a header line without a colon", "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\nhi", balancer.ServerError},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + okResponse, balancer.ServerError},
		{"204 with a body", "HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nhi", balancer.ServerError},
		{"the longest permitted head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: " + strings.Repeat("x", maxResponseHead) + "\r\n\r\nhi", balancer.OK},
		{"no HTTP", "hello there\r\n\r\n", balancer.ServerError},
		{"body too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxStreamedBody+1, long), balancer.ServerError},
		{"a partial long body", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxStreamedBody, long), balancer.ConnectionReset},
		{"head too long", "HTTP/1.1 200 OK\r\nX-Long: " + long + long, balancer.ServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					besteffort.Output(io.WriteString(conn, c.rawResponse))
				}
			}))
			got := attemptOnce(t, p, testTimeout)
			if got.outcome != c.want {
				t.Errorf("outcome %d, want %d", got.outcome, c.want)
			}
			if got.outcome == balancer.OK && string(got.body) != "hi" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// truncatingConn is a connection whose writes fail before their last byte.
type truncatingConn struct{ *net.TCPConn }

func (c truncatingConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	return n, errors.New("broken")
}

// TestBreakBeforeTheLastByteIsConnectFailed checks that a request whose last byte was not written is
// reported as ConnectFailed, which means that the backend never executed it.
func TestBreakBeforeTheLastByteIsConnectFailed(t *testing.T) {
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(conn, okResponse))
		}
	}))
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.outcome)
	}
	ageIdleConns(p, lateResponseWait)
	idle := p.backends[1].idle
	idle[0].Conn = truncatingConn{idle[0].Conn.(*net.TCPConn)}
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.outcome)
	}
}

// TestPoolNeverResendsARequest checks that a connection that breaks after a request has been written on it
// ends the attempt: the pool must not send the request again on another connection.
func TestPoolNeverResendsARequest(t *testing.T) {
	requests := make(chan int, 10)
	p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) != nil; i++ {
			requests <- number
			if i == 1 {
				return
			}
			besteffort.Output(io.WriteString(conn, okResponse))
		}
	}))
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.outcome)
	}
	ageIdleConns(p, lateResponseWait)
	if got := attemptOnce(t, p, testTimeout); got.outcome != balancer.ConnectionReset {
		t.Errorf("outcome %d, want ConnectionReset", got.outcome)
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

// TestEndedAttemptHasClosedItsConnection checks that an attempt's connection is closed before the balancer
// learns that the attempt has ended. Otherwise a further attempt could overlap the first one.
func TestEndedAttemptHasClosedItsConnection(t *testing.T) {
	for name, want := range map[string]balancer.Outcome{"timed out": balancer.TimedOut, "cancelled": balancer.Cancelled} {
		got, gone := make(chan struct{}), make(chan struct{})
		p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			close(got)
			_, _ = r.ReadByte() // returns when the proxy closes the connection
			close(gone)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if want == balancer.TimedOut {
			ctx, cancel = context.WithTimeout(context.Background(), 1500*time.Millisecond)
		} else {
			go func() { <-got; cancel() }()
		}
		res := p.attempt(ctx, 1, getRequest("/api/x"), alwaysMayWrite, nil)
		cancel()
		if res.outcome != want {
			t.Errorf("%s: outcome %d, want %d", name, res.outcome, want)
		}
		if p.openConnections != 0 {
			t.Errorf("%s: the connection is still open", name)
		}
		select {
		case <-gone:
		case <-time.After(testTimeout):
			t.Errorf("%s: the backend does not see the connection end", name)
		}
	}
}

// blockedWriteConn blocks a writer, when it sets its write deadline, until the write has been cancelled by a
// deadline in the past.
type blockedWriteConn struct {
	*net.TCPConn
	writeStarted, writeCancelled func()
	cancelled                    chan struct{}
}

func (c blockedWriteConn) SetWriteDeadline(at time.Time) error {
	if at.After(time.Now()) {
		c.writeStarted()
		<-c.cancelled
	}
	err := c.TCPConn.SetWriteDeadline(at)
	if at.Before(time.Now()) {
		c.writeCancelled()
	}
	return err
}

// TestRejectionAheadOfTheRequestLeavesTheUploadIntact checks a backend that sends a rejection as soon
// as it is connected, before the request is written. No part of the upload is sent to that backend, so that
// another backend can serve the request.
func TestRejectionAheadOfTheRequestLeavesTheUploadIntact(t *testing.T) {
	writeStarted, writeCancelled := make(chan struct{}), make(chan struct{})
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		<-writeStarted
		besteffort.Output(io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		readRequest(r)
	}))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := p.get(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.Conn = blockedWriteConn{c.Conn.(*net.TCPConn), sync.OnceFunc(func() { close(writeStarted) }), sync.OnceFunc(func() { close(writeCancelled) }), writeCancelled}
	c.release()
	ageIdleConns(p, lateResponseWait)
	uploadReader, uploadWriter := io.Pipe()
	go func() { besteffort.Output(uploadWriter.Write(pattern(10))); besteffort.Close(uploadWriter) }()
	o := getRequest("/api/x")
	o.method, o.body = "POST", pattern(maxBufferedBody+1)
	o.upload = &upload{length: maxBufferedBody + 11, pipe: uploadReader, responseTimeout: testTimeout, readingEnded: make(chan struct{}), onComplete: func(time.Duration) {},
		clientGone: func() bool { return false }}
	got := p.attempt(ctx, 1, o, alwaysMayWrite, nil)
	if got.outcome != balancer.Rejected || got.bodyDiscarded || p.forwards.Load() != 0 {
		t.Errorf("outcome %d, body discarded %v, %d requests written; want Rejected, false, 0", got.outcome, got.bodyDiscarded, p.forwards.Load())
	}
	besteffort.Close(uploadReader)
}
