package proxy

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wrenspread/internal/besteffort"
)

// writeComplete writes a complete response, and returns how the request ended for its client.
func writeComplete(w http.ResponseWriter, resp response) requestOutcome {
	besteffort.SocketOption(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)))
	if resp.status != http.StatusOK {
		resp.body = []byte(http.StatusText(resp.status) + "\n")
	}
	writeHeader(w, resp, int64(len(resp.body)))
	_, err := w.Write(resp.body) // if it fails, the client has gone
	switch {
	case err != nil:
		return outcomeAborted
	case resp.status == http.StatusOK:
		return outcomeSucceeded
	case resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests,
		resp.status == http.StatusForbidden || resp.status == http.StatusNotFound:
		return outcomeDeclined
	}
	return outcomeAborted
}

// writeHeader writes the head of a response. A negative length means that the body is sent in chunks.
func writeHeader(w http.ResponseWriter, resp response, length int64) {
	h := w.Header()
	for name, values := range endToEnd(resp.header) {
		h[name] = values
	}
	if resp.status != http.StatusOK {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(resp.status)
}

// hopByHopHeaders lists the headers that concern one connection only, and those that are meant for the
// proxy.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
	"X-Load",
	"X-Not-Run",
}

// endToEnd returns the headers that are forwarded. Their values are shared with h.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(protectedHeaders, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// protectedHeaders are forwarded even if a client's Connection header names them: without them a backend
// could not recognise a retry.
var protectedHeaders = []string{"X-Request-Id", "Idempotency-Key"}
