package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const postHead = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\n"

// TestUploadsArriveUnchanged checks that request bodies of all sizes reach the backend unchanged, with a
// stated length and in chunks, and that no memory stays reserved.
func TestUploadsArriveUnchanged(t *testing.T) {
	n := startNode(t, digests(t))
	for _, size := range []int{0, 1, maxSmallBody, maxSmallBody + 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 300000, maxStreamedBody} {
		body := pattern(size)
		for _, chunked := range []bool{false, true} {
			var sent io.Reader = bytes.NewReader(body)
			if chunked {
				sent = struct{ io.Reader }{sent}
			}
			a := do(t, n.request(t, "POST", "pagar", "q", "20", sent))
			if a.status != 200 || a.body != digest(body) {
				t.Errorf("%d bytes, in chunks %v: %d %q, want %q", size, chunked, a.status, a.body, digest(body))
			}
		}
	}
	if left := len(n.frontend.memory); left != 0 {
		t.Errorf("%d messages are still in the memory budget", left)
	}
}

// TestOversizedUploadsAreRejected checks that a body of more than maxStreamedBody bytes is rejected as
// soon as its size is known, and reaches no backend completely.
func TestOversizedUploadsAreRejected(t *testing.T) {
	n := startNode(t, digests(t))
	c := n.dial(t)
	besteffort.Output(fmt.Fprintf(c, postHead+"Content-Length: %d\r\n\r\n", "q", maxStreamedBody+1))
	if s := c.status(t); s != http.StatusRequestEntityTooLarge {
		t.Errorf("response %d, want 413", s)
	}
	c = n.dial(t)
	besteffort.Output(fmt.Fprintf(c, postHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n", "q", maxStreamedBody+2))
	go func() { besteffort.Output(c.Write(make([]byte, maxStreamedBody+1))) }()
	if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode < 400 {
		t.Errorf("in chunks: response %s, want an error", resp.Status)
	}
}

// TestAbortedUploadEjectsNoEndpointAndLeavesNothing checks that, if a client breaks off an upload, no
// backend gets a complete request, no endpoint is ejected for it, and no request or reserved memory
// remains.
func TestAbortedUploadEjectsNoEndpointAndLeavesNothing(t *testing.T) {
	got, broken := make(chan bool, 1), make(chan error, 1)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		got <- true
		_, err = io.Copy(io.Discard, req.Body)
		broken <- err
	}))
	address := n.operate(t)
	for _, framing := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		c := n.dial(t)
		besteffort.Output(fmt.Fprintf(c, postHead+framing, framing[:1])) // a separate ID, because the previous request may not have ended
		besteffort.Output(c.Write(make([]byte, 200000)))
		wait(t, got, "the head")
		besteffort.Close(c)
		if err := wait(t, broken, "the body's end"); err == nil {
			t.Errorf("%s: backend received a complete request", framing)
		}
		figure(t, address, "app.outstanding:0|g")
	}
	figure(t, address, "app.ejected:0|g")
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		left := make(chan int, 1)
		n.post(func() { left <- len(n.requests) })
		if <-left == 0 && len(n.frontend.memory) == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatal("a request or reserved memory remains")
		}
	}
}

// TestEarlyRejectionOfAnUploadReachesTheClient checks a backend that rejects an upload, or closes, before
// the body ends. The request was never executed, and its client gets a rejection, which makes a retry
// safe, though it is still sending.
func TestEarlyRejectionOfAnUploadReachesTheClient(t *testing.T) {
	for name, answer := range map[string]string{
		"turned away": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"gone":        "",
	} {
		n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.CopyN(io.Discard, req.Body, maxBufferedBody+50000)
				besteffort.Output(io.WriteString(c, answer))
			}
		}))
		c := n.dial(t)
		besteffort.Output(fmt.Fprintf(c, postHead+"Content-Length: 1000000\r\n\r\n", "q"))
		besteffort.Output(c.Write(make([]byte, 200000)))
		if s := c.status(t); s != http.StatusServiceUnavailable {
			t.Errorf("%s: response %d, want 503", name, s)
		}
	}
}

// TestRejectedClientMayFinishSending checks that a client that reads no response before it has sent its
// body is not cut off: the rejection waits for it, and is counted when it is made.
func TestRejectedClientMayFinishSending(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
	c := n.dial(t)
	besteffort.Output(fmt.Fprintf(c, postHead+"Content-Length: 30000000\r\n\r\n", "q"))
	for sent := 0; sent < 30000000; sent += 100000 {
		if _, err := c.Write(make([]byte, 100000)); err != nil {
			t.Fatalf("cut off after %d bytes: %v", sent, err)
		}
		if sent == 200000 {
			figure(t, address, "app.results.pagar.declined:1|c")
			time.Sleep(700 * time.Millisecond) // longer than net/http waits for a client that it has asked to close
		}
	}
	if s := c.status(t); s != http.StatusServiceUnavailable {
		t.Errorf("response %d, want 503", s)
	}
}

// TestUnsentUploadIsRetried checks that an upload is retried if no connection could be established,
// because nothing of it has been read from the client yet.
func TestUnsentUploadIsRetried(t *testing.T) {
	n := startNode(t, refusing(t), digests(t))
	body := pattern(500000)
	for i := range 10 {
		a := do(t, n.request(t, "POST", "pagar", fmt.Sprint("q", i), "20", bytes.NewReader(body)))
		if a.status != 200 || a.body != digest(body) {
			t.Fatalf("%d %q", a.status, a.body)
		}
	}
}

// TestUploadDeadlineRunsFromItsLastByte checks that the deadline of an upload runs from its last byte, in
// the proxy as in the balancer, and that the request counts as outstanding only from then on.
func TestUploadDeadlineRunsFromItsLastByte(t *testing.T) {
	received, release := make(chan bool, 1), make(chan struct{})
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			received <- true
			_, _ = io.Copy(io.Discard, req.Body)
			received <- true
			<-release
			besteffort.Output(io.WriteString(c, okAnswer))
		}
	}))
	address := n.operate(t)
	c := n.dial(t)
	body := pattern(200000)
	besteffort.Output(fmt.Fprintf(c, strings.Replace(postHead, "20", "60", 1)+"Content-Length: %d\r\n\r\n", "q", len(body)))
	besteffort.Output(c.Write(body[:150000]))
	wait(t, received, "its head")
	figure(t, address, "app.outstanding:0|g")
	before := time.Now()
	besteffort.Output(c.Write(body[150000:]))
	wait(t, received, "its end")
	figure(t, address, "app.outstanding:1|g")
	deadline := make(chan time.Time, 1)
	n.post(func() { deadline <- n.requests["q"].deadline })
	if at := wait(t, deadline, "the loop"); at.Before(before.Add(time.Minute - answerMargin)) {
		t.Error("deadline runs from before the last byte")
	}
	close(release)
	if s := c.status(t); s != 200 {
		t.Errorf("response %d, want 200", s)
	}
	figure(t, address, "app.results.pagar.succeeded:1|c")
	figure(t, address, "app.outstanding:0|g")
}

// TestPipelinedUploadsAreSeparateRequests checks that what follows a long request on its connection is
// served as a separate request.
func TestPipelinedUploadsAreSeparateRequests(t *testing.T) {
	n := startNode(t, digests(t))
	c := n.dial(t)
	body := pattern(150000)
	var all bytes.Buffer
	for i := range 3 {
		fmt.Fprintf(&all, postHead+"Content-Length: %d\r\n\r\n%s", fmt.Sprint("q", i), len(body), body)
	}
	go func() { besteffort.Output(c.Write(all.Bytes())) }()
	for i := range 3 {
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != digest(body) {
			t.Errorf("response %d: %q, %v", i, b, err)
		}
	}
}
