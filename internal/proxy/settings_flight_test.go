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

// change gives the proxy other settings and returns when it has them.
func (n *running) change(t *testing.T, classes ...balancer.Class) {
	t.Helper()
	cfg := n.configOf()
	cfg.Settings.Classes = classes
	n.Reload(cfg)
	n.runOnLoop(t, func() {})
}

// TestSettingsChangeAmidARequest: new settings come when the head of a request has been read and its body has not. It
// has the effect that its class had then, or is refused unsent where the balancer does not know that any more.
func TestSettingsChangeAmidARequest(t *testing.T) {
	type settings [][]balancer.Class
	is := func(effect balancer.Idempotency) []balancer.Class {
		return []balancer.Class{{Name: "a", PriorityWeight: 1, LatencyObjective: enough, Deadline: 2 * enough, Idempotency: effect, DedupWindow: enough}}
	}
	gone := is(balancer.NotIdempotent)
	gone[0].Name = "b"
	for _, c := range []struct {
		name           string
		before         settings
		method, key    string
		changes        settings
		status, served int
	}{
		{"unsafe, then safe", settings{is(balancer.NotIdempotent)}, "POST", "", settings{is(balancer.Idempotent)}, 502, 1},
		{"keyed in a cell, then safe", settings{is(balancer.IdempotentByKey)}, "POST", "k", settings{is(balancer.Idempotent)}, 502, 2},
		{"unsafe, then gone", settings{is(balancer.NotIdempotent)}, "POST", "", settings{gone}, 502, 1},
		{"safe, then unsafe", settings{is(balancer.Idempotent)}, "GET", "", settings{is(balancer.NotIdempotent)}, 503, 2},
		{"safe, then gone", settings{is(balancer.Idempotent)}, "GET", "", settings{gone}, 503, 2},
		{"unsafe, then gone, then safe", settings{is(balancer.NotIdempotent)}, "POST", "", settings{gone, is(balancer.Idempotent)}, 503, 0},
		{"unsafe, then keyed, then safe", settings{is(balancer.NotIdempotent)}, "POST", "", settings{is(balancer.IdempotentByKey), is(balancer.Idempotent)}, 503, 0},
		{"former and unsafe, then keyed", settings{is(balancer.NotIdempotent), is(balancer.Idempotent)}, "POST", "", settings{is(balancer.IdempotentByKey)}, 503, 0},
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
				n.change(t, classes...)
			}
			conn := n.dial(t)
			besteffort.Output(fmt.Fprintf(conn, "%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: a\r\nX-Deadline: 20\r\n"+
				"Expect: 100-continue\r\nContent-Length: 1\r\n", c.method))
			if c.key != "" {
				besteffort.Output(fmt.Fprintf(conn, "Idempotency-Key: %s\r\n", c.key))
			}
			besteffort.Output(fmt.Fprint(conn, "\r\n"))
			if line, err := conn.read.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" { // its head is read
				t.Fatalf("%q, %v", line, err)
			}
			_, _ = conn.read.ReadString('\n')
			for _, classes := range c.changes {
				n.change(t, classes...)
			}
			besteffort.Output(fmt.Fprint(conn, "x"))
			if status := conn.status(t); status != c.status || int(served.Load()) != c.served {
				t.Errorf("%d after %d attempts, want %d after %d", status, served.Load(), c.status, c.served)
			}
		})
	}
}

// TestStopAfterShorterDeadlines: the settings have shorter deadlines by the time of SIGTERM than those with which a
// request was taken. Its own goes on.
func TestStopAfterShorterDeadlines(t *testing.T) {
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
	n.change(t, balancer.Class{Name: "saldo", LatencyObjective: time.Millisecond, Deadline: time.Millisecond, Idempotency: balancer.Idempotent})
	n.stop()
	n.linger()
	wait(t, n.tap.closed, "the listener to be closed")
	if left := n.frontend.longestRemainingTime(); left < enough {
		t.Errorf("the front stays for %v", left)
	}
	close(release)
	if a := wait(t, answers, "the answer"); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}
