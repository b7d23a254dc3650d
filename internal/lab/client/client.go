package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/load"
	"wrenspread/internal/lab/world"
)

// late is how long past a client's patience an answer is still waited for, to
// tell one that comes late from one that never comes.
const late = 500 * time.Millisecond

// Clients carry out operations.
type Clients struct {
	log   *history.Log
	front *Front
	book  *load.Book
	seed  uint64
	pool  pool
	ops   sync.WaitGroup
	// Late is told how late each operation was sent: the lab's own lateness.
	Late func(time.Duration)
	// Disturbed reports whether something is, or was just now, done to a node or to the way to it, so that a
	// connection's end says nothing of what the node has read.
	Disturbed func(node string) bool
}

// New makes clients that reach nodes by way of front.
func New(log *history.Log, front *Front, book *load.Book, seed uint64) *Clients {
	c := &Clients{log: log, front: front, book: book, seed: seed, Late: func(time.Duration) {},
		Disturbed: func(string) bool { return false }}
	c.pool = pool{idle: map[string][]kept{}, extra: func(cn *conn) {
		log.Add(history.Event{Kind: history.Extra, Node: cn.node, ID: cn.lastID})
	}}
	return c
}

// Run sends every operation when it is due, counted from start, whatever has
// become of those before. It returns when all are over, or ctx ends.
func (c *Clients) Run(ctx context.Context, start time.Duration, ops []load.Op) {
	defer c.pool.close()
	swept := start
	for i := range ops {
		op := &ops[i]
		due := start + op.Due
		if !backoff.Sleep(ctx, due-c.log.Now()) {
			break
		}
		if c.log.Now()-swept > time.Second {
			c.pool.sweep()
			swept = c.log.Now()
		}
		c.Late(c.log.Now() - due)
		c.log.Add(
			history.Event{T: due, Kind: history.Due, Op: op.N, Class: op.Class.Name, Tenant: op.Tenant, Zone: op.Zone},
		)
		c.ops.Add(1)
		go func() {
			defer c.ops.Done()
			c.carryOut(ctx, op, due)
		}()
	}
	c.ops.Wait()
}

// result is what came of a try.
type result struct {
	how        string
	status     int
	box        string
	took       time.Duration
	retryAfter time.Duration
	begun      bool // the node has said something, or been silent to the end
}

func (c *Clients) carryOut(ctx context.Context, op *load.Op, due time.Duration) {
	var last result
	var node string
	tries := 0
	for try := 0; ; try++ {
		left := op.Class.Deadline - (c.log.Now() - due)
		if left <= 0 {
			break
		}
		wait := min(left, time.Duration(op.Share*float64(op.Class.Deadline)))
		tries++
		node, last = c.try(op, try, wait)
		if !c.again(op, last) || try >= op.Retries {
			break
		}
		hold := op.Backoff[try]
		if op.Heeds && last.retryAfter > 0 {
			hold = max(hold, min(last.retryAfter, world.MaxRetryAfter))
		}
		if c.log.Now()+hold-due >= op.Class.Deadline || !backoff.Sleep(ctx, hold) {
			break
		}
	}
	if tries == 0 { // the lab itself was too late to send it
		last.how = history.Unreached
	}
	c.log.Add(
		history.Event{
			Kind:   history.Over,
			Op:     op.N,
			Class:  op.Class.Name,
			Tenant: op.Tenant,
			Zone:   op.Zone,
			Node:   node,
			How:    last.how,
			Status: last.status,
			Took:   c.log.Now() - due,
			Tries:  tries,
			Box:    last.box,
		},
	)
}

// again reports whether a client tries again: a safe operation after anything but success, the others only
// when they are known not to have run.
func (c *Clients) again(op *load.Op, r result) bool {
	switch r.how {
	case history.Served:
		return false
	case history.Refused, history.Unreached:
		return true
	}
	return op.Class.Effect == world.Safe
}

func (c *Clients) try(op *load.Op, try int, wait time.Duration) (node string, r result) {
	node, address, ok := c.front.pick(op.Zone, op.Pick+uint64(try))
	if !ok {
		return "", result{how: history.Unreached}
	}
	id := op.ID(c.seed, try)
	c.book.Write(id, op)
	cn, err := c.pool.take(node, address, false)
	if err != nil {
		return node, c.unreached(op, id, node)
	}
	r, keep := c.exchange(cn, op, id, try, wait)
	if r.how == history.Broken && cn.used && !r.begun && !c.Disturbed(node) && !c.book.Met(id) {
		// The node's close crossed the request: it goes out once more.
		c.log.Add(history.Event{Kind: history.Cross, Op: op.N, ID: id, Node: node})
		besteffort.Close(cn)
		if cn, err = c.pool.take(node, address, true); err != nil {
			return node, c.unreached(op, id, node)
		}
		r, keep = c.exchange(cn, op, id, try, wait)
	}
	e := history.Event{
		Kind:   history.Answer,
		Op:     op.N,
		ID:     id,
		Class:  op.Class.Name,
		Node:   node,
		How:    r.how,
		Status: r.status,
		Took:   r.took,
		Box:    r.box,
	}
	if !cn.used && !r.begun {
		e.Detail = history.Fresh
	}
	c.log.Add(e)
	if keep {
		cn.used, cn.lastID = true, id
		c.pool.put(address, cn)
	} else {
		besteffort.Close(cn)
	}
	return node, r
}

func (c *Clients) unreached(op *load.Op, id, node string) result {
	c.log.Add(
		history.Event{
			Kind:  history.Answer,
			Op:    op.N,
			ID:    id,
			Class: op.Class.Name,
			Node:  node,
			How:   history.Unreached,
		},
	)
	return result{how: history.Unreached}
}

// exchange sends one request and waits for its answer. keep says that the connection can be used again.
func (c *Clients) exchange(
	cn *conn,
	op *load.Op,
	id string,
	try int,
	wait time.Duration,
) (r result, keep bool) {
	besteffort.SocketOption(cn.SetDeadline(time.Now().Add(wait + late)))
	if _, err := io.WriteString(cn, request(op, id, try, wait)); err != nil {
		return result{how: history.Broken}, false
	}
	sent := c.log.Now()
	c.log.Add(
		history.Event{
			T:     sent,
			Kind:  history.Sent,
			Op:    op.N,
			ID:    id,
			Class: op.Class.Name,
			Node:  cn.node,
			Key:   op.Key,
			Wait:  wait,
		},
	)
	first, err := cn.in.Peek(1)
	if err != nil {
		r = result{how: history.Broken, took: c.log.Now() - sent, begun: len(first) > 0}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.how, r.begun = history.Silent, true
		}
		return r, false
	}
	resp, err := http.ReadResponse(cn.in, nil)
	if err != nil {
		return result{how: history.Broken, took: c.log.Now() - sent, begun: true}, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	besteffort.Close(resp.Body)
	r = result{status: resp.StatusCode, took: c.log.Now() - sent, begun: true}
	if err != nil {
		r.how = history.Broken
		return r, false
	}
	r.how = outcome(resp.StatusCode)
	if r.how == history.Served {
		madeFor, box, _ := strings.Cut(string(body), " ")
		r.box = box
		if madeFor != id {
			r.box = "?" // nobody's answer to this request
		}
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	return r, !resp.Close
}

func outcome(status int) string {
	switch status {
	case http.StatusOK:
		return history.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return history.Refused
	}
	return history.Failed
}

// request is the text of a try.
func request(op *load.Op, id string, try int, wait time.Duration) string {
	var b strings.Builder
	method, body := http.MethodGet, ""
	if op.Class.Effect != world.Safe {
		method, body = http.MethodPost, `{"op":`+strconv.Itoa(op.N)+`}`
	}
	fmt.Fprintf(
		&b,
		"%s /api/%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %.6f\r\nX-Cost-Hint: %d\r\n",
		method,
		op.Class.Name,
		id,
		op.Class.Name,
		op.Tenant,
		wait.Seconds(),
		op.Hint.Microseconds(),
	)
	if op.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", op.Key)
	}
	if try > 0 {
		b.WriteString("X-Retry: 1\r\n")
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}
