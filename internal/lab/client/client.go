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

// lateAnswerWait is the time for which the lab waits for an answer after a client's timeout, to distinguish a
// late answer from a missing answer.
const lateAnswerWait = 500 * time.Millisecond

// Clients sends the operations of a run, each with its tries, and records their outcomes.
type Clients struct {
	log         *history.Log
	front       *Front
	requests    *load.RequestIndex
	seed        uint64
	connections pool
	running     sync.WaitGroup
	// Late is called for each operation with the delay between its due time and its sending: the lab's own
	// lateness.
	Late func(time.Duration)
	// Disturbed reports whether a fault acts, or acted a moment ago, on a node or on the link to it. In that
	// case the end of a connection does not show whether the node has read the request.
	Disturbed func(node string) bool
}

// New returns clients that choose their nodes with front.
func New(log *history.Log, front *Front, requests *load.RequestIndex, seed uint64) *Clients {
	c := &Clients{log: log, front: front, requests: requests, seed: seed, Late: func(time.Duration) {},
		Disturbed: func(string) bool { return false }}
	c.connections = pool{idle: map[string][]idleConn{}, onExtraBytes: func(cn *conn) {
		log.Add(history.Event{Kind: history.Extra, Node: cn.node, ID: cn.lastID})
	}}
	return c
}

// Run sends every operation when it is due, counted from start, whether or not previous operations have
// ended. Once ctx ends it sends no further operations. It returns when all operations that it sent have
// ended.
func (c *Clients) Run(ctx context.Context, start time.Duration, ops []load.Op) {
	defer c.connections.close()
	lastSweep := start
	for i := range ops {
		op := &ops[i]
		due := start + op.Due
		if !backoff.Sleep(ctx, due-c.log.Now()) {
			break
		}
		if c.log.Now()-lastSweep > time.Second {
			c.connections.sweep()
			lastSweep = c.log.Now()
		}
		c.Late(c.log.Now() - due)
		c.log.Add(
			history.Event{T: due, Kind: history.Due, Op: op.N, Class: op.Class.Name, Tenant: op.Tenant, Zone: op.Zone},
		)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.carryOut(ctx, op, due)
		}()
	}
	c.running.Wait()
}

// result is the outcome of a try.
type result struct {
	outcome    string
	status     int
	backend    string
	took       time.Duration
	retryAfter time.Duration
	responded  bool // the node sent at least one byte, or the try ended by its timeout
}

// carryOut sends an operation's tries until a try succeeds, the client may not retry, or the deadline comes
// before the next try.
func (c *Clients) carryOut(ctx context.Context, op *load.Op, due time.Duration) {
	var lastResult result
	var node string
	tries := 0
	for try := 0; ; try++ {
		remaining := op.Class.Deadline - (c.log.Now() - due)
		if remaining <= 0 {
			break
		}
		wait := min(remaining, time.Duration(op.Share*float64(op.Class.Deadline)))
		tries++
		node, lastResult = c.sendTry(op, try, wait)
		if !c.shouldRetry(op, lastResult) || try >= op.Retries {
			break
		}
		delay := op.Backoff[try]
		if op.HonorsRetryAfter && lastResult.retryAfter > 0 {
			delay = max(delay, min(lastResult.retryAfter, world.MaxRetryAfter))
		}
		if c.log.Now()+delay-due >= op.Class.Deadline || !backoff.Sleep(ctx, delay) {
			break
		}
	}
	if tries == 0 { // the lab was too late to send the operation before its deadline
		lastResult.outcome = history.Unreached
	}
	c.log.Add(
		history.Event{
			Kind:    history.Over,
			Op:      op.N,
			Class:   op.Class.Name,
			Tenant:  op.Tenant,
			Zone:    op.Zone,
			Node:    node,
			How:     lastResult.outcome,
			Status:  lastResult.status,
			Took:    c.log.Now() - due,
			Tries:   tries,
			Backend: lastResult.backend,
		},
	)
}

// shouldRetry reports whether a client retries an operation after the result r. It retries a safe operation
// after any result but success, and other operations only if they are known not to have run.
func (c *Clients) shouldRetry(op *load.Op, r result) bool {
	switch r.outcome {
	case history.Served:
		return false
	case history.Refused, history.Unreached:
		return true
	}
	return op.Class.Effect == world.Safe
}

// sendTry sends the try with the given number, from 0, to a node, and waits for the answer until the timeout.
// If there is no node, the returned name is empty. If a reused connection breaks before the node sent a byte,
// the node is not disturbed and no backend was reached, the same request is sent once more to the node on a
// new connection; this is not counted as a further try.
func (c *Clients) sendTry(op *load.Op, number int, timeout time.Duration) (node string, r result) {
	node, address, ok := c.front.pick(op.Zone, op.NodeChoice+uint64(number))
	if !ok {
		return "", result{outcome: history.Unreached}
	}
	id := op.ID(c.seed, number)
	c.requests.Add(id, op)
	cn, err := c.connections.take(node, address, false)
	if err != nil {
		return node, c.unreached(op, id, node)
	}
	r, reusable := c.exchange(cn, op, id, number, timeout)
	if r.outcome == history.Broken && cn.used && !r.responded && !c.Disturbed(node) && !c.requests.Reached(id) {
		// The node closed the reused connection before it read the request, so the request is sent once more.
		c.log.Add(history.Event{Kind: history.Cross, Op: op.N, ID: id, Node: node})
		besteffort.Close(cn)
		if cn, err = c.connections.take(node, address, true); err != nil {
			return node, c.unreached(op, id, node)
		}
		r, reusable = c.exchange(cn, op, id, number, timeout)
	}
	e := history.Event{
		Kind:    history.Answer,
		Op:      op.N,
		ID:      id,
		Class:   op.Class.Name,
		Node:    node,
		How:     r.outcome,
		Status:  r.status,
		Took:    r.took,
		Backend: r.backend,
	}
	if !cn.used && !r.responded {
		e.Detail = history.Fresh
	}
	c.log.Add(e)
	if reusable {
		cn.used, cn.lastID = true, id
		c.connections.put(address, cn)
	} else {
		besteffort.Close(cn)
	}
	return node, r
}

// unreached records a try for which no connection was made.
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
	return result{outcome: history.Unreached}
}

// exchange sends a request and waits for its answer. reusable reports whether the connection can be reused.
func (c *Clients) exchange(
	cn *conn,
	op *load.Op,
	id string,
	try int,
	wait time.Duration,
) (r result, reusable bool) {
	besteffort.SocketOption(cn.SetDeadline(time.Now().Add(wait + lateAnswerWait)))
	if _, err := io.WriteString(cn, request(op, id, try, wait)); err != nil {
		return result{outcome: history.Broken}, false
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
	peeked, err := cn.reader.Peek(1)
	if err != nil {
		r = result{outcome: history.Broken, took: c.log.Now() - sent, responded: len(peeked) > 0}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.outcome, r.responded = history.Silent, true
		}
		return r, false
	}
	resp, err := http.ReadResponse(cn.reader, nil)
	if err != nil {
		return result{outcome: history.Broken, took: c.log.Now() - sent, responded: true}, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	besteffort.Close(resp.Body)
	r = result{status: resp.StatusCode, took: c.log.Now() - sent, responded: true}
	if err != nil {
		r.outcome = history.Broken
		return r, false
	}
	r.outcome = outcome(resp.StatusCode)
	if r.outcome == history.Served {
		madeFor, backend, _ := strings.Cut(string(body), " ")
		r.backend = backend
		if madeFor != id {
			r.backend = "?" // the answer belongs to another request
		}
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	return r, !resp.Close
}

// outcome returns the value of Event.How for a response status.
func outcome(status int) string {
	switch status {
	case http.StatusOK:
		return history.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return history.Refused
	}
	return history.Failed
}

// request returns the HTTP request of a try.
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
