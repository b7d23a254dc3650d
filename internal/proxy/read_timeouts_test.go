package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestReadTimeoutsAreWithinBounds: a connection without an open request may be closed after 2 s, and not
// earlier. A client that does not send a complete request gets an error or a close within 3 s.
func TestReadTimeoutsAreWithinBounds(t *testing.T) {
	srv := New(testConfig("127.0.0.1:1"), discardLog).frontend.newHTTPServer()
	if h := srv.ReadHeaderTimeout; h <= 2*time.Second || h > 2500*time.Millisecond {
		t.Errorf("the timeout of a request head is %v, want above 2 s and at most 2.5 s", h)
	}
	if srv.ReadTimeout != 0 {
		t.Errorf("the timeout of a complete request is %v, want none", srv.ReadTimeout)
	}
	for _, c := range []struct {
		name                     string
		headTime, notReading     time.Duration // from the first byte to the head's end, and the time since then in which the proxy did not read
		received                 int64
		minDeadline, maxDeadline time.Duration // bounds of the deadline for the next part, from the first byte
	}{
		{"no body byte", 0, 0, 0, 2500 * time.Millisecond, 2800 * time.Millisecond},
		{"no body byte after a slow head", headTimeout, 0, 0, headTimeout, 2950 * time.Millisecond},
		{"64 KiB per second", 2 * time.Second, 0, 320 << 10, 8 * time.Second, 13 * time.Second},
		{"a few bytes", 0, 0, 5, 2500 * time.Millisecond, 2800 * time.Millisecond},
		{"not read by the server for 20 s", 0, 20 * time.Second, 32 << 10, 21 * time.Second, 22 * time.Second},
	} {
		start := time.Now()
		b := bodyReader{startedAt: start, headEnd: start.Add(c.headTime).Add(c.notReading), received: c.received}
		if by := b.progressDeadline().Sub(start); by < c.minDeadline || by > c.maxDeadline {
			t.Errorf("%s: %v, want %v to %v", c.name, by, c.minDeadline, c.maxDeadline)
		}
	}
}

// TestDeadlineCountsFromTheLastByte: a request's deadline counts from the last byte of its body, so that a
// body that arrives late does not shorten it.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	server, got, _ := silentServer(t)
	srv := startProxy(t, server)
	c := srv.dial(t)
	besteffort.Output(io.WriteString(c, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\n"+
		"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if line, err := c.reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("%q, %v, want 100 Continue", line, err)
	}
	before := time.Now()
	besteffort.Output(io.WriteString(c, "ab"))
	wait(t, got, "the attempt")
	deadline := make(chan time.Time, 1)
	srv.post(func() { deadline <- srv.requests["q"].deadline })
	if least := before.Add(time.Minute - answerMargin); (<-deadline).Before(least) {
		t.Error("the deadline counts from before the last byte of the body")
	}
}

// TestReadTimeoutDoesNotLimitTheResponse: a response that takes longer than readTimeout reaches its client.
func TestReadTimeoutDoesNotLimitTheResponse(t *testing.T) {
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			time.Sleep(readTimeout + 200*time.Millisecond)
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	if a := do(t, srv.request(t, "POST", "pagar", "q", "60", strings.NewReader("x"))); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	}
}

// TestUnfinishedRequestsGetErrorOrClose: clients that send nothing, or stop sending within a head or a body,
// get an error or a close, and their requests reach no backend.
func TestUnfinishedRequestsGetErrorOrClose(t *testing.T) {
	server, got := echoServer(t)
	srv := startProxy(t, server)
	for _, sent := range []string{
		"", "G", "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Req",
		rawPost("1.1", "part", "Content-Length: 9\r\n", "four"),
		rawPost("1.1", "none", "Content-Length: 9\r\n", ""),
		rawPost("1.1", "chunk", "Transfer-Encoding: chunked\r\n", "4\r\nab"),
	} {
		t.Run(fmt.Sprintf("%.20q %d", sent, len(sent)), func(t *testing.T) {
			t.Parallel()
			c := srv.dial(t)
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(c.reader, nil)
			if err == nil && (resp.StatusCode < 400 || !resp.Close) {
				t.Errorf("response %s, connection kept open: %v, want an error and a close", resp.Status, !resp.Close)
			}
			if ne, ok := err.(interface{ Timeout() bool }); ok && ne.Timeout() {
				t.Error("the client receives neither an error nor a close")
			}
		})
	}
	t.Cleanup(func() {
		select {
		case id := <-got:
			t.Errorf("request %q reached a backend", id)
		default:
		}
	})
}
