package proxy

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/proxy/listener"
	"wrenspread/internal/proxy/memory"
)

const (
	maxIDLength = 128  // bytes
	maxWorkHint = 1e12 // microseconds
	maxDeadline = time.Hour
)

// requestError is the error of a request that is not accepted, with the status of its response.
type requestError struct {
	status int
	err    error
}

func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

// badRequest returns an error that is answered with status 400 and its text.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

// read checks a request and reads its body, or the beginning of a long one. An error is a *requestError.
func (f *frontend) read(w http.ResponseWriter, r *http.Request) (*request, balancer.RequestArrived, error) {
	event := balancer.RequestArrived{
		Class:       r.Header.Get("X-Class"),
		Tenant:      r.Header.Get("X-Tenant"),
		Key:         r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:],
		ClientRetry: r.Header.Get("X-Retry") == "1",
	}
	id, err := f.readID(r)
	if err != nil {
		return nil, event, err
	}
	event.ID = id
	rules := f.rules.Load()
	previous, err := f.checkForm(rules, r, event.Class)
	if err != nil {
		return nil, event, err
	}
	timeout, parseErr := parseSeconds(r.Header.Get("X-Deadline"))
	if parseErr != nil {
		return nil, event, badRequest("X-Deadline: %w", parseErr)
	}
	event.WorkHint, event.HasWorkHint = workHint(r)

	body, err := f.readBody(w, r, timeout)
	if err != nil {
		return nil, event, err
	}
	client := connOf(r)
	timeout -= answerMargin
	if !body.isLong {
		timeout -= time.Since(lastByteAt(client))
	}
	timeout = f.remainingTime(timeout)
	deadline := time.Now().Add(timeout) // of a long body: if its last byte came now
	f.updateLatestDeadline(deadline)
	out := newOutbound(r, body.start)
	out.memory = f.memoryOf(r)
	if !body.isLong {
		out.deadline = deadline
	} else {
		if client != nil && !client.SetStreamed() {
			f.noteMemoryRejection()
			return nil, event, rejectUnread(w, http.StatusServiceUnavailable, "%w", memory.ErrNone)
		}
		out.upload = startUpload(r, body.reader, len(body.start), timeout)
	}
	return &request{
		id:             id,
		settingsNumber: rules.settingsNumberFor(previous),
		deadline:       deadline,
		class:          event.Class,
		runsOnce:       rules.runsOnce(event.Class),
		response:       make(chan response, 1),
		client:         client,
		clientGone:     r.Context().Done(),
		outbound:       out,
	}, event, nil
}

// readID returns the request's ID. With tenants enabled it also checks that at most one is named.
func (f *frontend) readID(r *http.Request) (balancer.RequestID, error) {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return "", badRequest("want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	if f.server.config.Tenants.Enabled && len(r.Header.Values("X-Tenant")) > 1 {
		return "", badRequest("want one X-Tenant")
	}
	return balancer.RequestID(id), nil
}

// checkForm checks that a request has the form that its class requires, in the present settings or in the
// previous ones.
func (f *frontend) checkForm(rules *requestRules, r *http.Request, class string) (previous bool, err error) {
	return rules.matchForm(class, func(idempotency balancer.Idempotency) error {
		return checkMethodAndKey(r, class, idempotency)
	})
}

// workHint returns the expected work that the client states, if it states a plausible one.
func workHint(r *http.Request) (hint time.Duration, ok bool) {
	micros, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64)
	if err != nil || !(micros >= 0 && micros < maxWorkHint) {
		return 0, false
	}
	return time.Duration(micros * float64(time.Microsecond)), true
}

// requestBody is a request's body, or the beginning of a long one.
type requestBody struct {
	start  []byte
	isLong bool
	reader *bodyReader // of the remainder of a long body
}

// memoryOf returns the memory reservation of the connection on which a request came.
func (f *frontend) memoryOf(r *http.Request) *memory.Reservation {
	if c := connOf(r); c != nil {
		return c.Memory()
	}
	return nil
}

// readBody reads a request's body, or the beginning of a long one. timeout is the time in which the client
// wants its response. An error is a *requestError.
func (f *frontend) readBody(
	w http.ResponseWriter,
	r *http.Request,
	timeout time.Duration,
) (requestBody, error) {
	if r.ContentLength > maxStreamedBody {
		return requestBody{}, rejectUnread(
			w,
			http.StatusRequestEntityTooLarge,
			"the body is over %d bytes",
			maxStreamedBody,
		)
	}
	var body requestBody
	var err error
	if r.Body == http.NoBody {
		client := connOf(r)
		tooLate := func() bool { return time.Since(lastByteAt(client)) >= maxMemoryWait(timeout) }
		err = f.memoryOf(r).Grow(r.Context(), memory.Forwarding(0), tooLate)
	} else {
		body.reader = newBodyReader(w, r)
		body.start, body.isLong, err = body.reader.readStart(r.Context(), r.ContentLength, timeout, f.memoryOf(r))
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrNone), errors.Is(err, listener.ErrEvicted):
		f.noteMemoryRejection()
		return requestBody{}, rejectUnread(w, http.StatusServiceUnavailable, "%w", memory.ErrNone)
	case errors.Is(err, listener.ErrDraining):
		return requestBody{}, rejectUnread(w, http.StatusServiceUnavailable, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return requestBody{}, &requestError{http.StatusRequestTimeout, errors.New("the body does not come")}
	}
	return requestBody{}, badRequest("reading the body: %w", err)
}

// rejectUnread rejects a request whose body is not read, so that its connection can't carry another one.
func rejectUnread(w http.ResponseWriter, status int, format string, args ...any) error {
	w.Header().Set("Connection", "close")
	return &requestError{status, fmt.Errorf(format, args...)}
}

// newOutbound returns a client's request in the form in which it is sent to an endpoint.
func newOutbound(r *http.Request, body []byte) *outbound {
	return &outbound{
		method: r.Method,
		url: &url.URL{
			Path:       r.URL.Path,
			RawPath:    r.URL.RawPath,
			RawQuery:   r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery,
		},
		host:   r.Host,
		header: endToEnd(r.Header),
		body:   body,
	}
}

// updateLatestDeadline records the deadline if it is the latest so far: until then the frontend has to run to
// answer its requests, even if the settings change.
func (f *frontend) updateLatestDeadline(deadline time.Time) {
	for at := int64(deadline.Sub(f.server.start)); ; {
		if before := f.latestDeadline.Load(); at <= before || f.latestDeadline.CompareAndSwap(before, at) {
			return
		}
	}
}

// checkMethodAndKey checks that a request has the method and the Idempotency-Key of its class. By these the
// backend knows what a retry would do, so they must agree with what the balancer assumes.
func checkMethodAndKey(r *http.Request, class string, idempotency balancer.Idempotency) error {
	want := http.MethodPost
	if idempotency == balancer.Idempotent {
		want = http.MethodGet
	}
	if r.Method != want {
		return &requestError{http.StatusMethodNotAllowed, fmt.Errorf("class %s wants %s", class, want)}
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case idempotency == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""),
		idempotency == balancer.NotIdempotent && len(keys) > 0:
		return badRequest("class %s and Idempotency-Key do not agree", class)
	}
	return nil
}

// parseSeconds parses a positive number of seconds; a number over maxDeadline gives maxDeadline.
func parseSeconds(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxDeadline.Seconds()) * float64(time.Second)), nil
}
