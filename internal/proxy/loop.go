package proxy

import (
	"cmp"
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"wrenspread/balancer"
)

// inboxSize is the number of posted functions that may wait for the loop.
const inboxSize = 1024

// loop runs the functions that are posted to it, and is the only goroutine that uses the balancer and the
// requests. Functions given to do run before those given to post.
func (srv *Server) loop(ctx context.Context) {
	defer close(srv.ended)
	for {
		select {
		case f := <-srv.calls:
			srv.run(f)
			continue
		default:
		}
		select {
		case f := <-srv.calls:
			srv.run(f)
		case f := <-srv.inbox:
			srv.run(f)
		case <-ctx.Done():
			return
		}
	}
}

// run runs a function. If it panics, the request that it concerns is answered by its guard at its deadline,
// and the other requests go on.
func (srv *Server) run(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			srv.pendingEvents = nil
			srv.stats.panics.Add(1)
			srv.log.Error("panic in the loop", "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// post makes the loop run f; it does nothing once the loop has ended.
func (srv *Server) post(f func()) {
	select {
	case srv.inbox <- f:
	case <-srv.ended:
	}
}

// do makes the loop run f ahead of its inbox, and returns when f has returned. It returns false if the
// loop has ended.
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

// now is the balancer's clock: wall time at the start plus the time that has passed since. So it is
// comparable with the times in the endpoint list and never steps back.
func (srv *Server) now() balancer.Time {
	return time.Duration(srv.start.UnixNano()) + time.Since(srv.start)
}

// handle passes an event to the balancer and carries out its actions, in order. Events that these actions
// cause are queued and handled afterwards.
func (srv *Server) handle(e balancer.Event) {
	srv.pendingEvents = append(srv.pendingEvents, e)
	if len(srv.pendingEvents) > 1 {
		return // the outer call of handle handles it
	}
	if srv.policy != nil {
		srv.policy.ledger.AdvanceTo(time.Since(srv.start)) // the time as of which requests are admitted
	}
	for len(srv.pendingEvents) > 0 {
		for _, a := range srv.balancer.Handle(srv.now(), srv.pendingEvents[0]) {
			srv.carryOut(a)
		}
		srv.pendingEvents = srv.pendingEvents[1:]
	}
	srv.pendingEvents = nil
	switch e.(type) {
	case balancer.TimerFired, balancer.Maintenance, balancer.EndpointsUpdated: // often enough for a metric
		srv.stats.ejected.Store(int64(srv.balancer.Unavailable()))
	}
}

// carryOut executes an action of the balancer.
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

// sendMessage sends a message of the balancer to one proxy, or to all others.
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
