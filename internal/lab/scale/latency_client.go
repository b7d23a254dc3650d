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
	clientIdleTimeout = 5 * time.Second  // a connection that was idle for longer is not used again
	maxLatency        = 20 * time.Second
	drawnIdle         = world.IdleClose
)

// Parts of the time that a request takes. The last two split timeIn by whether the request is the first on
// the connection to the server.
const (
	timeAdded        = iota // the time at the client, less the time at the server
	timeIn                  // from the client's send to the server's receipt
	timeOut                 // from the server's answer to the client's receipt
	timeInNewConn           // timeIn of requests that are the first on their connection to the server
	timeInReusedConn        // timeIn of all other requests
	timePartCount
)

var timePartNames = [timePartCount]string{"added", "in", "out", "in_made", "in_kept"}

// caller sends requests when they are due, however many earlier requests are in flight, and measures their
// times.
type caller struct {
	base time.Time
	seed uint64

	mu        sync.Mutex
	idleConns map[string][]*callerConn // by address, the most recently used last
	timeParts [timePartCount]*hdrhistogram.Histogram
	lateness  *hdrhistogram.Histogram
	served    int
	failed    map[string]int  // number of failed requests by reason
	seconds   map[int]*second // by the number of the second since base
	opened    atomic.Int64    // number of connections opened
}

// second holds the figures of one second of the load: the caller's largest delay in sending, and the times
// added to the requests.
type second struct {
	late  time.Duration
	added []time.Duration
}

// maxCalmLateness is the largest delay of the caller in a second that counts as calm. In other seconds the
// machine delays the caller, so that the times are not the node's.
const maxCalmLateness = 2 * time.Millisecond

type callerConn struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
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
	for i := range c.timeParts {
		c.timeParts[i] = newTimes()
	}
	return c
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(maxLatency), 3)
}

// run sends the requests of all operations to an address, and returns when all requests have ended.
func (c *caller) run(ctx context.Context, ops []arrivals.Op, address string) {
	var inFlight sync.WaitGroup
	start := time.Now()
	for _, op := range ops {
		if !backoff.Sleep(ctx, time.Until(start.Add(op.Due))) {
			break
		}
		late := time.Since(start) - op.Due
		inFlight.Go(func() {
			sent := time.Since(c.base)
			s, err := c.call(op, address)
			c.record(late, sent, time.Since(c.base), s, err)
		})
	}
	inFlight.Wait()
	for _, conns := range c.idleConns {
		for _, cn := range conns {
			besteffort.Close(cn)
		}
	}
}

// record counts the outcome of a request and its times.
func (c *caller) record(late, sentAt, receivedAt time.Duration, s serverTimes, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	besteffort.Sample(c.lateness.RecordValue(int64(max(0, late))))
	sec := c.seconds[int(sentAt/time.Second)]
	if sec == nil {
		sec = &second{}
		c.seconds[int(sentAt/time.Second)] = sec
	}
	sec.late = max(sec.late, late)
	if err != nil {
		c.failed[err.Error()]++
		return
	}
	c.served++
	for part, d := range map[int]time.Duration{
		timeAdded: receivedAt - sentAt - (s.ended - s.began), timeIn: s.began - sentAt,
		timeOut: receivedAt - s.ended,
	} {
		besteffort.Sample(c.timeParts[part].RecordValue(int64(max(0, d))))
	}
	sec.added = append(sec.added, receivedAt-sentAt-(s.ended-s.began))
	timeInKind := timeInReusedConn
	if s.nth == 1 {
		timeInKind = timeInNewConn
	}
	besteffort.Sample(c.timeParts[timeInKind].RecordValue(int64(max(0, s.began-sentAt))))
}

// call makes a request on an idle or a new connection to an address.
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

// requestText returns the text of the HTTP request of an operation.
func requestText(op arrivals.Op, id string) string {
	method, headers := http.MethodGet, ""
	if op.Class.Effect != world.Safe {
		method, headers = http.MethodPost, "Content-Length: 0\r\n"
	}
	if op.Key != "" {
		headers += "Idempotency-Key: " + op.Key + "\r\n"
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
		headers,
	)
}

// acquire returns an idle connection to an address, or a new one if no idle connection may still be used.
func (c *caller) acquire(address string) (*callerConn, error) {
	c.mu.Lock()
	for idle := c.idleConns[address]; len(idle) > 0; idle = c.idleConns[address] {
		cn := idle[len(idle)-1]
		c.idleConns[address] = idle[:len(idle)-1]
		if time.Since(cn.lastUsed) < clientIdleTimeout {
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

// release makes a connection available to later requests.
func (c *caller) release(address string, cn *callerConn) {
	cn.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[address] = append(c.idleConns[address], cn)
}

// figures adds the percentiles of each part of the time, in seconds; each name begins with prefix.
func (c *caller) figures(prefix string, figures map[string]float64) {
	for part, h := range c.timeParts {
		if h.TotalCount() == 0 {
			continue
		}
		for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
			figures[fmt.Sprintf("%s%s_%s_s", prefix, timePartNames[part], name)] = seconds(
				time.Duration(h.ValueAtQuantile(q)))
		}
	}
	calmTimes, calmSeconds := newTimes(), 0
	for _, s := range c.seconds {
		if s.late > maxCalmLateness {
			continue
		}
		calmSeconds++
		for _, d := range s.added {
			besteffort.Sample(calmTimes.RecordValue(int64(max(0, d))))
		}
	}
	figures[prefix+"calm_share"] = float64(calmSeconds) / float64(max(1, len(c.seconds)))
	if calmSeconds > 0 {
		figures[prefix+"calm_p50_s"], figures[prefix+"calm_p99_s"] = seconds(
			time.Duration(calmTimes.ValueAtQuantile(50)),
		), seconds(
			time.Duration(calmTimes.ValueAtQuantile(99)),
		)
	}
	figures[prefix+"requests"] = float64(c.served)
	figures[prefix+"late_p99_s"] = seconds(time.Duration(c.lateness.ValueAtQuantile(99)))
	figures[prefix+"opened"] = float64(c.opened.Load())
}
