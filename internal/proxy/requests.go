package proxy

import (
	"context"
	"net/http"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/proxy/listener"
)

const (
	guardDelay = 4 * time.Millisecond // after which the node itself ends what the module has not ended
	uploadMost = time.Hour            // for a long request to come, at half of the slowest rate and with long waits
	// goneTime is the most after which nothing begins for a client that has left.
	goneTime = 100 * time.Millisecond
)

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id        balancer.RequestID
	class     string
	settings  int // number of those that its class is of
	out       *outbound
	deadline  time.Time
	answer    chan answer // takes the one final answer
	done      bool
	attempts  []context.CancelFunc
	running   int
	guard     *time.Timer
	tenant    string          // by its name in the catalogue, until the request is over; empty: tenants are not told apart
	stream    *stream         // the long answer that has begun; nil: none
	parked    bool            // it has waited for its tenant's part of the catalogue
	leaveRoom func()          // gives back what its body has taken; may be nil
	client    *listener.Conn  // nil: not known
	gone      <-chan struct{} // closed when the server knows that the client has left
}

// abandoned tells whether a request's client has left, which the loop may not know yet.
func (r *request) abandoned() bool {
	select {
	case <-r.gone:
		return true
	default:
		return r.client != nil && r.client.Left()
	}
}

// answer is a final answer to a client.
type answer struct {
	status  int
	holdOff time.Duration // of a refusal; 0: no advice
	header  http.Header
	body    []byte
	stream  *stream // instead of the body, if it is long
}

// open takes a client's request and tells the module of it. The answer comes
// on r.answer.
func (n *Node) open(r *request, e balancer.RequestArrived) {
	if n.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		r.done = true
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	now := n.front.rules.Load().number // those that the module has, as both change in one step
	if most := n.cfg.Settings.MaxOpenRequests; most > 0 && len(n.requests) >= most || r.settings < now-1 {
		// The module does not know its class any more: another of that name may be repeated freely.
		r.done = true
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	e.PreviousSettings = r.settings < now
	if !n.judge(r, &e) {
		return
	}
	n.requests[r.id] = r
	if r.out.rest != nil {
		e.Incomplete, e.Timeout = true, r.out.rest.wait
		r.guard = time.AfterFunc(uploadMost, func() {}) // its time has not begun
		n.handle(e)
		return
	}
	e.Timeout = time.Until(r.deadline)
	n.keepTime(r, e.Timeout)
	n.handle(e)
}

// whole begins the time of a request whose last byte has gone out just now.
func (n *Node) whole(r *request, wait time.Duration) {
	if r.done {
		return
	}
	r.out.rest.take(&n.stats.outstanding)
	r.deadline = time.Now().Add(wait)
	r.guard.Stop()
	n.keepTime(r, wait)
	n.handle(balancer.RequestSent{ID: r.id, Timeout: wait})
}

// keepTime guards a request's deadline.
func (n *Node) keepTime(r *request, patience time.Duration) {
	// The module ends a request at its deadline. The guard is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.guard = time.AfterFunc(patience+guardDelay, func() {
		n.post(func() {
			if !r.done {
				n.finish(r.id, answer{status: http.StatusGatewayTimeout})
				for _, cancel := range r.attempts {
					cancel() // a module that lost the request does not call them off
				}
				n.handle(balancer.RequestAbandoned{ID: r.id})
			}
		})
	})
}

// abandon ends a request whose client has gone.
func (n *Node) abandon(r *request) {
	if !r.done {
		n.close(r)
		n.handle(balancer.RequestAbandoned{ID: r.id})
		return
	}
	select {
	case a := <-r.answer: // it came too late
		if a.stream != nil {
			a.stream.ended <- errClientGone
		}
	default:
	}
}

// finish gives a request its final answer. All answers pass here, and only
// the first goes on.
func (n *Node) finish(id balancer.RequestID, a answer) {
	if r := n.requests[id]; r != nil && !r.done {
		r.answer <- a
		n.close(r)
	}
}

func (n *Node) close(r *request) {
	r.done = true
	r.guard.Stop()
	n.forget(r)
}

func (n *Node) forget(r *request) {
	if r.done && r.running == 0 {
		delete(n.requests, r.id)
		n.overTenant(r)
	}
}
