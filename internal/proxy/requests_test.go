package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// TestRequestAndResponseAreForwarded checks the target, headers, body and remaining X-Deadline that a backend
// receives, and the headers and body that a client receives.
func TestRequestAndResponseAreForwarded(t *testing.T) {
	seen := make(chan *http.Request, 1)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		seen <- req
		besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-App: yes\r\nX-Load: nonsense\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}))
	req := srv.request(t, "POST", "pedido", "id-1", "20", strings.NewReader("rent"))
	req.Header.Set("Idempotency-Key", "k-1")
	req.Header.Set("Connection", "X-Secret, Idempotency-Key")
	req.Header.Set("X-Secret", "s")
	got := do(t, req)
	if got.status != 200 || got.body != "rent" || got.header.Get("X-App") != "yes" || got.header.Get("X-Load") != "" {
		t.Errorf("response %+v", got)
	}
	forwarded := <-seen
	deadline, err := strconv.ParseFloat(forwarded.Header.Get("X-Deadline"), 64)
	if err != nil || deadline <= 0 || deadline >= 20 {
		t.Errorf("X-Deadline %q, want a little under 20", forwarded.Header.Get("X-Deadline"))
	}
	if forwarded.Method != "POST" || forwarded.RequestURI != "/api/key?a=1" || forwarded.Header.Get("X-Request-Id") != "id-1" ||
		forwarded.Header.Get("Idempotency-Key") != "k-1" || forwarded.Header.Get("X-Secret") != "" {
		t.Errorf("the backend received %s %s %v", forwarded.Method, forwarded.RequestURI, forwarded.Header)
	}
}

// TestTruncatedResponseIsAFailedAttempt checks that a response that breaks off within its body does not
// reach the client: another backend serves the request.
func TestTruncatedResponseIsAFailedAttempt(t *testing.T) {
	var number atomic.Int32
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		if number.Add(1) == 1 {
			besteffort.Output(io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal"))
			return
		}
		besteffort.Output(io.WriteString(c, okResponse))
	}
	srv := startProxy(t, backendServer(t, serve), backendServer(t, serve))
	if got := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); got.status != 200 || got.body != "hi" || number.Load() != 2 {
		t.Errorf("response %+v after %d attempts, want 200 with hi after 2", got, number.Load())
	}
}

// TestNonIdempotentRequestIsNotRetried checks that a request that may have been executed fails with 502 after
// one attempt. A rejection with 503 would tell the client that a retry is safe.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	var number atomic.Int32
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			number.Add(1)
		}
	}
	srv := startProxy(t, backendServer(t, serve), backendServer(t, serve))
	got := do(t, srv.request(t, "POST", "pagar", "q", "20", strings.NewReader("x")))
	if got.status != http.StatusBadGateway || number.Load() != 1 {
		t.Errorf("response %+v after %d attempts, want 502 after one", got, number.Load())
	}
}

// TestUnreachableBackendIsRejectedAtOnceWithRetryAfter checks that a request that no backend can receive
// is rejected long before its deadline, with a Retry-After.
func TestUnreachableBackendIsRejectedAtOnceWithRetryAfter(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	began := time.Now()
	got := do(t, srv.request(t, "POST", "pagar", "q", "600", strings.NewReader("x")))
	if got.status != http.StatusServiceUnavailable || time.Since(began) > testTimeout {
		t.Errorf("response %+v after %v, want a rejection at once", got, time.Since(began))
	}
	if retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || retryAfter <= 0 || retryAfter > 2 {
		t.Errorf("Retry-After %q, want up to 2 s", got.header.Get("Retry-After"))
	}
}

// TestRequestToSilentBackendFailsAtItsDeadline checks that a request to a backend that does not
// respond is answered with a failure, shortly before its deadline, and that its attempt ends.
func TestRequestToSilentBackendFailsAtItsDeadline(t *testing.T) {
	server, _, gone := silentServer(t)
	srv := startProxy(t, server)
	began := time.Now()
	got := do(t, srv.request(t, "POST", "pagar", "q", "2", strings.NewReader("x")))
	if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout || time.Since(began) < 1500*time.Millisecond {
		t.Errorf("response %+v after %v, want a failure at the deadline", got, time.Since(began))
	}
	wait(t, gone, "the attempt to end")
}

// TestDeadlineGuardAnswersAForgottenRequest checks that a request that the balancer has lost is
// answered nevertheless, and that its attempt ends.
func TestDeadlineGuardAnswersAForgottenRequest(t *testing.T) {
	server, got, gone := silentServer(t)
	srv := startProxy(t, server)
	responses := make(chan receivedResponse, 1)
	go func() { responses <- do(t, srv.request(t, "GET", "saldo", "q", "60", nil)) }()
	wait(t, got, "the attempt")
	srv.post(func() {
		srv.balancer = balancer.New(srv.config.Settings, 1)
		srv.requests["q"].deadlineGuard.Reset(0)
	})
	if a := wait(t, responses, "the response"); a.status != http.StatusGatewayTimeout {
		t.Errorf("response %+v, want 504", a)
	}
	wait(t, gone, "the attempt to end")
}

// TestDepartedClientEndsItsAttemptAndRequest checks that a request's attempt ends and the proxy forgets the
// request when the client cancels it.
func TestDepartedClientEndsItsAttemptAndRequest(t *testing.T) {
	server, got, gone := silentServer(t)
	srv := startProxy(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(srv.request(t, "GET", "saldo", "q", "60", nil).WithContext(ctx))
		failed <- err
	}()
	wait(t, got, "the attempt")
	cancel()
	if err := wait(t, failed, "the client to fail"); !errors.Is(err, context.Canceled) {
		t.Errorf("client fails with %v, want context.Canceled", err)
	}
	wait(t, gone, "the attempt to end")
	openRequests := make(chan int, 1)
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		srv.post(func() { openRequests <- len(srv.requests) })
		if count := <-openRequests; count == 0 {
			break
		} else if time.Now().After(until) {
			t.Fatalf("%d requests are still open", count)
		}
	}
}

// TestDuplicateIDOfAnOpenRequestIsAConflict checks that two open requests with the same ID cannot get
// each other's responses: the second is answered with 409.
func TestDuplicateIDOfAnOpenRequestIsAConflict(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 2)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	first := make(chan receivedResponse, 1)
	go func() { first <- do(t, srv.request(t, "GET", "saldo", "q", "60", nil)) }()
	wait(t, got, "the attempt")
	if a := do(t, srv.request(t, "GET", "saldo", "q", "60", nil)); a.status != http.StatusConflict {
		t.Errorf("second request: %+v, want 409", a)
	}
	close(release)
	if a := wait(t, first, "the response"); a.status != 200 {
		t.Errorf("first request: %+v, want 200", a)
	}
}

// TestHalfClosedClientGetsAFailure checks the response to a client that closes only its sending side. Like a
// close, this cancels the request's context. If the handler then returned without a response, the HTTP server
// would send 200.
func TestHalfClosedClientGetsAFailure(t *testing.T) {
	server, got, gone := silentServer(t)
	srv := startProxy(t, server)
	for _, extraBytes := range []int{0, 40000} { // unread bytes must not turn the proxy's close into a reset
		c := srv.dial(t)
		c.sendGet(t, "saldo", fmt.Sprint(extraBytes), "60")
		wait(t, got, "the attempt")
		besteffort.Output(io.WriteString(c, strings.Repeat("x", extraBytes)))
		_ = c.CloseWrite()
		wait(t, gone, "the attempt to end")
		if s := c.readStatus(t); s < 500 {
			t.Errorf("%d bytes after the request: response %d, want a failure", extraBytes, s)
		}
		if _, err := io.ReadAll(c.reader); err != nil {
			t.Errorf("%d bytes after the request: connection ends with %v", extraBytes, err)
		}
	}
}
