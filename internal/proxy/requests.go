package proxy

import (
	"context"
	"net/http"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/proxy/listener"
)

const (
	// guardDelay is the time after a deadline at which the proxy ends a request that the balancer has not
	// ended.
	guardDelay = 4 * time.Millisecond
	// maxUploadTime bounds the time of an upload: the longest upload at half the rate of the slowest client,
	// with long pauses.
	maxUploadTime = time.Hour
	// clientGoneLimit bounds the time between a client's leaving and the last attempt that may begin for it.
	clientGoneLimit = 100 * time.Millisecond
)

// request is a client's request. It exists until it is answered and its attempts have ended.
type request struct {
	id              balancer.RequestID
	class           string
	settingsNumber  int // number of the settings in which its class is defined
	outbound        *outbound
	deadline        time.Time
	response        chan response // receives the one final response
	answered        bool
	cancelAttempts  []context.CancelFunc
	runningAttempts int
	deadlineGuard   *time.Timer
	// tenant is the tenant's name in the catalogue, and is cleared when the request has ended; empty if tenants
	// are not distinguished.
	tenant     string
	stream     *responseStream // the response that is being streamed; nil if there is none
	runsOnce   bool            // its class is not idempotent, so it must not run again
	mayHaveRun bool            // an attempt has begun that may have run it
	served     bool            // the response of a backend has been given to its client's connection
	parked     bool            // it waits, or has waited, for its tenant's leaf of the catalogue
	client     *listener.Conn  // nil if not known
	clientGone <-chan struct{} // closed when the HTTP server has detected that the client left
}

// abandoned reports whether the client of a request has left. The loop may not know it yet.
func (r *request) abandoned() bool {
	select {
	case <-r.clientGone:
		return true
	default:
		return r.client != nil && r.client.ClientGone()
	}
}

// mayBeAbandoned reports whether the client of a request has left, or may have left unseen. A request that
// can't be attempted for that is rejected or fails.
func (r *request) mayBeAbandoned() bool {
	return r.abandoned() || r.client != nil && r.client.MayHideEnd()
}

// response is a final response to a client.
type response struct {
	status     int
	retryAfter time.Duration // for the Retry-After header of a rejection; 0: no header
	header     http.Header
	body       []byte
	stream     *responseStream // instead of body, for a long response
}

// openRequest registers a client's request and passes it to the balancer. The response comes on
// r.response.
func (srv *Server) openRequest(r *request, e balancer.RequestArrived) {
	if srv.requests[r.id] != nil {
		// Two open requests with the same ID would get each other's responses.
		srv.answerUnopened(r, response{status: http.StatusConflict})
		return
	}
	settingsNumber := srv.frontend.rules.Load().settingsNumber // as in the balancer: both change in one step
	if maxOpen := srv.config.Settings.MaxOpenRequests; maxOpen > 0 && len(srv.requests) >= maxOpen ||
		r.settingsNumber < settingsNumber-1 {
		// Too many requests are open, or the balancer no longer has the settings in which the request's class is
		// defined. In the latter case the present class of the same name may allow retries freely.
		srv.answerUnopened(r, response{status: http.StatusServiceUnavailable})
		return
	}
	e.PreviousSettings = r.settingsNumber < settingsNumber
	if !srv.decideTenant(r, &e) {
		return
	}
	srv.requests[r.id] = r
	if up := r.outbound.upload; up != nil {
		e.Incomplete, e.Timeout = true, up.responseTimeout
		r.deadlineGuard = time.AfterFunc(maxUploadTime, func() {}) // placeholder until the last byte has come
		srv.handle(e)
		if up.hasDeadline() { // the last byte came while the request was parked
			srv.requestReceived(r, srv.frontend.remainingTime(up.remaining()))
		}
		return
	}
	e.Timeout = time.Until(r.deadline)
	srv.guardDeadline(r, e.Timeout)
	srv.handle(e)
}

// answerUnopened answers a request that the balancer does not get.
func (srv *Server) answerUnopened(r *request, resp response) {
	r.answered = true
	r.response <- resp
	srv.endExecution(r)
}

// requestReceived starts the deadline of an upload whose last byte has reached this machine. wait is the time
// that is left for its response.
func (srv *Server) requestReceived(r *request, wait time.Duration) {
	if r.answered {
		return
	}
	r.outbound.upload.countStart(&srv.stats.outstanding)
	r.deadline = time.Now().Add(wait)
	r.deadlineGuard.Stop()
	srv.guardDeadline(r, wait)
	srv.handle(balancer.RequestReceived{ID: r.id, Timeout: wait})
}

// requestSent reports to the balancer that the last byte of an upload has just been sent to a backend.
func (srv *Server) requestSent(r *request, wait time.Duration) {
	srv.requestReceived(r, wait)
	if !r.answered {
		srv.handle(balancer.RequestSent{ID: r.id, Timeout: wait})
	}
}

// guardDeadline answers a request shortly after its deadline if the balancer has not ended it, so that the
// client gets a response in time even if the balancer fails to end the request.
func (srv *Server) guardDeadline(r *request, timeout time.Duration) {
	r.deadlineGuard = time.AfterFunc(timeout+guardDelay, func() {
		srv.post(func() {
			if !r.answered {
				srv.answerRequest(r.id, response{status: http.StatusGatewayTimeout})
				for _, cancel := range r.cancelAttempts {
					cancel() // if the balancer has lost the request, it does not cancel them
				}
				srv.handle(balancer.RequestAbandoned{ID: r.id})
			}
		})
	})
}

// abandonRequest ends a request whose client has left.
func (srv *Server) abandonRequest(r *request) {
	if !r.answered {
		srv.closeRequest(r)
		srv.handle(balancer.RequestAbandoned{ID: r.id})
		return
	}
	select {
	case resp := <-r.response: // the response came too late
		if resp.stream != nil {
			resp.stream.ended <- errClientGone
		}
	default:
	}
}

// answerRequest gives a request its final response. All responses pass through here, and only the first one
// is delivered.
func (srv *Server) answerRequest(id balancer.RequestID, resp response) {
	if r := srv.requests[id]; r != nil && !r.answered {
		r.response <- resp
		r.served = resp.status == http.StatusOK
		srv.closeRequest(r)
	}
}

// closeRequest marks a request as answered, and forgets it once its attempts have ended.
func (srv *Server) closeRequest(r *request) {
	r.answered = true
	if r.deadlineGuard != nil { // nil if a panic came first
		r.deadlineGuard.Stop()
	}
	srv.forgetRequest(r)
}

// forgetRequest removes a request that is answered and has no running attempts.
func (srv *Server) forgetRequest(r *request) {
	if r.answered && r.runningAttempts == 0 {
		delete(srv.requests, r.id)
		srv.endExecution(r)
		srv.tenantRequestEnded(r)
	}
}
