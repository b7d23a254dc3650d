package proxy

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"wrenspread/balancer"
)

const inboxSize = 1024

// loop is the one owner of the balancer and the requests.
func (n *Server) loop(ctx context.Context) {
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
func (n *Server) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ended:
	}
}

// do has the loop run f ahead of its inbox, and returns when it has.
func (n *Server) do(f func()) bool {
	done := make(chan struct{})
	select {
	case n.calls <- func() { defer close(done); f() }:
	case <-n.ended:
		return false
	}
	<-done
	return true
}

// now is the balancer's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *Server) now() balancer.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handle tells the balancer of an event and carries out what it decides, in order.
func (n *Server) handle(e balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, e)
	if len(n.pendingEvents) > 1 {
		return // the call further up gets to it
	}
	if n.policy != nil {
		n.policy.ledger.AdvanceTo(time.Since(n.start)) // the hand by which requests are judged
	}
	for len(n.pendingEvents) > 0 {
		for _, a := range n.balancer.Handle(n.now(), n.pendingEvents[0]) {
			n.carryOut(a)
		}
		n.pendingEvents = n.pendingEvents[1:]
	}
	n.pendingEvents = nil
	switch e.(type) {
	case balancer.TimerFired, balancer.Maintenance, balancer.EndpointsUpdated: // often enough for a figure
		n.stats.ejected.Store(int64(n.balancer.Ejected()))
	}
}

func (n *Server) carryOut(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		n.startAttempt(a)
	case balancer.Reject:
		n.answerRequest(
			a.ID,
			response{status: cmp.Or(a.Status, http.StatusServiceUnavailable), retryAfter: a.RetryAfter},
		)
	case balancer.Fail:
		n.answerRequest(a.ID, response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.cancelAttempts) {
			r.cancelAttempts[a.Attempt]()
		}
	case balancer.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(balancer.TimerFired{Token: a.Token}) }) })
	case balancer.CloseIdleConnections:
		n.pool.closeIdle(a.Endpoint)
	case balancer.SendMessage:
		n.sendMessage(a)
	case balancer.Subscribe:
		n.endpointSource.Poll(n.loopContext, false, a.On)
	case balancer.FetchEndpoints:
		n.endpointSource.Poll(n.loopContext, true, n.config.Settings.PollForEndpoints)
	case balancer.Log:
		n.log.Info("module: " + a.Line)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// sendMessage passes a message on to one proxy, or to all others.
func (n *Server) sendMessage(a balancer.SendMessage) {
	if !a.ToAll {
		n.peers.Load().send(a.To, a.Data)
		return
	}
	for to := range n.config.Peers {
		if to != n.config.Settings.ProxyIndex {
			n.peers.Load().send(to, a.Data)
		}
	}
}
