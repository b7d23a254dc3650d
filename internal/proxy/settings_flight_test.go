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

// changeClasses reloads the settings with other classes and returns when they are applied.
func (n *running) changeClasses(t *testing.T, classes ...balancer.Class) {
	t.Helper()
	cfg := n.configOf()
	cfg.Settings.Classes = classes
	n.Reload(cfg)
	n.runOnLoop(t, func() {})
}

// TestSettingsChangeBetweenHeadAndBody: new settings come after the head of a request has been read and
// before its body. The request keeps the idempotency that its class had at the head, or is rejected unsent if
// the balancer no longer knows the settings of that time.
func TestSettingsChangeBetweenHeadAndBody(t *testing.T) {
	type settings [][]balancer.Class
	classWith := func(idempotency balancer.Idempotency) []balancer.Class {
		return []balancer.Class{{Name: "a", PriorityWeight: 1, LatencyObjective: enough, Deadline: 2 * enough, Idempotency: idempotency, DedupWindow: enough}}
	}
	renamed := classWith(balancer.NotIdempotent)
	renamed[0].Name = "b"
	for _, c := range []struct {
		name           string
		before         settings
		method, key    string
		changes        settings
		status, served int
	}{
		{"unsafe, then safe", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{classWith(balancer.Idempotent)}, 502, 1},
		{"keyed in a cell, then safe", settings{classWith(balancer.IdempotentByKey)}, "POST", "k", settings{classWith(balancer.Idempotent)}, 502, 2},
		{"unsafe, then gone", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{renamed}, 502, 1},
		{"safe, then unsafe", settings{classWith(balancer.Idempotent)}, "GET", "", settings{classWith(balancer.NotIdempotent)}, 503, 2},
		{"safe, then gone", settings{classWith(balancer.Idempotent)}, "GET", "", settings{renamed}, 503, 2},
		{"unsafe, then gone, then safe", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{renamed, classWith(balancer.Idempotent)}, 503, 0},
		{"unsafe, then keyed, then safe", settings{classWith(balancer.NotIdempotent)}, "POST", "", settings{classWith(balancer.IdempotentByKey), classWith(balancer.Idempotent)}, 503, 0},
		{"former and unsafe, then keyed", settings{classWith(balancer.NotIdempotent), classWith(balancer.Idempotent)}, "POST", "", settings{classWith(balancer.IdempotentByKey)}, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served atomic.Int32
			breaks := func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					served.Add(1)
				}
			}
			n := startNode(t, backendServer(t, breaks), backendServer(t, breaks))
			for _, classes := range c.before {
				n.changeClasses(t, classes...)
			}
			conn := n.dial(t)
			besteffort.Output(fmt.Fprintf(conn, "%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: a\r\nX-Deadline: 20\r\n"+
				"Expect: 100-continue\r\nContent-Length: 1\r\n", c.method))
			if c.key != "" {
				besteffort.Output(fmt.Fprintf(conn, "Idempotency-Key: %s\r\n", c.key))
			}
			besteffort.Output(fmt.Fprint(conn, "\r\n"))
			if line, err := conn.read.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" { // the proxy has read the head
				t.Fatalf("%q, %v", line, err)
			}
			_, _ = conn.read.ReadString('\n')
			for _, classes := range c.changes {
				n.changeClasses(t, classes...)
			}
			besteffort.Output(fmt.Fprint(conn, "x"))
			if status := conn.status(t); status != c.status || int(served.Load()) != c.served {
				t.Errorf("%d after %d attempts, want %d after %d", status, served.Load(), c.status, c.served)
			}
		})
	}
}

// TestStopWaitsForDeadlinesOfOpenRequests: settings with shorter deadlines come between a request and
// SIGTERM. The request keeps its own deadline.
func TestStopWaitsForDeadlinesOfOpenRequests(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 1)
	n := startNode(t, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(conn, okAnswer))
		}
	}))
	answers := make(chan reply, 1)
	go func() { answers <- do(t, n.request(t, "GET", "saldo", "q", "60", nil)) }()
	wait(t, got, "the attempt")
	n.changeClasses(t, balancer.Class{Name: "saldo", LatencyObjective: time.Millisecond, Deadline: time.Millisecond, Idempotency: balancer.Idempotent})
	n.stop()
	n.linger()
	wait(t, n.tap.closed, "the listener to be closed")
	if left := n.frontend.longestRemainingTime(); left < enough {
		t.Errorf("the frontend waits for at most %v", left)
	}
	close(release)
	if a := wait(t, answers, "the answer"); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}
