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
	"wrenspread/internal/proxy/memory"
)

// TestParseLoadIgnoresMalformedReports checks which load reports are parsed, and that a malformed report is
// ignored completely.
func TestParseLoadIgnoresMalformedReports(t *testing.T) {
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

const okStatusLine, chunkedHead = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestOutcomeForEachResponseEnding checks that only a complete response is taken for one, whether its
// connection is then closed, reset or left open. A response without a length is complete only after a close.
func TestOutcomeForEachResponseEnding(t *testing.T) {
	long := okStatusLine + "\r\n" + strings.Repeat("x", maxBufferedBody+1)
	const OK, Reset, TimedOut, Rejected, never = balancer.OK, balancer.ConnectionReset, balancer.TimedOut, balancer.Rejected, -1 // never: the attempt's deadline does not end the response
	for _, c := range []struct {
		name, rawResponse     string
		closed, reset, silent balancer.Outcome
	}{
		{"no response", "", Reset, Reset, TimedOut},
		{"a partial head", okStatusLine + "Content-", Reset, Reset, TimedOut},
		{"a length", okResponse, OK, OK, OK},
		{"a length and a partial body", okStatusLine + "Content-Length: 4\r\n\r\nhi", Reset, Reset, TimedOut},
		{"chunks", chunkedHead + "2\r\nhi\r\n0\r\n\r\n", OK, OK, OK},
		{"chunks without the last one", chunkedHead + "2\r\nhi\r\n", Reset, Reset, TimedOut},
		{"chunks without the final empty line", chunkedHead + "2\r\nhi\r\n0\r\n", Reset, Reset, TimedOut},
		{"no length", okStatusLine + "\r\nhi", OK, Reset, TimedOut},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi", OK, Reset, TimedOut},
		{"no length, long body", long, OK, Reset, never},
		{"a rejection", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Rejected, Rejected, Rejected},
	} {
		for end, want := range map[string]balancer.Outcome{"closed": c.closed, "reset": c.reset, "silent": c.silent} {
			if want == never {
				continue
			}
			t.Run(c.name+", "+end, func(t *testing.T) {
				checkOutcome(t, want, func(conn net.Conn, r *bufio.Reader) {
					if besteffort.Output(io.WriteString(conn, c.rawResponse)); end == "silent" {
						_, _ = r.ReadByte()
					} else if end == "reset" {
						besteffort.SocketOption(conn.(*net.TCPConn).SetLinger(0))
					}
				})
			})
		}
	}
}

// TestEndlessResponsesAreBounded checks that a response that never ends is ended by a limit of its size or by
// its attempt's deadline.
func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		begin, repeated string
		pause           time.Duration
		want            balancer.Outcome
	}{
		"a head byte by byte": {okStatusLine + "X-A: ", "x", time.Millisecond, balancer.TimedOut},
		"a line of a head":    {okStatusLine + "X-A: ", "xxxxxxxxxxxxxxxx", 0, balancer.ServerError},
		"lines of a head":     {okStatusLine, "X-A: xxxxxxxxxx\r\n", 0, balancer.ServerError},
		"1xx responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, balancer.ServerError},
		"a chunk's extension": {chunkedHead + "2;x=", "xxxxxxxxxxxxxxxx", 0, balancer.ServerError},
		"a trailer":           {chunkedHead + "2\r\nhi\r\n0\r\n", "X-A: xxxxxxxxxx\r\n", 0, balancer.ServerError},
		"empty lines":         {"", "\r\n", 0, balancer.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			checkOutcome(t, c.want, func(conn net.Conn, _ *bufio.Reader) {
				for _, err := io.WriteString(conn, c.begin); err == nil; time.Sleep(c.pause) {
					_, err = io.WriteString(conn, c.repeated)
				}
			})
		})
	}
}

// checkOutcome makes an attempt at a backend that responds with respond, and checks the attempt's outcome.
// Afterwards no connection is open, no memory is reserved, and respond has returned.
func checkOutcome(t *testing.T, want balancer.Outcome, respond func(net.Conn, *bufio.Reader)) {
	t.Parallel()
	backendDone := make(chan bool, 1)
	p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			respond(conn, r)
			backendDone <- true
		}
	}))
	timeout := testTimeout
	if want == balancer.TimedOut {
		timeout /= 100
	}
	budget := memory.NewBudget(1 << 20)
	request := getRequest("/api/x")
	request.memory, _ = budget.Reserve(0)
	if got := attemptFor(t, p, request, timeout); got.outcome != want {
		t.Errorf("outcome %d, want %d", got.outcome, want)
	}
	p.closeIdle(1)
	wait(t, backendDone, "the backend to finish")
	if used := budget.Used(); p.openConnections != 0 || used != 0 && want != balancer.OK {
		t.Errorf("%d connections open, %d bytes reserved, want none", p.openConnections, used)
	}
}
