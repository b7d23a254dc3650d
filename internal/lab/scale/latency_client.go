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
	patience   = 10 * time.Second // for an answer
	clientIdle = 5 * time.Second  // after which clients leave a connection
	topLatency = 20 * time.Second
	drawnIdle  = world.IdleClose
)

// parts of a request's way, and ways of which only the requests on a new connection to the server count.
const (
	wayAll = iota // the client's time less the server's own
	wayIn
	wayOut
	inMade // the way in, of those that are the first on their connection to the server
	inKept // of all others
	ways
)

var wayNames = [ways]string{"added", "in", "out", "in_made", "in_kept"}

// caller sends requests when they are due, whatever has become of those before, and times them.
type caller struct {
	base time.Time
	seed uint64

	mu     sync.Mutex
	idle   map[string][]*callerConn // the last used last
	took   [ways]*hdrhistogram.Histogram
	late   *hdrhistogram.Histogram
	served int
	failed map[string]int // by reason
	calm   map[int]*second
	opened atomic.Int64 // connections
}

// second is one of the play: how late the caller itself was, and what was added.
type second struct {
	late  time.Duration
	added []time.Duration
}

// calmLate is how late a caller may be in a second that counts as calm: in others the machine, not the node,
// keeps it waiting.
const calmLate = 2 * time.Millisecond

type callerConn struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

func newCaller(base time.Time, seed uint64) *caller {
	c := &caller{
		base:   base,
		seed:   seed,
		idle:   map[string][]*callerConn{},
		failed: map[string]int{},
		calm:   map[int]*second{},
		late:   newTimes(),
	}
	for i := range c.took {
		c.took[i] = newTimes()
	}
	return c
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(topLatency), 3)
}

// run sends each operation to an address, and returns when all are over.
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
			c.count(late, sent, time.Since(c.base), s, err)
		})
	}
	all.Wait()
	for _, some := range c.idle {
		for _, cn := range some {
			besteffort.Close(cn)
		}
	}
}

func (c *caller) count(late, sent, came time.Duration, s stated, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	besteffort.Sample(c.late.RecordValue(int64(max(0, late))))
	at := c.calm[int(sent/time.Second)]
	if at == nil {
		at = &second{}
		c.calm[int(sent/time.Second)] = at
	}
	at.late = max(at.late, late)
	if err != nil {
		c.failed[err.Error()]++
		return
	}
	c.served++
	for way, d := range map[int]time.Duration{wayAll: came - sent - (s.ended - s.began), wayIn: s.began - sent, wayOut: came - s.ended} {
		besteffort.Sample(c.took[way].RecordValue(int64(max(0, d))))
	}
	at.added = append(at.added, came-sent-(s.ended-s.began))
	kept := inKept
	if s.nth == 1 {
		kept = inMade
	}
	besteffort.Sample(c.took[kept].RecordValue(int64(max(0, s.began-sent))))
}

// call makes a request on a kept connection, or a new one.
func (c *caller) call(op arrivals.Op, address string) (s stated, err error) {
	cn, err := c.take(address)
	if err != nil {
		return s, fmt.Errorf("no connection")
	}
	id := op.ID(c.seed, 0)
	besteffort.SocketOption(cn.SetDeadline(time.Now().Add(patience)))
	if _, err := io.WriteString(cn, text(op, id)); err != nil {
		besteffort.Close(cn)
		return s, fmt.Errorf("not sent")
	}
	resp, err := http.ReadResponse(cn.in, nil)
	if err != nil {
		besteffort.Close(cn)
		return s, fmt.Errorf("no answer")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil || resp.Close {
		besteffort.Close(cn)
	} else {
		c.put(address, cn)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	return parseStated(id, string(body))
}

// text is a request as clients send it.
func text(op arrivals.Op, id string) string {
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
		patience.Seconds(),
		op.Hint.Microseconds(),
		more,
	)
}

func (c *caller) take(address string) (*callerConn, error) {
	c.mu.Lock()
	for all := c.idle[address]; len(all) > 0; all = c.idle[address] {
		cn := all[len(all)-1]
		c.idle[address] = all[:len(all)-1]
		if time.Since(cn.used) < clientIdle {
			c.mu.Unlock()
			return cn, nil
		}
		besteffort.Close(cn)
	}
	c.mu.Unlock()
	c.opened.Add(1)
	nc, err := net.DialTimeout("tcp4", address, patience)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

func (c *caller) put(address string, cn *callerConn) {
	cn.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], cn)
}

// figures are the percentiles of each way, in seconds, each name beginning with prefix.
func (c *caller) figures(prefix string, into map[string]float64) {
	for way, h := range c.took {
		if h.TotalCount() == 0 {
			continue
		}
		for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
			into[fmt.Sprintf("%s%s_%s_s", prefix, wayNames[way], name)] = seconds(time.Duration(h.ValueAtQuantile(q)))
		}
	}
	calm, quiet := newTimes(), 0
	for _, s := range c.calm {
		if s.late > calmLate {
			continue
		}
		quiet++
		for _, d := range s.added {
			besteffort.Sample(calm.RecordValue(int64(max(0, d))))
		}
	}
	into[prefix+"calm_share"] = float64(quiet) / float64(max(1, len(c.calm)))
	if quiet > 0 {
		into[prefix+"calm_p50_s"], into[prefix+"calm_p99_s"] = seconds(
			time.Duration(calm.ValueAtQuantile(50)),
		), seconds(
			time.Duration(calm.ValueAtQuantile(99)),
		)
	}
	into[prefix+"requests"] = float64(c.served)
	into[prefix+"late_p99_s"] = seconds(time.Duration(c.late.ValueAtQuantile(99)))
	into[prefix+"opened"] = float64(c.opened.Load())
}
