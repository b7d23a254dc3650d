package proxy

import (
	"context"
	"math"
	"net/http"
	"time"

	"wrenspread/balancer"
)

// startAttempt makes the attempt that the balancer has decided on, in a goroutine of its own, and posts its
// outcome to the loop. If the request has been answered meanwhile, or another attempt runs and the settings
// do not allow hedging, the attempt ends at once as balancer.NotSent.
func (srv *Server) startAttempt(a balancer.StartAttempt) {
	r := srv.requests[a.ID]
	if r == nil {
		srv.log.Error("attempt for a request that is not open", "id", a.ID)
		return
	}
	number := len(r.cancelAttempts)
	timeout := time.Until(r.deadline)
	if up := r.outbound.upload; up != nil && !up.hasDeadline() {
		timeout = maxUploadTime // bodyReader enforces the rate of the upload
	} else if a.Timeout != 0 {
		timeout = min(timeout, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(srv.loopContext, timeout)
	r.cancelAttempts = append(r.cancelAttempts, cancel)
	if r.answered || r.runningAttempts > 0 && !srv.config.Settings.AllowHedging {
		cancel()
		srv.pendingEvents = append(
			srv.pendingEvents,
			balancer.AttemptEnded{
				ID:              r.id,
				Attempt:         number,
				Endpoint:        a.Endpoint,
				RequestAnswered: r.answered,
				Outcome:         balancer.NotSent,
			},
		)
		return
	}
	r.runningAttempts++
	began := time.Now()
	go func() {
		defer cancel()
		mayWrite := func() bool { return !r.mayBeAbandoned() && srv.now() < a.WriteBy }
		res := srv.pool.attempt(ctx, a.Endpoint, r.outbound, mayWrite, func(res result) error {
			return srv.streamResponse(r, number, a.Endpoint, time.Since(srv.serviceStart(r, began)), res)
		})
		elapsed := time.Since(srv.serviceStart(r, began))
		srv.post(func() { srv.attemptEnded(r, number, a.Endpoint, elapsed, res) })
	}()
}

// serviceStart returns when the backend could begin to serve a request: for an upload when its last byte
// was sent, otherwise when the attempt began.
func (srv *Server) serviceStart(r *request, began time.Time) time.Time {
	if r.outbound.upload != nil {
		if at := r.outbound.upload.completedAt.Load(); at != 0 {
			return time.Unix(0, at)
		}
	}
	return began
}

// streamResponse hands a streamed response to its request, and returns when the response has ended, with
// the reason if it was cut off.
func (srv *Server) streamResponse(
	r *request,
	number int,
	endpoint balancer.EndpointID,
	elapsed time.Duration,
	res result,
) error {
	srv.post(func() {
		if r.answered {
			res.stream.ended <- errClientGone
			return
		}
		srv.handle(balancer.ResponseStarted{ID: r.id, Attempt: number, Endpoint: endpoint, Elapsed: elapsed})
		r.stream = res.stream
		srv.answerRequest(r.id, response{status: http.StatusOK, header: res.header, stream: res.stream})
	})
	select {
	case err := <-res.stream.ended:
		return err
	case <-srv.ended:
		return errEnded
	}
}

// attemptEnded answers the request if the attempt has succeeded, and reports the attempt to the stats and
// the balancer.
func (srv *Server) attemptEnded(
	r *request,
	number int,
	endpoint balancer.EndpointID,
	elapsed time.Duration,
	res result,
) {
	r.runningAttempts--
	r.mayHaveRun = r.mayHaveRun || !res.outcome.ProvesNotRun()
	if res.repeatsDiscarded > 0 {
		srv.log.Info("second responses discarded", "id", r.id, "endpoint", endpoint, "count", res.repeatsDiscarded)
	}
	if res.outcome == balancer.OK {
		srv.answerRequest(r.id, response{status: http.StatusOK, header: res.header, body: res.body})
	}
	if srv.config.BackendStats {
		srv.stats.attempt(srv.endpointIDs.byID[endpoint], res.outcome, elapsed > srv.latencyObjective(r.class))
	}
	requestAnswered := r.answered
	srv.handle(
		balancer.AttemptEnded{
			ID:              r.id,
			Attempt:         number,
			Endpoint:        endpoint,
			RequestAnswered: requestAnswered,
			BodyDiscarded:   res.bodyDiscarded,
			Elapsed:         elapsed,
			Outcome:         res.outcome,
			LoadReport:      res.loadReport,
		},
	)
	srv.forgetRequest(r)
}

// latencyObjective returns the latency objective of a class: a response that takes longer is late. A class
// that is not configured has no objective.
func (srv *Server) latencyObjective(class string) time.Duration {
	for _, c := range srv.config.Settings.Classes {
		if c.Name == class {
			return c.LatencyObjective
		}
	}
	return math.MaxInt64
}
