package proxy

import (
	"context"
	"net/http"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/proxy/listener"
)

const (
	guardDelay = 4 * time.Millisecond // after which the proxy itself ends what the balancer has not ended
	// for a long request to come, at half of the slowest rate and with long waits
	maxUploadTime = time.Hour
	// clientGoneLimit is the most after which nothing begins for a client that has left.
	clientGoneLimit = 100 * time.Millisecond
)

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id              balancer.RequestID
	class           string
	settingsNumber  int // number of those that its class is of
	outbound        *outbound
	deadline        time.Time
	response        chan response // takes the one final answer
	answered        bool
	cancelAttempts  []context.CancelFunc
	runningAttempts int
	deadlineGuard   *time.Timer
	// by its name in the catalogue, until the request is over; empty: tenants are not distinguished
	tenant        string
	stream        *responseStream // the long answer that has begun; nil: none
	parked        bool            // it has waited for its tenant's part of the catalogue
	releaseMemory func()          // gives back what its body has taken; may be nil
	client        *listener.Conn  // nil: not known
	clientGone    <-chan struct{} // closed when the server knows that the client has left
}

// abandoned reports whether a request's client has left, which the loop may not know yet.
func (r *request) abandoned() bool {
	select {
	case <-r.clientGone:
		return true
	default:
		return r.client != nil && r.client.ClientGone()
	}
}

// response is a final answer to a client.
type response struct {
	status     int
	retryAfter time.Duration // of a refusal; 0: no advice
	header     http.Header
	body       []byte
	stream     *responseStream // instead of the body, if it is long
}

// openRequest takes a client's request and tells the balancer of it. The answer comes
// on r.answer.
func (srv *Server) openRequest(r *request, e balancer.RequestArrived) {
	if srv.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		r.answered = true
		r.response <- response{status: http.StatusConflict}
		return
	}
	now := srv.frontend.rules.Load().settingsNumber // those that the balancer has, as both change in one step
	if most := srv.config.Settings.MaxOpenRequests; most > 0 && len(srv.requests) >= most ||
		r.settingsNumber < now-1 {
		// The balancer does not know its class any more: another of that name may be repeated freely.
		r.answered = true
		r.response <- response{status: http.StatusServiceUnavailable}
		return
	}
	e.PreviousSettings = r.settingsNumber < now
	if !srv.decideTenant(r, &e) {
		return
	}
	srv.requests[r.id] = r
	if r.outbound.upload != nil {
		e.Incomplete, e.Timeout = true, r.outbound.upload.wait
		r.deadlineGuard = time.AfterFunc(maxUploadTime, func() {}) // its time has not begun
		srv.handle(e)
		return
	}
	e.Timeout = time.Until(r.deadline)
	srv.guardDeadline(r, e.Timeout)
	srv.handle(e)
}

// requestSent begins the time of a request whose last byte has gone out just now.
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

// guardDeadline guards a request's deadline.
func (srv *Server) guardDeadline(r *request, patience time.Duration) {
	// The balancer ends a request at its deadline. The guard is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.deadlineGuard = time.AfterFunc(patience+guardDelay, func() {
		srv.post(func() {
			if !r.answered {
				srv.answerRequest(r.id, response{status: http.StatusGatewayTimeout})
				for _, cancel := range r.cancelAttempts {
					cancel() // a module that lost the request does not call them off
				}
				srv.handle(balancer.RequestAbandoned{ID: r.id})
			}
		})
	})
}

// abandonRequest ends a request whose client has gone.
func (srv *Server) abandonRequest(r *request) {
	if !r.answered {
		srv.closeRequest(r)
		srv.handle(balancer.RequestAbandoned{ID: r.id})
		return
	}
	select {
	case a := <-r.response: // it came too late
		if a.stream != nil {
			a.stream.ended <- errClientGone
		}
	default:
	}
}

// answerRequest gives a request its final answer. All answers pass here, and only
// the first goes on.
func (srv *Server) answerRequest(id balancer.RequestID, a response) {
	if r := srv.requests[id]; r != nil && !r.answered {
		r.response <- a
		srv.closeRequest(r)
	}
}

func (srv *Server) closeRequest(r *request) {
	r.answered = true
	r.deadlineGuard.Stop()
	srv.forgetRequest(r)
}

func (srv *Server) forgetRequest(r *request) {
	if r.answered && r.runningAttempts == 0 {
		delete(srv.requests, r.id)
		srv.tenantRequestEnded(r)
	}
}
