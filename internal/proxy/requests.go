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
	// maxUploadTime bounds the time of an upload: the longest one at half of the slowest client's rate, with
	// long pauses.
	maxUploadTime = time.Hour
	// clientGoneLimit is the time after which no attempt may begin for a client that has left.
	clientGoneLimit = 100 * time.Millisecond
)

// request is a client's request, until it is answered and its attempts have ended.
type request struct {
	id              balancer.RequestID
	class           string
	settingsNumber  int // number of the settings that its class is from
	outbound        *outbound
	deadline        time.Time
	response        chan response // receives the one final response
	answered        bool
	cancelAttempts  []context.CancelFunc
	runningAttempts int
	deadlineGuard   *time.Timer
	// tenant is named as in the catalogue, until the request has ended; empty if tenants are not
	// distinguished.
	tenant        string
	stream        *responseStream // the streamed response that has begun; nil if there is none
	parked        bool            // it has waited for its tenant's part of the catalogue
	releaseMemory func()          // returns the memory reserved for its body; may be nil
	client        *listener.Conn  // nil if not known
	clientGone    <-chan struct{} // closed when the HTTP server has detected that the client left
}

// abandoned reports whether the client of a request has left, which the loop may not know yet.
func (r *request) abandoned() bool {
	select {
	case <-r.clientGone:
		return true
	default:
		return r.client != nil && r.client.ClientGone()
	}
}

// response is a final response to a client.
type response struct {
	status     int
	retryAfter time.Duration // of a rejection; 0 means no advice
	header     http.Header
	body       []byte
	stream     *responseStream // instead of body, for a long response
}

// openRequest registers a client's request and passes it to the balancer. The response comes on
// r.response.
func (srv *Server) openRequest(r *request, e balancer.RequestArrived) {
	if srv.requests[r.id] != nil {
		// Two open requests with the same ID would get each other's responses.
		r.answered = true
		r.response <- response{status: http.StatusConflict}
		return
	}
	settingsNumber := srv.frontend.rules.Load().settingsNumber // as in the balancer: both change in one step
	if maxOpen := srv.config.Settings.MaxOpenRequests; maxOpen > 0 && len(srv.requests) >= maxOpen ||
		r.settingsNumber < settingsNumber-1 {
		// The balancer no longer has the settings of the request's class: a present class of the same name may
		// allow retries freely.
		r.answered = true
		r.response <- response{status: http.StatusServiceUnavailable}
		return
	}
	e.PreviousSettings = r.settingsNumber < settingsNumber
	if !srv.decideTenant(r, &e) {
		return
	}
	srv.requests[r.id] = r
	if r.outbound.upload != nil {
		e.Incomplete, e.Timeout = true, r.outbound.upload.responseTimeout
		r.deadlineGuard = time.AfterFunc(maxUploadTime, func() {}) // placeholder until the last byte is sent
		srv.handle(e)
		return
	}
	e.Timeout = time.Until(r.deadline)
	srv.guardDeadline(r, e.Timeout)
	srv.handle(e)
}

// requestSent starts the deadline of an upload whose last byte has just been sent.
func (srv *Server) requestSent(r *request, wait time.Duration) {
	if r.answered {
		return
	}
	r.outbound.upload.countStart(&srv.stats.outstanding)
	r.deadline = time.Now().Add(wait)
	r.deadlineGuard.Stop()
	srv.guardDeadline(r, wait)
	srv.handle(balancer.RequestSent{ID: r.id, Timeout: wait})
}

// guardDeadline answers a request shortly after its deadline, if the balancer has not ended it: a
// response in time is owed whatever the balancer does.
func (srv *Server) guardDeadline(r *request, timeout time.Duration) {
	r.deadlineGuard = time.AfterFunc(timeout+guardDelay, func() {
		srv.post(func() {
			if !r.answered {
				srv.answerRequest(r.id, response{status: http.StatusGatewayTimeout})
				for _, cancel := range r.cancelAttempts {
					cancel() // a balancer that has lost the request does not cancel them
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

// answerRequest gives a request its final response. All responses pass here, and only the first is
// delivered.
func (srv *Server) answerRequest(id balancer.RequestID, resp response) {
	if r := srv.requests[id]; r != nil && !r.answered {
		r.response <- resp
		srv.closeRequest(r)
	}
}

// closeRequest marks a request as answered, and forgets it once its attempts have ended.
func (srv *Server) closeRequest(r *request) {
	r.answered = true
	r.deadlineGuard.Stop()
	srv.forgetRequest(r)
}

// forgetRequest removes a request that is answered and has no running attempts.
func (srv *Server) forgetRequest(r *request) {
	if r.answered && r.runningAttempts == 0 {
		delete(srv.requests, r.id)
		srv.tenantRequestEnded(r)
	}
}
