package proxy

import (
	"context"
	"math"
	"net/http"
	"time"

	"wrenspread/balancer"
)

func (n *Node) send(a balancer.StartAttempt) {
	r := n.requests[a.ID]
	if r == nil {
		n.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	number := len(r.attempts)
	left := time.Until(r.deadline)
	if r.out.rest != nil {
		left = uploadMost // how fast it must come is another matter
	} else if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(n.ctx, left)
	r.attempts = append(r.attempts, cancel)
	if r.done || r.running > 0 && !n.cfg.Settings.AllowHedging {
		cancel()
		n.queue = append(n.queue, balancer.AttemptEnded{ID: r.id, Attempt: number, Endpoint: a.Endpoint, RequestAnswered: r.done, Outcome: balancer.NotSent})
		return
	}
	r.running++
	began := time.Now()
	go func() {
		defer cancel()
		may := func() bool { return !r.abandoned() && n.now() < a.WriteBy }
		res := n.backends.attempt(ctx, a.Endpoint, r.out, may, func(res result) error {
			return n.passOn(r, number, a.Endpoint, time.Since(n.startOf(r, began)), res)
		})
		took := time.Since(n.startOf(r, began))
		n.post(func() { n.attemptEnded(r, number, a.Endpoint, took, res) })
	}()
}

// startOf is when a server could begin on a request: at its last byte.
func (n *Node) startOf(r *request, began time.Time) time.Time {
	if r.out.rest != nil {
		if at := r.out.rest.wholeAt.Load(); at != 0 {
			return time.Unix(0, at)
		}
	}
	return began
}

// passOn gives a long answer to its request, and returns when that is over.
func (n *Node) passOn(r *request, number int, server balancer.EndpointID, took time.Duration, res result) error {
	n.post(func() {
		if r.done {
			res.stream.ended <- errClientGone
			return
		}
		n.handle(balancer.ResponseStarted{ID: r.id, Attempt: number, Endpoint: server, Elapsed: took})
		r.stream = res.stream
		n.finish(r.id, answer{status: http.StatusOK, header: res.header, stream: res.stream})
	})
	select {
	case err := <-res.stream.ended:
		return err
	case <-n.ended:
		return errEnded
	}
}

func (n *Node) attemptEnded(r *request, number int, server balancer.EndpointID, took time.Duration, res result) {
	r.running--
	if res.code == balancer.OK {
		n.finish(r.id, answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	if n.cfg.BackendStats {
		n.stats.attempt(n.ids.byID[server], res.code, took > n.aim(r.class))
	}
	over := r.done
	n.handle(balancer.AttemptEnded{ID: r.id, Attempt: number, Endpoint: server, RequestAnswered: over, BodyDiscarded: res.spent, Elapsed: took,
		Outcome: res.code, LoadReport: res.report})
	n.forget(r)
}

// aim is the time in which an answer of a class has its full worth; without a class, any.
func (n *Node) aim(class string) time.Duration {
	for _, c := range n.cfg.Settings.Classes {
		if c.Name == class {
			return c.LatencyObjective
		}
	}
	return math.MaxInt64
}
