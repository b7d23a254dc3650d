package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
)

// hookedConn is a backend connection that calls a test's functions at certain steps of an attempt.
type hookedConn struct {
	*net.TCPConn
	beforeWrite, afterLastRead func()          // before a write; after the read of the last byte
	afterSetDeadline           func(time.Time) // after each SetDeadline
	unreadBytes                int             // bytes of the response still to be read
}

func (c *hookedConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.TCPConn.Write(b)
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.unreadBytes -= n; c.unreadBytes == 0 {
		c.afterLastRead()
	}
	return n, err
}

func (c *hookedConn) SetDeadline(at time.Time) error {
	err := c.TCPConn.SetDeadline(at)
	c.afterSetDeadline(at)
	return err
}

// TestAttemptRacesWithPoolAndBackendEvents checks an attempt on a reused connection while an event occurs
// just before the request is written, or just after the last byte of the response has been read. The outcome
// states only what the proxy can know, and the connection is closed or can be reused. The memory reserved for a
// response is left to its client or returned before another attempt can use the connection.
func TestAttemptRacesWithPoolAndBackendEvents(t *testing.T) {
	longResponse := okResponseWith(strings.Repeat("x", maxSmallBody+1))
	for _, c := range []struct {
		name       string
		event      string // occurs before the write
		onResponse func(p *pool, cancel func())
		want       balancer.Outcome
		openAfter  int
	}{
		{"no event", "", nil, balancer.OK, 1},
		{"the backend closes before the write", "close", nil, balancer.ConnectionReset, 0},
		{"the backend resets before the write", "reset", nil, balancer.ConnectFailed, 0},
		{"cancelled before the write", "cancel", nil, balancer.NotSent, 0},
		{"cancelled after the last byte", "", func(_ *pool, cancel func()) { cancel() }, balancer.OK, 0},
		{"the backend is restarted", "", func(p *pool, _ func()) { p.setBackend(1, p.backends[1].address, 5) }, balancer.OK, 0},
		{"the backend leaves the list", "", func(p *pool, _ func()) { p.removeBackend(1) }, balancer.OK, 0},
		{"idle connections are closed", "", func(p *pool, _ func()) { p.closeIdle(1) }, balancer.OK, 1},
		{"idle connections expire", "", func(p *pool, _ func()) { p.expire(time.Now().Add(p.maxIdleTime)) }, balancer.OK, 1},
		{"the connection limit is halved", "", func(p *pool, _ func()) { p.halve(true) }, balancer.OK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			beforeWrite := make(chan struct{})
			p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					besteffort.Output(io.WriteString(conn, longResponse))
					if number == 0 && c.event != "" {
						<-beforeWrite
						if c.event == "reset" {
							besteffort.SocketOption(conn.(*net.TCPConn).SetLinger(0))
						}
						return
					}
				}
			}))
			p.maxConnections = 2
			budget := memory.NewBudget(1 << 20)
			request := getRequest("/api/x")
			request.memory, _ = budget.Reserve(0)
			if got := attemptPath(p, "/api/x"); got.outcome != balancer.OK {
				t.Fatalf("outcome %d", got.outcome)
			}
			ageIdleConns(p, lateResponseWait)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			interrupted := make(chan struct{})
			interrupt := sync.OnceFunc(func() { close(interrupted) })
			idle := p.backends[1].idle[0]
			hooked := &hookedConn{TCPConn: idle.Conn.(*net.TCPConn), unreadBytes: len(longResponse)}
			idle.Conn = hooked
			hooked.afterSetDeadline = func(at time.Time) {
				if at.IsZero() && idle.memory.reserved != 0 {
					t.Error("the connection can be reused before its memory is accounted for")
				} else if !at.IsZero() {
					interrupt()
				}
			}
			hooked.beforeWrite = func() {
				switch close(beforeWrite); c.event {
				case "cancel":
					cancel()
					<-interrupted
				case "close", "reset":
					waitReadable(t, hooked)
				}
			}
			hooked.afterLastRead = func() {
				if c.onResponse == nil {
					return
				}
				if c.onResponse(p, cancel); ctx.Err() != nil {
					<-interrupted
				}
			}
			got := p.attempt(ctx, 1, request, alwaysMayWrite, nil)
			if got.outcome != c.want || got.outcome == balancer.OK && len(got.body) != maxSmallBody+1 {
				t.Errorf("outcome %d with %d bytes, want %d", got.outcome, len(got.body), c.want)
			}
			cancel() // too late to have an effect
			if p.openConnections != c.openAfter {
				t.Errorf("%d connections open, want %d", p.openConnections, c.openAfter)
			}
			if used := budget.Used(); (used > 0) != (got.outcome == balancer.OK) || used > 0 && used < int64(len(got.body)) {
				t.Errorf("%d bytes are reserved after outcome %d with %d bytes", used, got.outcome, len(got.body))
			}
			if request.memory.Release(); budget.Used() != 0 {
				t.Errorf("%d bytes are reserved after the client's end", budget.Used())
			}
			p.setBackend(1, hooked.RemoteAddr().String(), 5)
			if got := attemptPath(p, "/api/x"); got.outcome != balancer.OK || p.openConnections != 1 {
				t.Errorf("next attempt: outcome %d, %d connections open, want OK, 1", got.outcome, p.openConnections)
			}
		})
	}
}
