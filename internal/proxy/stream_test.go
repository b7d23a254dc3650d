package proxy

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestStreamedResponsesArriveUnchanged checks that long responses reach the client unchanged in each form
// of framing, and that the request is counted as succeeded and no longer outstanding.
func TestStreamedResponsesArriveUnchanged(t *testing.T) {
	for _, size := range []int{maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 200000, 4 << 20} {
		body := pattern(size)
		for form, respond := range map[string]func(c net.Conn){
			"length": func(c net.Conn) {
				besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-App: yes\r\nContent-Length: %d\r\n\r\n", size))
				besteffort.Output(c.Write(body))
			},
			"chunks": func(c net.Conn) {
				besteffort.Output(io.WriteString(c, "HTTP/1.1 200 OK\r\nX-App: yes\r\nTransfer-Encoding: chunked\r\n\r\n"))
				for unsent := body; len(unsent) > 0; {
					n := min(len(unsent), 50000)
					besteffort.Output(fmt.Fprintf(c, "%x\r\n%s\r\n", n, unsent[:n]))
					unsent = unsent[n:]
				}
				besteffort.Output(io.WriteString(c, "0\r\n\r\n"))
			},
			"close": func(c net.Conn) {
				besteffort.Output(io.WriteString(c, "HTTP/1.1 200 OK\r\nX-App: yes\r\n\r\n"))
				besteffort.Output(c.Write(body))
				besteffort.Close(c)
			},
		} {
			srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					respond(c)
				}
			}))
			address := srv.serveControlRoutes(t)
			a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil))
			if a.status != 200 || digestOf([]byte(a.body)) != digestOf(body) || a.header.Get("X-App") != "yes" {
				t.Errorf("%d bytes, framing by %s: status %d, %d bytes", size, form, a.status, len(a.body))
			}
			waitForStat(t, address, "app.results.saldo.succeeded:1|c")
			waitForStat(t, address, "app.outstanding:0|g")
		}
	}
}

// TestTruncatedStreamIsVisibleToTheClientAndNotRetried checks that, in each form of framing, a client
// can detect that a long response has broken off. The request is counted as aborted and is not retried.
func TestTruncatedStreamIsVisibleToTheClientAndNotRetried(t *testing.T) {
	for form, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n",
		"reset":  "HTTP/1.1 200 OK\r\n\r\n",
	} {
		begun := make(chan bool, 1)
		srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if readRequest(r) != nil {
				besteffort.Output(io.WriteString(c, head))
				besteffort.Output(c.Write(pattern(300000)))
				if form == "reset" { // wait, because a reset discards the bytes that have not been sent yet
					<-begun
					besteffort.SocketOption(c.(*net.TCPConn).SetLinger(0))
				}
			}
		}))
		address := srv.serveControlRoutes(t)
		c := srv.dial(t)
		c.sendGet(t, "saldo", "q", "20")
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v", form, err)
		}
		begun <- true
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %d bytes look like a complete response", form, len(got))
		}
		waitForStat(t, address, "app.results.saldo.aborted:1|c")
		waitForStat(t, address, "app.forwards:1|c")
	}
}

// TestTruncatedStreamIsVisibleToAnOldClient guards against ending a truncated response of no stated length as
// if it were complete, for a client of HTTP/1.0, which has no chunks.
func TestTruncatedStreamIsVisibleToAnOldClient(t *testing.T) {
	begun := make(chan bool, 1)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			besteffort.Output(io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n"))
			besteffort.Output(c.Write(pattern(300000)))
			<-begun
		}
	}))
	c := srv.dial(t)
	besteffort.Output(io.WriteString(c, strings.Replace(completeGet, "HTTP/1.1", "HTTP/1.0", 1)))
	resp := c.readBegun(t)
	if _, err := io.ReadFull(resp.Body, make([]byte, 200000)); err != nil {
		t.Fatal(err)
	}
	begun <- true
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d further bytes look like the end of the response", len(got))
	}
}

// TestStreamOutlivesItsRequestDeadline checks that, after a long response has begun, only a stall ends it,
// and not its request's deadline. Received bytes are forwarded without delay.
func TestStreamOutlivesItsRequestDeadline(t *testing.T) {
	resume := make(chan struct{})
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBufferedBody+10))
			besteffort.Output(c.Write(make([]byte, maxBufferedBody)))
			<-resume
			besteffort.Output(c.Write(make([]byte, 10)))
		}
	}))
	c := srv.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, maxBufferedBody)); err != nil {
		t.Fatalf("received bytes are not forwarded: %v", err)
	}
	ended := make(chan int, 1)
	srv.post(func() { // what happens at the request's deadline
		attempts := srv.requests["q"].cancelAttempts
		for _, cancel := range attempts {
			cancel()
		}
		ended <- len(attempts)
	})
	if count := wait(t, ended, "the loop"); count != 1 {
		t.Errorf("%d attempts, want 1", count)
	}
	close(resume)
	if b, err := io.ReadAll(resp.Body); err != nil || len(b) != 10 {
		t.Errorf("the last part has %d bytes, %v, want 10", len(b), err)
	}
}

// TestSlowClientAppliesBackpressureToTheBackend checks that the proxy stops reading a long response while
// its client does not read, so that the backend is blocked and the proxy contains only a small part of it.
func TestSlowClientAppliesBackpressureToTheBackend(t *testing.T) {
	blocked := make(chan bool, 1)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxStreamedBody))
		body := pattern(maxStreamedBody)
		for len(body) > 0 {
			besteffort.SocketOption(c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
			k, err := c.Write(body)
			if body = body[k:]; err != nil {
				select {
				case blocked <- true:
				default:
				}
			}
		}
	}))
	c := srv.dial(t)
	c.sendGet(t, "saldo", "q", "20")
	wait(t, blocked, "the backend to be blocked")
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := sha256.New()
	if k, err := io.Copy(h, resp.Body); err != nil || k != maxStreamedBody {
		t.Errorf("received %d bytes, %v, want maxStreamedBody", k, err)
	}
	if got := fmt.Sprintf("%d %x", maxStreamedBody, h.Sum(nil)); got != digestOf(pattern(maxStreamedBody)) {
		t.Error("the body has changed")
	}
}

// TestBytewiseResponseEndsAtItsDeadline checks that a response without a stated length that arrives byte
// by byte ends at its request's deadline, and that its client can detect this.
func TestBytewiseResponseEndsAtItsDeadline(t *testing.T) {
	srv := startProxy(t, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for over := time.Now().Add(testTimeout / 2); err == nil && time.Now().Before(over); time.Sleep(20 * time.Millisecond) {
			_, err = io.WriteString(conn, "1\r\nx\r\n")
		}
		besteffort.Output(io.WriteString(conn, "0\r\n\r\n"))
	}))
	c := srv.dial(t)
	c.sendGet(t, "saldo", "q", "3")
	resp := c.readBegun(t)
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d bytes look like a complete response", len(got))
	}
}

// TestDeadlineEndsOnlyStreamsNotKnownToBeLong checks that the request's deadline ends a streamed response
// only as long as the response is not known to be long.
func TestDeadlineEndsOnlyStreamsNotKnownToBeLong(t *testing.T) {
	for _, c := range []struct {
		length   int64
		start    int
		deadline time.Duration // from now
		complete bool
	}{
		{-1, 10, -time.Hour, false},
		{-1, maxBufferedBody, -time.Hour, false},
		{-1, 10, time.Hour, true},
		{-1, maxBufferedBody + 1, -time.Hour, true},
		{maxBufferedBody + 20, 10, -time.Hour, true},
	} {
		p := testPool(backendServer(t, func(_ int, conn net.Conn, _ *bufio.Reader) { besteffort.Output(conn.Write(make([]byte, 10))) }))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		conn, err := p.get(ctx, 1)
		if cancel(); err != nil {
			t.Fatal(err)
		}
		s := &responseStream{length: c.length, start: make([]byte, c.start), remaining: conn.Conn, conn: conn}
		w := httptest.NewRecorder()
		if err := s.writeTo(w, time.Now().Add(c.deadline)); (err == nil) != c.complete || c.complete && w.Body.Len() != c.start+10 {
			t.Errorf("%+v: %d bytes, %v", c, w.Body.Len(), err)
		}
		conn.closeDirty()
	}
}
