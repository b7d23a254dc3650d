package proxy

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"wrenspread/balancer"
)

const inboxSize = 1024

// loop is the one owner of the module and the requests.
func (n *Node) loop(ctx context.Context) {
	defer close(n.ended)
	for {
		select {
		case f := <-n.calls:
			f()
			continue
		default:
		}
		select {
		case f := <-n.calls:
			f()
		case f := <-n.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ended:
	}
}

// do has the loop run f ahead of its inbox, and returns when it has.
func (n *Node) do(f func()) bool {
	done := make(chan struct{})
	select {
	case n.calls <- func() { defer close(done); f() }:
	case <-n.ended:
		return false
	}
	<-done
	return true
}

// now is the module's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *Node) now() balancer.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handle tells the module of an event and carries out what it decides, in order.
func (n *Node) handle(e balancer.Event) {
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return // the call further up gets to it
	}
	if n.governed != nil {
		n.governed.ledger.AdvanceTo(time.Since(n.start)) // the hand by which requests are judged
	}
	for len(n.queue) > 0 {
		for _, a := range n.module.Handle(n.now(), n.queue[0]) {
			n.act(a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
	switch e.(type) {
	case balancer.TimerFired, balancer.Maintenance, balancer.EndpointsUpdated: // often enough for a figure
		n.stats.ejected.Store(int64(n.module.Ejected()))
	}
}

func (n *Node) act(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		n.send(a)
	case balancer.Reject:
		n.finish(a.ID, answer{status: cmp.Or(a.Status, http.StatusServiceUnavailable), holdOff: a.RetryAfter})
	case balancer.Fail:
		n.finish(a.ID, answer{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt]()
		}
	case balancer.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(balancer.TimerFired{Token: a.Token}) }) })
	case balancer.CloseIdleConnections:
		n.backends.closeIdle(a.Endpoint)
	case balancer.SendMessage:
		n.message(a)
	case balancer.Subscribe:
		n.lists.Poll(n.ctx, false, a.On)
	case balancer.FetchEndpoints:
		n.lists.Poll(n.ctx, true, n.cfg.Settings.PollForEndpoints)
	case balancer.Log:
		n.log.Info("module: " + a.Line)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// message passes a message on to one node, or to all others.
func (n *Node) message(a balancer.SendMessage) {
	if !a.ToAll {
		n.peers.Load().send(a.To, a.Data)
		return
	}
	for to := range n.cfg.Peers {
		if to != n.cfg.Settings.ProxyIndex {
			n.peers.Load().send(to, a.Data)
		}
	}
}
