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
)

// crossedConn has something happen at its steps.
type crossedConn struct {
	*net.TCPConn
	write, read func()          // ahead of a write, behind the read of the last byte
	deadline    func(time.Time) // behind a new one
	left        int             // to be read
}

func (c *crossedConn) Write(b []byte) (int, error) {
	c.write()
	return c.TCPConn.Write(b)
}

func (c *crossedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.left -= n; c.left == 0 {
		c.read()
	}
	return n, err
}

func (c *crossedConn) SetDeadline(at time.Time) error {
	err := c.TCPConn.SetDeadline(at)
	c.deadline(at)
	return err
}

// TestCrossings: whatever crosses an attempt on a connection that has been used before, its outcome claims no more than is
// known, its connection is closed or can be used, and what its answer took of the room is back before another can have it.
func TestCrossings(t *testing.T) {
	answer := named(strings.Repeat("x", maxSmallBody+1)) // takes room
	for _, c := range []struct {
		name      string
		ends      string // what happens ahead of the write
		answering func(p *pool, cancel func())
		want      balancer.Outcome
		open      int
	}{
		{"nothing", "", nil, balancer.OK, 1},
		{"the server closes", "close", nil, balancer.ConnectionReset, 0},
		{"the server resets", "reset", nil, balancer.ConnectFailed, 0},
		{"it is called off ahead of the write", "cancel", nil, balancer.NotSent, 0},
		{"it is called off behind the last byte", "", func(_ *pool, cancel func()) { cancel() }, balancer.OK, 0},
		{"the server is restarted", "", func(p *pool, _ func()) { p.setBackend(1, p.backends[1].address, 5) }, balancer.OK, 0},
		{"the server leaves the list", "", func(p *pool, _ func()) { p.removeBackend(1) }, balancer.OK, 0},
		{"idle connections are closed", "", func(p *pool, _ func()) { p.closeIdle(1) }, balancer.OK, 1},
		{"idle connections expire", "", func(p *pool, _ func()) { p.expire(time.Now().Add(p.maxIdle)) }, balancer.OK, 1},
		{"another one needs room", "", func(p *pool, _ func()) { p.halve(true) }, balancer.OK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			end := make(chan struct{})
			p := testPool(backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					besteffort.Output(io.WriteString(conn, answer))
					if number == 0 && c.ends != "" {
						<-end
						if c.ends == "reset" {
							besteffort.SocketOption(conn.(*net.TCPConn).SetLinger(0))
						}
						return
					}
				}
			}))
			p.maxConnections = 2
			if got := ask(p, "/api/x"); got.outcome != balancer.OK {
				t.Fatalf("outcome %d", got.outcome)
			}
			stood(p, lateResponseRest)
			ctx, cancel := context.WithTimeout(context.Background(), enough)
			defer cancel()
			spoilt := make(chan struct{})
			spoil := sync.OnceFunc(func() { close(spoilt) })
			idle := p.backends[1].idle[0]
			x := &crossedConn{TCPConn: idle.Conn.(*net.TCPConn), left: len(answer)}
			idle.Conn = x
			x.deadline = func(at time.Time) {
				if at.IsZero() && len(p.memory) != 0 {
					t.Error("the next one can have it before its room is given back")
				} else if !at.IsZero() {
					spoil()
				}
			}
			x.write = func() {
				switch close(end); c.ends {
				case "cancel":
					cancel()
					<-spoilt
				case "close", "reset":
					awaitWord(t, x)
				}
			}
			x.read = func() {
				if c.answering == nil {
					return
				}
				if c.answering(p, cancel); ctx.Err() != nil {
					<-spoilt
				}
			}
			got := p.attempt(ctx, 1, get("/api/x"), always, nil)
			if got.outcome != c.want || got.outcome == balancer.OK && len(got.body) != maxSmallBody+1 {
				t.Errorf("outcome %d with %d bytes, want %d", got.outcome, len(got.body), c.want)
			}
			cancel() // too late to spoil anything
			if p.open != c.open || len(p.memory) != 0 {
				t.Errorf("%d connections open, %d of the room taken, want %d, 0", p.open, len(p.memory), c.open)
			}
			p.setBackend(1, x.RemoteAddr().String(), 5)
			if got := ask(p, "/api/x"); got.outcome != balancer.OK || p.open != 1 {
				t.Errorf("the next one: outcome %d, %d open", got.outcome, p.open)
			}
		})
	}
}
