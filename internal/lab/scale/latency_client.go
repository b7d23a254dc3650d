package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	arrivals "wrenspread/internal/lab/load"
	"wrenspread/internal/lab/world"
)

const (
	answerTimeout     = 10 * time.Second // for the answer to a request
	clientIdleTimeout = 5 * time.Second  // after which clients no longer use a connection
	maxLatency        = 20 * time.Second
	drawnIdle         = world.IdleClose
)

// Parts of the time that a request takes. The last two divide the way in by whether the connection to the
// server is new.
const (
	wayAll = iota // the client's time less the server's
	wayIn
	wayOut
	wayInNew    // the way in, of requests that are the first on their connection to the server
	wayInReused // the way in, of all other requests
	wayCount
)

var wayNames = [wayCount]string{"added", "in", "out", "in_made", "in_kept"}

// caller sends requests when they are due, however many earlier ones are in flight, and times them.
type caller struct {
	base time.Time
	seed uint64

	mu        sync.Mutex
	idleConns map[string][]*callerConn // by address; the most recently used connection is the last
	latencies [wayCount]*hdrhistogram.Histogram
	lateness  *hdrhistogram.Histogram
	served    int
	failed    map[string]int // number of requests by reason
	seconds   map[int]*second
	opened    atomic.Int64 // number of connections opened
}

// second is a second of the play: the largest delay of the caller itself, and the times added to its
// requests.
type second struct {
	late  time.Duration
	added []time.Duration
}

// maxCalmLateness is the largest delay of the caller in a second that counts as calm: in other seconds it
// is the machine, not the node, that delays the caller.
const maxCalmLateness = 2 * time.Millisecond

type callerConn struct {
	net.Conn
	reader *bufio.Reader
	used   time.Time
}

func newCaller(base time.Time, seed uint64) *caller {
	c := &caller{
		base:      base,
		seed:      seed,
		idleConns: map[string][]*callerConn{},
		failed:    map[string]int{},
		seconds:   map[int]*second{},
		lateness:  newTimes(),
	}
	for i := range c.latencies {
		c.latencies[i] = newTimes()
	}
	return c
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(maxLatency), 3)
}

// run sends each operation to an address, and returns when all have ended.
func (c *caller) run(ctx context.Context, ops []arrivals.Op, to string) {
	var all sync.WaitGroup
	start := time.Now()
	for _, op := range ops {
		if !backoff.Sleep(ctx, time.Until(start.Add(op.Due))) {
			break
		}
		late := time.Since(start) - op.Due
		all.Go(func() {
			sent := time.Since(c.base)
			s, err := c.call(op, to)
			c.record(late, sent, time.Since(c.base), s, err)
		})
	}
	all.Wait()
	for _, some := range c.idleConns {
		for _, cn := range some {
			besteffort.Close(cn)
		}
	}
}

// record counts the outcome of a request and its times.
func (c *caller) record(late, sent, came time.Duration, s serverTimes, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	besteffort.Sample(c.lateness.RecordValue(int64(max(0, late))))
	at := c.seconds[int(sent/time.Second)]
	if at == nil {
		at = &second{}
		c.seconds[int(sent/time.Second)] = at
	}
	at.late = max(at.late, late)
	if err != nil {
		c.failed[err.Error()]++
		return
	}
	c.served++
	for way, d := range map[int]time.Duration{
		wayAll: came - sent - (s.ended - s.began), wayIn: s.began - sent, wayOut: came - s.ended,
	} {
		besteffort.Sample(c.latencies[way].RecordValue(int64(max(0, d))))
	}
	at.added = append(at.added, came-sent-(s.ended-s.began))
	wayInKind := wayInReused
	if s.nth == 1 {
		wayInKind = wayInNew
	}
	besteffort.Sample(c.latencies[wayInKind].RecordValue(int64(max(0, s.began-sent))))
}

// call makes a request on an idle connection, or on a new one.
func (c *caller) call(op arrivals.Op, address string) (s serverTimes, err error) {
	cn, err := c.acquire(address)
	if err != nil {
		return s, fmt.Errorf("no connection")
	}
	id := op.ID(c.seed, 0)
	besteffort.SocketOption(cn.SetDeadline(time.Now().Add(answerTimeout)))
	if _, err := io.WriteString(cn, requestText(op, id)); err != nil {
		besteffort.Close(cn)
		return s, fmt.Errorf("not sent")
	}
	resp, err := http.ReadResponse(cn.reader, nil)
	if err != nil {
		besteffort.Close(cn)
		return s, fmt.Errorf("no answer")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil || resp.Close {
		besteffort.Close(cn)
	} else {
		c.release(address, cn)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	return parseServerTimes(id, string(body))
}

// requestText is a request as clients send it.
func requestText(op arrivals.Op, id string) string {
	method, more := http.MethodGet, ""
	if op.Class.Effect != world.Safe {
		method, more = http.MethodPost, "Content-Length: 0\r\n"
	}
	if op.Key != "" {
		more += "Idempotency-Key: " + op.Key + "\r\n"
	}
	return fmt.Sprintf(
		"%s /api/%s?%s=%d HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %.6f\r\nX-Cost-Hint: %d\r\n%s\r\n",
		method,
		op.Class.Name,
		workKey,
		op.Work.Microseconds(),
		id,
		op.Class.Name,
		op.Tenant,
		answerTimeout.Seconds(),
		op.Hint.Microseconds(),
		more,
	)
}

// acquire returns an idle connection to an address that may still be used, or dials a new one.
func (c *caller) acquire(address string) (*callerConn, error) {
	c.mu.Lock()
	for all := c.idleConns[address]; len(all) > 0; all = c.idleConns[address] {
		cn := all[len(all)-1]
		c.idleConns[address] = all[:len(all)-1]
		if time.Since(cn.used) < clientIdleTimeout {
			c.mu.Unlock()
			return cn, nil
		}
		besteffort.Close(cn)
	}
	c.mu.Unlock()
	c.opened.Add(1)
	nc, err := net.DialTimeout("tcp4", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

// release makes a connection idle.
func (c *caller) release(address string, cn *callerConn) {
	cn.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[address] = append(c.idleConns[address], cn)
}

// figures adds the percentiles of each way, in seconds; each name begins with prefix.
func (c *caller) figures(prefix string, into map[string]float64) {
	for way, h := range c.latencies {
		if h.TotalCount() == 0 {
			continue
		}
		for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
			into[fmt.Sprintf("%s%s_%s_s", prefix, wayNames[way], name)] = seconds(time.Duration(h.ValueAtQuantile(q)))
		}
	}
	calm, quiet := newTimes(), 0
	for _, s := range c.seconds {
		if s.late > maxCalmLateness {
			continue
		}
		quiet++
		for _, d := range s.added {
			besteffort.Sample(calm.RecordValue(int64(max(0, d))))
		}
	}
	into[prefix+"calm_share"] = float64(quiet) / float64(max(1, len(c.seconds)))
	if quiet > 0 {
		into[prefix+"calm_p50_s"], into[prefix+"calm_p99_s"] = seconds(
			time.Duration(calm.ValueAtQuantile(50)),
		), seconds(
			time.Duration(calm.ValueAtQuantile(99)),
		)
	}
	into[prefix+"requests"] = float64(c.served)
	into[prefix+"late_p99_s"] = seconds(time.Duration(c.lateness.ValueAtQuantile(99)))
	into[prefix+"opened"] = float64(c.opened.Load())
}
