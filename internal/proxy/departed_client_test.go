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

// lateConnectionCases are requests of which one attempt still waits for its connection when the client leaves.
var lateConnectionCases = []struct {
	name             string
	lateDial         int32                                   // number of the first dial that is blocked
	startLateAttempt func(srv *runningProxy, respond func()) // starts the late attempt after the first attempt has begun; nil if the late attempt is the first one
	sent             string
}{
	{"first attempt", 1, nil, completeGet},
	{"recovery probe", 1, nil, completeGet},
	{"first attempt, with a body", 1, nil, completePost},
	{"first attempt, chunked body", 1, nil, chunkedPost},
	{"retry after the first attempt has failed", 2, func(_ *runningProxy, respond func()) { respond() }, completeGet},
	{"hedged request during the first attempt", 2, func(srv *runningProxy, _ func()) {
		srv.do(func() {
			srv.carryOut(balancer.StartAttempt{ID: "q", Endpoint: srv.listedEndpoints["s-0"], WriteBy: math.MaxInt64})
		})
	}, completeGet},
	{"first attempt, during a long upload", 1, nil, fmt.Sprintf(uploadHeadFormat+"Content-Length: 1000000\r\n\r\n", "q") + strings.Repeat("x", 70000)},
	{"first attempt, during a long chunked upload", 1, nil, fmt.Sprintf(uploadHeadFormat+"Transfer-Encoding: chunked\r\n\r\nf4240\r\n", "q") + strings.Repeat("x", 70000)},
	{"first attempt, after a long upload", 1, nil, fmt.Sprintf(uploadHeadFormat+"Content-Length: 70000\r\n\r\n", "q") + strings.Repeat("x", 70000)},
}

// discoveryPoll is the beginning of a call to discovery; no request of these tests begins so.
const discoveryPoll = "GET /registry"

// TestNoAttemptStartsForADepartedClient checks that no attempt is sent for a client that has left before the
// attempt's connection is established, however the client ended its connection and whatever bytes it sent after
// its request. The proxy detects this itself, even if the settings do not allow cancellation.
func TestNoAttemptStartsForADepartedClient(t *testing.T) {
	for _, testCase := range lateConnectionCases {
		for departure, leave := range clientDepartures {
			for _, extraBytes := range []int{0, 20, 40000} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes after the request", testCase.name, departure, extraBytes), func(t *testing.T) {
					t.Parallel()
					began, release := make(chan bool, 10), make(chan struct{})
					script := func(_ int, c net.Conn, r *bufio.Reader) {
						// The port may have been that of another test's discovery, which its proxy still polls.
						first, _ := r.Peek(len(discoveryPoll))
						if len(first) == 0 || string(first) == discoveryPoll {
							return
						}
						began <- true
						readRequest(r)
						<-release
						besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
					}
					var dial blockedDials
					srv := startProxyWith(t, func(srv *Server) {
						dial = blockDialsFrom(srv, testCase.lateDial)
						srv.config.Settings.AllowCancel, srv.config.Settings.AllowHedging = false, true
						srv.balancer = balancer.New(srv.config.Settings, 1)
					}, backendServer(t, script), backendServer(t, script))
					if strings.HasPrefix(testCase.name, "recovery probe") {
						srv.ejectAllEndpoints(t)
					}
					c := srv.dial(t)
					besteffort.Output(io.WriteString(c, testCase.sent))
					responded := false
					respond := func() { responded = true; close(release) }
					if testCase.startLateAttempt != nil {
						wait(t, began, "the first attempt")
						testCase.startLateAttempt(srv, respond)
					}
					wait(t, dial.started, "the connection to begin")
					besteffort.Output(io.WriteString(c, strings.Repeat("x", extraBytes)))
					leave(c)
					srv.waitAbandoned(t, "q")
					close(dial.release)
					if !responded {
						respond()
					}
					srv.waitNoRequests(t)
					if len(began) > 0 {
						t.Error("an attempt reached a backend after the client had left")
					}
				})
			}
		}
	}
}

// ejectAllEndpoints makes the balancer eject all endpoints at a time in the past, so that the next request is
// a recovery probe.
func (srv *runningProxy) ejectAllEndpoints(t *testing.T) {
	t.Helper()
	srv.runOnLoop(t, func() {
		now := srv.now() - 10*time.Second
		for i := 0; srv.balancer.Unavailable() < len(srv.listedEndpoints) && i < 100; i++ {
			id := balancer.RequestID(fmt.Sprint("refused", i))
			actions := srv.balancer.Handle(now, balancer.RequestArrived{ID: id, Class: "saldo", Timeout: time.Second})
			for attempt := 0; len(actions) > 0; attempt++ {
				s, sent := actions[0].(balancer.StartAttempt)
				if actions = nil; sent {
					actions = srv.balancer.Handle(now, balancer.AttemptEnded{ID: id, Attempt: attempt, Endpoint: s.Endpoint, Outcome: balancer.ConnectFailed})
				}
			}
		}
		if srv.balancer.Unavailable() < len(srv.listedEndpoints) {
			t.Error("not all endpoints are ejected")
		}
	})
}

// TestLastUploadByteIsWithheldWhenTheClientHasLeft checks that a backend does not receive the last byte
// of an upload whose client has left, so that the backend does not begin to serve the request.
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
		o := getRequest("/api/x")
		o.method, o.body = http.MethodPost, make([]byte, maxBufferedBody)
		o.upload = &upload{length: length, pipe: read, responseTimeout: testTimeout, readingEnded: make(chan struct{}),
			onComplete: func(time.Duration) {}, clientGone: func() bool { return true }}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if res := p.attempt(ctx, 1, o, alwaysMayWrite, nil); res.outcome != balancer.Cancelled || !res.bodyDiscarded {
			t.Errorf("length %d: outcome %d, body discarded %v, want Cancelled, true", length, res.outcome, res.bodyDiscarded)
		}
		if err := wait(t, received, "the backend to finish reading"); err == nil {
			t.Errorf("length %d: the backend received a complete request", length)
		}
	}
}
