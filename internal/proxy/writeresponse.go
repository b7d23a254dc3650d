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

// write passes an answer on, and tells what it was to the client.
func write(w http.ResponseWriter, a response) requestOutcome {
	besteffort.SocketOption(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)))
	if a.status != http.StatusOK {
		a.body = []byte(http.StatusText(a.status) + "\n")
	}
	writeHeader(w, a, int64(len(a.body)))
	_, err := w.Write(a.body) // if it fails, the client has gone
	switch {
	case err != nil:
		return outcomeAborted
	case a.status == http.StatusOK:
		return outcomeSucceeded
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests,
		a.status == http.StatusForbidden || a.status == http.StatusNotFound:
		return outcomeDeclined
	}
	return outcomeAborted
}

// writeHeader begins an answer. Without a length it goes in chunks.
func writeHeader(w http.ResponseWriter, a response, length int64) {
	h := w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if a.status != http.StatusOK {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.status)
}

// perHop lists the headers that concern one connection only.
var perHop = []string{
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

// endToEnd returns the headers that are passed on. Their values are shared.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(vital, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range perHop {
		out.Del(name)
	}
	return out
}

// vital headers stay, whatever a client's Connection header says: without
// them a server could not tell a repeat.
var vital = []string{"X-Request-Id", "Idempotency-Key"}
