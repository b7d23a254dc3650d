package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// waitingAttempts are requests whose next attempt waits for its connection when the client leaves.
var waitingAttempts = []struct {
	name  string
	dials int32                           // number of the connection that is established late
	next  func(n *running, answer func()) // starts that attempt once the first one runs; nil if it is the first
	sent  string
}{
	{"first", 1, nil, wholeGet},
	{"trial of a suspect", 1, nil, wholeGet},
	{"first of one with a body", 1, nil, wholePost},
	{"first of one in chunks", 1, nil, chunkedPost},
	{"further, as the first has failed", 2, func(_ *running, answer func()) { answer() }, wholeGet},
	{"further, beside the first", 2, func(n *running, _ func()) {
		n.do(func() {
			n.carryOut(balancer.StartAttempt{ID: "q", Endpoint: n.listedEndpoints["s-0"], WriteBy: math.MaxInt64})
		})
	}, wholeGet},
	{"first of a long one, amid it", 1, nil, fmt.Sprintf(postHead+"Content-Length: 1000000\r\n\r\n", "q") + strings.Repeat("x", 70000)},
	{"first of a long one in chunks, amid it", 1, nil, fmt.Sprintf(postHead+"Transfer-Encoding: chunked\r\n\r\nf4240\r\n", "q") + strings.Repeat("x", 70000)},
	{"first of a long one", 1, nil, fmt.Sprintf(postHead+"Content-Length: 70000\r\n\r\n", "q") + strings.Repeat("x", 70000)},
}

// TestNoAttemptStartsForADepartedClient checks that no attempt is sent for a client that left, in
// whatever way and with whatever bytes behind its request, also where the settings do not allow
// cancellation. The proxy detects the departure itself, before the connection is established.
func TestNoAttemptStartsForADepartedClient(t *testing.T) {
	for _, w := range waitingAttempts {
		for how, leave := range clientDepartures {
			for _, behind := range []int{0, 20, 40000} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes behind", w.name, how, behind), func(t *testing.T) {
					t.Parallel()
					began, release := make(chan bool, 10), make(chan struct{})
					script := func(_ int, c net.Conn, r *bufio.Reader) {
						if _, err := r.Peek(1); err != nil {
							return
						}
						began <- true
						readRequest(r)
						<-release
						besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
					}
					var dial blockedDials
					n := startNodeWith(t, func(n *Server) {
						dial = blockDials(n, w.dials)
						n.config.Settings.AllowCancel, n.config.Settings.AllowHedging = false, true
						n.balancer = balancer.New(n.config.Settings, 1)
					}, backendServer(t, script), backendServer(t, script))
					if strings.HasPrefix(w.name, "trial") {
						n.ejectAllEndpoints(t)
					}
					c := n.dial(t)
					besteffort.Output(io.WriteString(c, w.sent))
					answered := false
					answer := func() { answered = true; close(release) }
					if w.next != nil {
						wait(t, began, "the first attempt")
						w.next(n, answer)
					}
					wait(t, dial.began, "the connection to begin")
					besteffort.Output(io.WriteString(c, strings.Repeat("x", behind)))
					leave(c)
					n.waitAbandoned(t, "q")
					close(dial.release)
					if !answered {
						answer()
					}
					n.waitNoRequests(t)
					if len(began) > 0 {
						t.Error("an attempt reached a backend")
					}
				})
			}
		}
	}
}

// ejectAllEndpoints makes the balancer eject all endpoints, so long ago that the next request is a
// recovery probe.
func (n *running) ejectAllEndpoints(t *testing.T) {
	t.Helper()
	n.runOnLoop(t, func() {
		now := n.now() - 10*time.Second
		for i := 0; n.balancer.Ejected() < len(n.listedEndpoints) && i < 100; i++ {
			id := balancer.RequestID(fmt.Sprint("refused", i))
			actions := n.balancer.Handle(now, balancer.RequestArrived{ID: id, Class: "saldo", Timeout: time.Second})
			for attempt := 0; len(actions) > 0; attempt++ {
				s, sent := actions[0].(balancer.StartAttempt)
				if actions = nil; sent {
					actions = n.balancer.Handle(now, balancer.AttemptEnded{ID: id, Attempt: attempt, Endpoint: s.Endpoint, Outcome: balancer.ConnectFailed})
				}
			}
		}
		if n.balancer.Ejected() < len(n.listedEndpoints) {
			t.Error("not all endpoints are ejected")
		}
	})
}

// TestLastUploadByteIsWithheldWhenTheClientHasLeft checks that a backend does not get the last byte of an
// upload whose client has left, so that it does not begin to serve it.
func TestLastUploadByteIsWithheldWhenTheClientHasLeft(t *testing.T) {
	for _, length := range []int64{maxBufferedBody + 5, -1} {
		received := make(chan error, 1)
		p := testPool(backendServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			received <- err
		}))
		read, write := io.Pipe()
		go func() {
			besteffort.Output(io.WriteString(write, "xxxxx"))
			besteffort.Close(write)
		}()
		o := get("/api/x")
		o.method, o.body = http.MethodPost, make([]byte, maxBufferedBody)
		o.upload = &upload{length: length, pipe: read, responseTimeout: enough, readingEnded: make(chan struct{}),
			onComplete: func(time.Duration) {}, clientGone: func() bool { return true }}
		ctx, cancel := context.WithTimeout(context.Background(), enough)
		defer cancel()
		if res := p.attempt(ctx, 1, o, alwaysMayWrite, nil); res.outcome != balancer.Cancelled || !res.bodyDiscarded {
			t.Errorf("length %d: outcome %d, body discarded %v, want Cancelled, true", length, res.outcome, res.bodyDiscarded)
		}
		if err := wait(t, received, "the backend to finish reading"); err == nil {
			t.Errorf("length %d: backend received a complete request", length)
		}
	}
}
