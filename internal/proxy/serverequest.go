package proxy

import (
	"net/http"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// requestResult describes how a request ended: its outcome, whether its client has a complete response to
// read, and whether the response was truncated.
type requestResult struct {
	outcome             requestOutcome
	answered, truncated bool
}

// handleRequest hands a request to the loop, writes its response and returns how it ended.
func (f *frontend) handleRequest(
	w http.ResponseWriter,
	r *http.Request,
	req *request,
	event balancer.RequestArrived,
) requestResult {
	var uploadEnded <-chan struct{} // closed when reading the upload has ended, with or without an error
	// While a body is still to come, the HTTP server does not detect that the client has left.
	var clientChecks <-chan time.Time // when to check whether the client has left, or its last byte has come
	if req.outbound.upload != nil {
		uploadEnded = req.outbound.upload.readingEnded
		ticker := time.NewTicker(min(clientGoneLimit/2, arrivalCheckInterval))
		defer ticker.Stop()
		clientChecks = ticker.C
	}
	if refusal, ok := f.server.beginExecution(r.Context(), req); !ok {
		f.askToClose(w, r)
		return f.writeResponse(w, req, refusal)
	}
	f.server.post(func() { f.server.openRequest(req, event) })
	loopTimeout := loopTimeout(req)
	defer loopTimeout.Stop()
	for {
		select {
		case <-uploadEnded:
			if uploadEnded = nil; req.outbound.upload.err == nil {
				continue
			}
			f.server.post(func() { f.server.abandonRequest(req) })
			f.askToClose(w, r)
			http.Error(w, "the body is not whole", http.StatusBadRequest)
			return requestResult{outcome: outcomeAborted}
		default:
		}
		select {
		case <-uploadEnded:
			continue // the select above handles it
		case resp := <-req.response:
			f.askToClose(w, r)
			defer f.server.recheckClient(req)
			return f.writeResponse(w, req, resp)
		case <-clientChecks:
			if isOverdue(req.outbound.upload) {
				f.answerForLoop(w, req)
				break
			}
			if !req.abandoned() {
				f.checkArrival(req)
				continue
			}
			f.abandon(w, req)
		case <-r.Context().Done():
			f.abandon(w, req)
		case <-loopTimeout.C:
			f.answerForLoop(w, req)
		case <-f.server.ended:
			http.Error(w, "the node has ended", http.StatusBadGateway)
		}
		return requestResult{outcome: outcomeAborted}
	}
}

// checkArrival starts the deadline of an upload once its last byte has come, even if the proxy can't read it
// yet because no endpoint takes the bytes before it. Where the end of the body is not known, the deadline has
// passed when an unread byte has waited for as long as the client wants to wait for the response.
func (f *frontend) checkArrival(req *request) {
	up := req.outbound.upload
	if up.hasDeadline() || req.client == nil {
		return
	}
	arrival := req.client.Arrival()
	if arrival.At.IsZero() || !arrival.Complete && time.Since(arrival.At) < up.responseTimeout {
		return
	}
	up.startDeadline(arrival.At)
	f.server.post(func() { f.server.requestReceived(req, f.remainingTime(up.remaining())) })
}

// abandon ends a request whose client has left, or has ended its sending side only and can still read.
// Without an explicit response the HTTP server would send status 200, which no backend has sent.
func (f *frontend) abandon(w http.ResponseWriter, req *request) {
	f.server.post(func() { f.server.abandonRequest(req) })
	closeUnlessUploaded(w, req)
	writeComplete(w, response{status: http.StatusBadGateway})
}

// closeUnlessUploaded tells the client that the connection closes after the response, if the rest of its
// upload will not be read.
func closeUnlessUploaded(w http.ResponseWriter, req *request) {
	if up := req.outbound.upload; up != nil && up.completedAt.Load() == 0 {
		w.Header().Set("Connection", "close")
	}
}

// writeResponse writes a response to its client.
func (f *frontend) writeResponse(w http.ResponseWriter, req *request, resp response) requestResult {
	if up := req.outbound.upload; up != nil {
		besteffort.Close(up.pipe)
		closeUnlessUploaded(w, req)
	}
	if resp.stream == nil {
		return requestResult{outcome: writeComplete(w, resp), answered: true}
	}
	if resp.stream.isCancelled() { // before it has begun, so that the client can get a complete response
		resp.stream.ended <- errResponseCut
		return requestResult{outcome: writeComplete(w, response{status: http.StatusBadGateway}), answered: true}
	}
	f.streams.Add(1)
	defer f.streams.Add(-1)
	writeHeader(w, resp, resp.stream.length)
	err := resp.stream.writeTo(w, req.deadline)
	resp.stream.ended <- err
	if err != nil {
		f.server.log.Info("streamed response failed", "id", req.id, "err", err)
		return requestResult{outcome: outcomeAborted, truncated: true}
	}
	return requestResult{outcome: outcomeSucceeded, answered: true}
}
