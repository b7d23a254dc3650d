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
	"wrenspread/internal/proxy/memory"
)

// acceptMemory is what is reserved for the next connection while there is none.
const acceptMemory = memory.Connection

const uploadHeadFormat = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\n"

// TestUploadsArriveUnchanged checks that request bodies of all sizes reach the backend unchanged, both with a
// stated length and in chunks, and that no memory remains reserved.
func TestUploadsArriveUnchanged(t *testing.T) {
	http.DefaultTransport.(*http.Transport).CloseIdleConnections() // of the readiness checks, also of other tests
	srv := startProxy(t, digestServer(t))
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	for _, size := range []int{0, 1, maxSmallBody, maxSmallBody + 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 300000, maxStreamedBody} {
		body := pattern(size)
		for _, chunked := range []bool{false, true} {
			var sent io.Reader = bytes.NewReader(body)
			if chunked {
				sent = struct{ io.Reader }{sent}
			}
			a := do(t, srv.request(t, "POST", "pagar", "q", "20", sent))
			if a.status != 200 || a.body != digestOf(body) {
				t.Errorf("%d bytes, in chunks %v: %d %q, want %q", size, chunked, a.status, a.body, digestOf(body))
			}
		}
	}
	waitUntil(t, "all reserved memory to be returned", func() bool { return srv.memory.Used() <= acceptMemory })
}

// TestOversizedUploadsAreRejected checks that a body of more than maxStreamedBody bytes is rejected as soon
// as its size is known, and that no backend receives it completely.
func TestOversizedUploadsAreRejected(t *testing.T) {
	srv := startProxy(t, digestServer(t))
	c := srv.dial(t)
	besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+"Content-Length: %d\r\n\r\n", "q", maxStreamedBody+1))
	if s := c.readStatus(t); s != http.StatusRequestEntityTooLarge {
		t.Errorf("response %d, want 413", s)
	}
	c = srv.dial(t)
	besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+"Transfer-Encoding: chunked\r\n\r\n%x\r\n", "q", maxStreamedBody+2))
	go func() { besteffort.Output(c.Write(make([]byte, maxStreamedBody+1))) }()
	if resp, err := http.ReadResponse(c.reader, nil); err == nil && resp.StatusCode < 400 {
		t.Errorf("in chunks: response %s, want an error", resp.Status)
	}
}

// TestAbortedUploadEjectsNoEndpointAndLeavesNothing checks that, if a client breaks off an upload, no
// backend receives a complete request, no endpoint is ejected, and no request and no reserved memory remain.
func TestAbortedUploadEjectsNoEndpointAndLeavesNothing(t *testing.T) {
	headReceived, bodyEnded := make(chan bool, 1), make(chan error, 1)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		headReceived <- true
		_, err = io.Copy(io.Discard, req.Body)
		bodyEnded <- err
	}))
	address := srv.serveControlRoutes(t)
	for _, framing := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"} {
		c := srv.dial(t)
		besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+framing, framing[:1])) // another ID for each request, because the previous request may not have ended yet
		besteffort.Output(c.Write(make([]byte, 200000)))
		wait(t, headReceived, "the head")
		besteffort.Close(c)
		if err := wait(t, bodyEnded, "the body to end"); err == nil {
			t.Errorf("%q: the backend received a complete request", framing)
		}
		waitForStat(t, address, "app.outstanding:0|g")
	}
	waitForStat(t, address, "app.ejected:0|g")
	http.DefaultTransport.(*http.Transport).CloseIdleConnections() // of the readiness checks
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		openRequests := make(chan int, 1)
		srv.post(func() { openRequests <- len(srv.requests) })
		if <-openRequests == 0 && srv.memory.Used() <= acceptMemory {
			return
		}
		if time.Now().After(until) {
			t.Fatal("timed out waiting for the requests to end and the reserved memory to be released")
		}
	}
}

// TestEarlyRejectionOfAnUploadReachesTheClient checks a backend that rejects an upload, or closes the
// connection, before the body ends. The request was never executed. The client receives a rejection, which
// tells it that a retry is safe, although it is still sending.
func TestEarlyRejectionOfAnUploadReachesTheClient(t *testing.T) {
	for name, rawResponse := range map[string]string{
		"rejected": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"closed":   "",
	} {
		srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.CopyN(io.Discard, req.Body, maxBufferedBody+50000)
				besteffort.Output(io.WriteString(c, rawResponse))
			}
		}))
		c := srv.dial(t)
		besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+"Content-Length: 1000000\r\n\r\n", "q"))
		besteffort.Output(c.Write(make([]byte, 200000)))
		if s := c.readStatus(t); s != http.StatusServiceUnavailable {
			t.Errorf("%s: response %d, want 503", name, s)
		}
	}
}

// TestRejectionWaitsUntilTheUploadIsSent checks that a client that sends its complete body before it reads
// the response is not cut off. The rejection waits until the body has been sent, but is counted earlier, when it
// is decided.
func TestRejectionWaitsUntilTheUploadIsSent(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	address := srv.serveControlRoutes(t)
	c := srv.dial(t)
	besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+"Content-Length: 30000000\r\n\r\n", "q"))
	for sent := 0; sent < 30000000; sent += 100000 {
		if _, err := c.Write(make([]byte, 100000)); err != nil {
			t.Fatalf("cut off after %d bytes: %v", sent, err)
		}
		if sent == 200000 {
			waitForStat(t, address, "app.results.pagar.declined:1|c")
			time.Sleep(700 * time.Millisecond) // longer than net/http waits for a client that it has asked to close
		}
	}
	if s := c.readStatus(t); s != http.StatusServiceUnavailable {
		t.Errorf("response %d, want 503", s)
	}
}

// TestUnsentUploadIsRetried checks that an upload is retried if no connection could be established. The
// part of its body that is not buffered has not been read from the client by then.
func TestUnsentUploadIsRetried(t *testing.T) {
	srv := startProxy(t, refusingAddress(t), digestServer(t))
	body := pattern(500000)
	for i := range 10 {
		a := do(t, srv.request(t, "POST", "pagar", fmt.Sprint("q", i), "20", bytes.NewReader(body)))
		if a.status != 200 || a.body != digestOf(body) {
			t.Fatalf("%d %q", a.status, a.body)
		}
	}
}

// TestUploadDeadlineRunsFromItsLastByte checks that the deadline of an upload counts from its last byte, both
// in the proxy and in the balancer, and that the request is counted as outstanding only from then on.
func TestUploadDeadlineRunsFromItsLastByte(t *testing.T) {
	received, release := make(chan bool, 1), make(chan struct{})
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			received <- true
			_, _ = io.Copy(io.Discard, req.Body)
			received <- true
			<-release
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	address := srv.serveControlRoutes(t)
	c := srv.dial(t)
	body := pattern(200000)
	besteffort.Output(fmt.Fprintf(c, strings.Replace(uploadHeadFormat, "20", "60", 1)+"Content-Length: %d\r\n\r\n", "q", len(body)))
	besteffort.Output(c.Write(body[:150000]))
	wait(t, received, "the head")
	waitForStat(t, address, "app.outstanding:0|g")
	before := time.Now()
	besteffort.Output(c.Write(body[150000:]))
	wait(t, received, "the last byte")
	waitForStat(t, address, "app.outstanding:1|g")
	deadline := make(chan time.Time, 1)
	srv.post(func() { deadline <- srv.requests["q"].deadline })
	if at := wait(t, deadline, "the loop"); at.Before(before.Add(time.Minute - answerMargin)) {
		t.Error("the deadline counts from before the last byte")
	}
	close(release)
	if s := c.readStatus(t); s != 200 {
		t.Errorf("response %d, want 200", s)
	}
	waitForStat(t, address, "app.results.pagar.succeeded:1|c")
	waitForStat(t, address, "app.outstanding:0|g")
}

// TestPipelinedUploadsAreSeparateRequests checks that long requests that follow each other on one connection
// are served as separate requests.
func TestPipelinedUploadsAreSeparateRequests(t *testing.T) {
	srv := startProxy(t, digestServer(t))
	c := srv.dial(t)
	body := pattern(150000)
	var requests bytes.Buffer
	for i := range 3 {
		fmt.Fprintf(&requests, uploadHeadFormat+"Content-Length: %d\r\n\r\n%s", fmt.Sprint("q", i), len(body), body)
	}
	go func() { besteffort.Output(c.Write(requests.Bytes())) }()
	for i := range 3 {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != digestOf(body) {
			t.Errorf("response %d: %q, %v", i, b, err)
		}
	}
}
