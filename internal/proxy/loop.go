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
func (srv *Server) loop(ctx context.Context) {
	defer close(srv.ended)
	for {
		select {
		case f := <-srv.calls:
			f()
			continue
		default:
		}
		select {
		case f := <-srv.calls:
			f()
		case f := <-srv.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (srv *Server) post(f func()) {
	select {
	case srv.inbox <- f:
	case <-srv.ended:
	}
}

// do has the loop run f ahead of its inbox, and returns when it has.
func (srv *Server) do(f func()) bool {
	done := make(chan struct{})
	select {
	case srv.calls <- func() { defer close(done); f() }:
	case <-srv.ended:
		return false
	}
	<-done
	return true
}

// now is the balancer's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (srv *Server) now() balancer.Time {
	return time.Duration(srv.start.UnixNano()) + time.Since(srv.start)
}

// handle tells the balancer of an event and carries out what it decides, in order.
func (srv *Server) handle(e balancer.Event) {
	srv.pendingEvents = append(srv.pendingEvents, e)
	if len(srv.pendingEvents) > 1 {
		return // the call further up gets to it
	}
	if srv.policy != nil {
		srv.policy.ledger.AdvanceTo(time.Since(srv.start)) // the hand by which requests are judged
	}
	for len(srv.pendingEvents) > 0 {
		for _, a := range srv.balancer.Handle(srv.now(), srv.pendingEvents[0]) {
			srv.carryOut(a)
		}
		srv.pendingEvents = srv.pendingEvents[1:]
	}
	srv.pendingEvents = nil
	switch e.(type) {
	case balancer.TimerFired, balancer.Maintenance, balancer.EndpointsUpdated: // often enough for a figure
		srv.stats.ejected.Store(int64(srv.balancer.Ejected()))
	}
}

func (srv *Server) carryOut(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		srv.startAttempt(a)
	case balancer.Reject:
		srv.answerRequest(
			a.ID,
			response{status: cmp.Or(a.Status, http.StatusServiceUnavailable), retryAfter: a.RetryAfter},
		)
	case balancer.Fail:
		srv.answerRequest(a.ID, response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := srv.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.cancelAttempts) {
			r.cancelAttempts[a.Attempt]()
		}
	case balancer.SetTimer:
		time.AfterFunc(a.After, func() { srv.post(func() { srv.handle(balancer.TimerFired{Token: a.Token}) }) })
	case balancer.CloseIdleConnections:
		srv.pool.closeIdle(a.Endpoint)
	case balancer.SendMessage:
		srv.sendMessage(a)
	case balancer.Subscribe:
		srv.endpointSource.Poll(srv.loopContext, false, a.On)
	case balancer.FetchEndpoints:
		srv.endpointSource.Poll(srv.loopContext, true, srv.config.Settings.PollForEndpoints)
	case balancer.Log:
		srv.log.Info("module: " + a.Line)
	default:
		srv.log.Warn("action not carried out", "action", a)
	}
}

// sendMessage passes a message on to one proxy, or to all others.
func (srv *Server) sendMessage(a balancer.SendMessage) {
	if !a.ToAll {
		srv.peers.Load().send(a.To, a.Data)
		return
	}
	for to := range srv.config.Peers {
		if to != srv.config.Settings.ProxyIndex {
			srv.peers.Load().send(to, a.Data)
		}
	}
}
