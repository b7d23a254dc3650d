package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// bodyFor returns a response body that is made for one request only.
func bodyFor(id string) string { return "the response to the request " + id }

// attemptID makes one attempt at endpoint 1 for a request with an ID of its own.
func attemptID(p *pool, id string, timeout time.Duration, header ...string) result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	o := getRequest("/api/x")
	o.header = http.Header{"X-Request-Id": {id}, "X-Class": {"saldo"}}
	for i := 0; i+1 < len(header); i += 2 {
		o.header.Set(header[i], header[i+1])
	}
	return p.attempt(ctx, 1, o, alwaysMayWrite, func(res result) error {
		_, err := io.Copy(io.Discard, res.stream.remaining)
		return err
	})
}

// respondingServer returns the address of a server that writes what respond returns for each request. number
// counts the connections from 0.
func respondingServer(t *testing.T, respond func(number int, id string) string) string {
	t.Helper()
	return backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			besteffort.Output(io.WriteString(conn, respond(number, req.Header.Get("X-Request-Id"))))
		}
	})
}

// TestSecondResponseOnABusyConnectionIsNotServed guards against foreign answers: a second response that comes
// after the next request has been sent was served to that request, and shifted all later ones.
func TestSecondResponseOnABusyConnectionIsNotServed(t *testing.T) {
	for name, spoilt := range map[string]string{"next request": "q2", "request after that": "q3"} {
		t.Run(name, func(t *testing.T) {
			p := testPool(respondingServer(t, func(_ int, id string) string {
				response := okResponseWith(bodyFor(id))
				if id == spoilt {
					return okResponseWith(bodyFor("q1")) + response
				}
				return response
			}))
			for i := range 6 {
				id := fmt.Sprintf("q%d", i)
				ageIdleConns(p, lateResponseWait)
				got := attemptID(p, id, testTimeout)
				if got.outcome != balancer.OK || string(got.body) != bodyFor(id) {
					t.Errorf("%s: outcome %d with %q", id, got.outcome, got.body)
				}
				if discarded := id == spoilt; (got.repeatsDiscarded > 0) != discarded || discarded && len(p.backends[1].idle) > 0 {
					t.Errorf("%s: %d responses discarded, %d connections idle", id, got.repeatsDiscarded, len(p.backends[1].idle))
				}
			}
		})
	}
}

// TestSecondFailureProvesNothing guards against a second rejection that is taken for the next one, so that a
// payment would be retried although it runs, and against the shift of all later responses after it.
func TestSecondFailureProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		response    string
		first, next balancer.Outcome
	}{
		"rejection": {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, balancer.ServerError},
		"error":     {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, balancer.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			p := testPool(respondingServer(t, func(int, string) string { return c.response }))
			for i, want := range []balancer.Outcome{c.first, c.next, c.first} { // the third one is on a new connection
				ageIdleConns(p, lateResponseWait)
				if got := attemptID(p, fmt.Sprint("q", i), testTimeout); got.outcome != want {
					t.Errorf("attempt %d: outcome %d, want %d", i, got.outcome, want)
				}
				if idle := len(p.backends[1].idle); (idle == 0) != (i == 1) {
					t.Errorf("attempt %d: %d connections idle", i, idle)
				}
			}
			p.backends[1].idle[0].history = responseHistory{rejectedAt: time.Now().Add(-failureRepeatWindow), failedAt: time.Now().Add(-failureRepeatWindow)}
			ageIdleConns(p, lateResponseWait)
			if got := attemptID(p, "later", testTimeout); got.outcome != c.first || len(p.backends[1].idle) != 1 {
				t.Errorf("after failureRepeatWindow: outcome %d with %d connections idle, want %d with 1", got.outcome, len(p.backends[1].idle), c.first)
			}
		})
	}
}

// TestConnectionOfALongResponseIsNotReused guards against a second long response, which could not be told from
// the next one.
func TestConnectionOfALongResponseIsNotReused(t *testing.T) {
	p := testPool(respondingServer(t, func(int, string) string { return okResponseWith(strings.Repeat("x", maxBufferedBody+1)) }))
	if got := attemptID(p, "q", testTimeout); got.outcome != balancer.OK || len(p.backends[1].idle) != 0 {
		t.Errorf("outcome %d with %d connections idle, want OK with none", got.outcome, len(p.backends[1].idle))
	}
}

// TestEqualBodiesOfDifferentRequestsAreServed guards against taking equal responses for repeated ones where
// backends give equal bodies by design.
func TestEqualBodiesOfDifferentRequestsAreServed(t *testing.T) {
	p := testPool(respondingServer(t, func(_ int, id string) string { return okResponseWith(bodyFor(id[:1])) }))
	attempt := func(id string, timeout time.Duration, header ...string) balancer.Outcome {
		ageIdleConns(p, lateResponseWait)
		return attemptID(p, id, timeout, header...).outcome
	}
	key := []string{"Idempotency-Key", "k"}
	for _, id := range []string{"a1", "b1", "a2"} { // a2 gets the stored response of the same operation
		if got := attempt(id, testTimeout, key...); got != balancer.OK {
			t.Errorf("%s: outcome %d, want OK", id, got)
		}
	}
	if got := attempt("b2", 50*time.Millisecond); got != balancer.TimedOut {
		t.Errorf("equal body of another operation: outcome %d, want TimedOut", got)
	}
	for i := range 3 { // on a new connection, no response can be a second one; after that, equal bodies are usual
		if got := attempt(fmt.Sprint("b3", i), testTimeout); got != balancer.OK {
			t.Errorf("b3%d: outcome %d, want OK", i, got)
		}
	}
}

// TestClassIdentifiesItsResponsesUntilBodiesAreShared checks what makes equal bodies usual in a class.
func TestClassIdentifiesItsResponsesUntilBodiesAreShared(t *testing.T) {
	at := time.Now()
	first := recentResponse{digest: bodyDigest{20, 1}, class: "c", requestID: "1", connNumber: 1, at: at}
	other := recentResponse{digest: bodyDigest{20, 2}, class: "c", requestID: "2", connNumber: 1, at: at}
	equal := func(connNumber uint64, id string, later time.Duration) recentResponse {
		return recentResponse{digest: first.digest, class: "c", requestID: id, connNumber: connNumber, at: at.Add(later)}
	}
	for name, c := range map[string]struct {
		responses              []recentResponse
		unexplained, explained int
		want                   bool
	}{
		"one body":                           {responses: []recentResponse{first}},
		"two bodies":                         {responses: []recentResponse{first, other}, want: true},
		"equal on another connection":        {responses: []recentResponse{first, other, equal(2, "3", 0)}},
		"equal for the same request":         {responses: []recentResponse{first, other, equal(2, "1", 0)}, want: true},
		"equal soon on the same connection":  {responses: []recentResponse{first, other, equal(1, "3", repeatWindow)}, want: true},
		"equal later on the same connection": {responses: []recentResponse{first, other, equal(1, "3", repeatWindow+1)}},
		"repeats without a successor":        {[]recentResponse{first, other}, maxUnexplainedRepeats, maxUnexplainedRepeats - 1, false},
		"repeats with successors":            {[]recentResponse{first, other}, maxUnexplainedRepeats, maxUnexplainedRepeats, true},
	} {
		v := newResponseVariety()
		for _, r := range c.responses {
			v.record(r)
		}
		for i := range c.unexplained + c.explained {
			v.recordDiscarded("c", i < c.explained)
		}
		if got := v.identifies("c"); got != c.want {
			t.Errorf("%s: identifies %v, want %v", name, got, c.want)
		}
	}
}
