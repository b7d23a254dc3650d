package proxy

import (
	"errors"
	"net/http"
	"runtime/debug"
	"time"
)

// loopGrace is the time after a request's deadline for which its handler waits for the loop's response. It
// leaves half of the lateness that a final answer may have.
const loopGrace = 250 * time.Millisecond

// answeringHandler answers each request, also if the handler panics before its response has begun.
type answeringHandler struct {
	server  *Server
	handler http.HandlerFunc
}

// ServeHTTP runs the handler. http.ErrAbortHandler is passed on: it breaks a response off on purpose.
func (h answeringHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tracked := &trackedResponse{ResponseWriter: w}
	defer func() {
		if cause := recover(); cause != nil {
			h.answerPanic(tracked, r, cause)
		}
	}()
	h.handler(tracked, r)
}

// answerPanic answers a request whose handler has panicked. A response that has begun is broken off, so that
// the client can tell.
func (h answeringHandler) answerPanic(w *trackedResponse, r *http.Request, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	h.server.stats.panics.Add(1)
	h.server.log.Error("panic in a handler", "id", r.Header.Get("X-Request-Id"), "cause", cause,
		"response_begun", w.begun, "stack", string(debug.Stack()))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// trackedResponse is a response of which is known whether it has begun.
type trackedResponse struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the response.
func (w *trackedResponse) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the response, if WriteHeader has not.
func (w *trackedResponse) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the response, for http.ResponseController.
func (w *trackedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// loopTimeout returns a timer for a request that the loop does not answer, although its guard should have.
// The deadline of an upload is not known yet (isOverdue).
func loopTimeout(req *request) *time.Timer {
	if req.outbound.upload != nil {
		return time.NewTimer(maxUploadTime)
	}
	return time.NewTimer(time.Until(req.deadline) + loopGrace)
}

// isOverdue reports whether the loop has not answered an upload, although its guard should have.
func isOverdue(up *upload) bool { return up.hasDeadline() && up.remaining() < -loopGrace }

// answerForLoop answers a request that the loop has not answered in time.
func (f *frontend) answerForLoop(w http.ResponseWriter, req *request) {
	f.server.stats.unansweredByLoop.Add(1)
	f.server.log.Error("the loop has not answered a request in time", "id", req.id, "class", req.class)
	go f.server.post(func() { f.server.abandonRequest(req) }) // the inbox may be full
	closeUnlessUploaded(w, req)
	writeComplete(w, response{status: http.StatusGatewayTimeout})
}
