package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// TestParseLoad checks which load reports are parsed, and that a malformed one is ignored completely.
func TestParseLoad(t *testing.T) {
	for in, want := range map[string]*balancer.LoadReport{
		"inflight=7,queue=2,util=0.5": {InFlight: 7, HasInFlight: true, QueueLength: 2, HasQueueLength: true, Utilization: 0.5},
		"queue=0":                     {HasQueueLength: true},
		"active=3, waiting=1":         {InFlight: 3, HasInFlight: true, QueueLength: 1, HasQueueLength: true},
		"inflight=1,new=5":            {InFlight: 1, HasInFlight: true},
		"":                            nil,
		"new=5":                       nil,
		"inflight":                    nil,
		"inflight=x":                  nil,
		"inflight=NaN":                nil,
		"inflight=-1":                 nil,
		"inflight=1e999":              nil,
		"inflight=7,queue=":           nil,
		strings.Repeat("=,", 1<<10):   nil,
	} {
		got := parseLoad(in)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", in, got, want)
		}
	}
}

const okHead, chunkedHead = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestOutcomeForEachResponseEnding checks that only a complete response counts as one, whatever its
// connection does afterwards: a reset or silence does not end a response.
func TestOutcomeForEachResponseEnding(t *testing.T) {
	long := okHead + "\r\n" + strings.Repeat("x", maxBufferedBody+1)
	const OK, Reset, TimedOut, Full, never = balancer.OK, balancer.ConnectionReset, balancer.TimedOut, balancer.Rejected, -1 // the attempt's deadline does not end it
	for _, c := range []struct {
		name, answer          string
		closed, reset, silent balancer.Outcome
	}{
		{"nothing", "", Reset, Reset, TimedOut},
		{"half a head", okHead + "Content-", Reset, Reset, TimedOut},
		{"a length", okAnswer, OK, OK, OK},
		{"half a length", okHead + "Content-Length: 4\r\n\r\nhi", Reset, Reset, TimedOut},
		{"chunks", chunkedHead + "2\r\nhi\r\n0\r\n\r\n", OK, OK, OK},
		{"no last chunk", chunkedHead + "2\r\nhi\r\n", Reset, Reset, TimedOut},
		{"no empty line", chunkedHead + "2\r\nhi\r\n0\r\n", Reset, Reset, TimedOut},
		{"no length", okHead + "\r\nhi", OK, Reset, TimedOut},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi", OK, Reset, TimedOut},
		{"no length, long", long, OK, Reset, never},
		{"a refusal", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Full, Full, Full},
	} {
		for end, want := range map[string]balancer.Outcome{"closed": c.closed, "reset": c.reset, "silent": c.silent} {
			if want == never {
				continue
			}
			t.Run(c.name+", "+end, func(t *testing.T) {
				checkOutcome(t, want, func(conn net.Conn, r *bufio.Reader) {
					if besteffort.Output(io.WriteString(conn, c.answer)); end == "silent" {
						_, _ = r.ReadByte()
					} else if end == "reset" {
						besteffort.SocketOption(conn.(*net.TCPConn).SetLinger(0))
					}
				})
			})
		}
	}
}

// TestEndlessResponsesAreBounded checks that a response which never ends costs no more than its attempt's
// time.
func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		begin, again string
		pause        time.Duration
		want         balancer.Outcome
	}{
		"a head byte by byte": {okHead + "X-A: ", "x", time.Millisecond, balancer.TimedOut},
		"a line of a head":    {okHead + "X-A: ", "xxxxxxxxxxxxxxxx", 0, balancer.ServerError},
		"lines of a head":     {okHead, "X-A: xxxxxxxxxx\r\n", 0, balancer.ServerError},
		"1xx answers":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, balancer.ServerError},
		"a chunk's extension": {chunkedHead + "2;x=", "xxxxxxxxxxxxxxxx", 0, balancer.ServerError},
		"a trailer":           {chunkedHead + "2\r\nhi\r\n0\r\n", "X-A: xxxxxxxxxx\r\n", 0, balancer.ServerError},
		"empty lines":         {"", "\r\n", 0, balancer.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			checkOutcome(t, c.want, func(conn net.Conn, _ *bufio.Reader) {
				for _, err := io.WriteString(conn, c.begin); err == nil; time.Sleep(c.pause) {
					_, err = io.WriteString(conn, c.again)
				}
			})
		})
	}
}

// checkOutcome has a backend answer an attempt and checks its outcome. Afterwards no connection is open,
// no memory is reserved, and the backend has seen the end.
func checkOutcome(t *testing.T, want balancer.Outcome, answer func(net.Conn, *bufio.Reader)) {
	t.Parallel()
	over := make(chan bool, 1)
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			answer(conn, r)
			over <- true
		}
	}))
	time := enough
	if want == balancer.TimedOut {
		time /= 100
	}
	if got := attemptOnce(t, p, time); got.outcome != want {
		t.Errorf("outcome %d, want %d", got.outcome, want)
	}
	p.closeIdle(1)
	wait(t, over, "the backend to finish")
	if p.openConnections != 0 || len(p.memory) != 0 {
		t.Errorf("%d connections open, %d messages in the memory budget, want none", p.openConnections, len(p.memory))
	}
}
