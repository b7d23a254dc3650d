package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// changeClasses reloads the settings with the given classes and waits until they are applied.
func (srv *runningProxy) changeClasses(t *testing.T, classes ...balancer.Class) {
	t.Helper()
	cfg := srv.currentConfig()
	cfg.Settings.Classes = classes
	srv.Reload(cfg)
	srv.runOnLoop(t, func() {})
}

// TestSettingsChangeBetweenHeadAndBodyKeepsIdempotency: new settings are applied after the head of a
// request has been read and before its body arrives. The request keeps the idempotency that its class had when
// the head was read. It is rejected without being sent if the balancer no longer has the settings of that time.
func TestSettingsChangeBetweenHeadAndBodyKeepsIdempotency(t *testing.T) {
	type settings [][]balancer.Class
	classWith := func(idempotency balancer.Idempotency) []balancer.Class {
		return []balancer.Class{{Name: "a", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: idempotency, DedupWindow: testTimeout}}
	}
	renamed := classWith(balancer.NotIdempotent)
	renamed[0].Name = "b"
	for _, c := range []struct {
		name                   string
		before                 settings
		method, key            string
		changes                settings
		wantStatus, wantServed int
	}{
		{"not idempotent, then idempotent", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{classWith(balancer.Idempotent)}, 502, 1},
		{"idempotent by key within a cell, then idempotent", settings{classWith(balancer.IdempotentByKey)}, "POST", "k", settings{classWith(balancer.Idempotent)}, 502, 2},
		{"not idempotent, then removed", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{renamed}, 502, 1},
		{"idempotent, then not idempotent", settings{classWith(balancer.Idempotent)}, "GET", "", settings{classWith(balancer.NotIdempotent)}, 503, 2},
		{"idempotent, then removed", settings{classWith(balancer.Idempotent)}, "GET", "", settings{renamed}, 503, 2},
		{"not idempotent, then removed, then idempotent", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{renamed, classWith(balancer.Idempotent)}, 503, 0},
		{"not idempotent, then by key, then idempotent", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{classWith(balancer.IdempotentByKey), classWith(balancer.Idempotent)}, 503, 0},
		{"not idempotent in the previous settings, then by key", settings{classWith(balancer.NotIdempotent), classWith(balancer.Idempotent)}, "POST", "", settings{classWith(balancer.IdempotentByKey)}, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served atomic.Int32
			closeAfterRequest := func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					served.Add(1)
				}
			}
			srv := startProxy(t, backendServer(t, closeAfterRequest), backendServer(t, closeAfterRequest))
			for _, classes := range c.before {
				srv.changeClasses(t, classes...)
			}
			conn := srv.dial(t)
			besteffort.Output(fmt.Fprintf(conn, "%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: a\r\nX-Deadline: 20\r\n"+
				"Expect: 100-continue\r\nContent-Length: 1\r\n", c.method))
			if c.key != "" {
				besteffort.Output(fmt.Fprintf(conn, "Idempotency-Key: %s\r\n", c.key))
			}
			besteffort.Output(fmt.Fprint(conn, "\r\n"))
			if line, err := conn.reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" { // the proxy has read the head
				t.Fatalf("first line %q, %v, want 100 Continue", line, err)
			}
			_, _ = conn.reader.ReadString('\n')
			for _, classes := range c.changes {
				srv.changeClasses(t, classes...)
			}
			besteffort.Output(fmt.Fprint(conn, "x"))
			if status := conn.readStatus(t); status != c.wantStatus || int(served.Load()) != c.wantServed {
				t.Errorf("status %d after %d attempts, want %d after %d", status, served.Load(), c.wantStatus, c.wantServed)
			}
		})
	}
}

// TestStopWaitsForDeadlinesOfOpenRequests: settings with shorter deadlines are applied while a request is open,
// and SIGTERM follows. The request keeps its own deadline.
func TestStopWaitsForDeadlinesOfOpenRequests(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	srv := startProxy(t, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(conn, okResponse))
		}
	}))
	responses := make(chan receivedResponse, 1)
	go func() { responses <- do(t, srv.request(t, "GET", "saldo", "q", "60", nil)) }()
	wait(t, got, "the attempt")
	srv.changeClasses(t, balancer.Class{Name: "saldo", LatencyObjective: time.Millisecond, Deadline: time.Millisecond, Idempotency: balancer.Idempotent})
	srv.stop()
	srv.endLateAccepting()
	wait(t, srv.listener.closed, "the listener to be closed")
	if remaining := srv.frontend.longestRemainingTime(); remaining < testTimeout {
		t.Errorf("the frontend waits for at most %v, want testTimeout or more", remaining)
	}
	close(release)
	if a := wait(t, responses, "the response"); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	}
}
