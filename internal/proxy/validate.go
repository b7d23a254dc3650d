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
)

const (
	maxIDLength = 128
	maxPatience = time.Hour
)

// read checks a request. The status goes with the error.
func (f *frontend) read(
	w http.ResponseWriter,
	r *http.Request,
) (*request, balancer.RequestArrived, int, error) {
	e := balancer.RequestArrived{Class: r.Header.Get("X-Class"), Tenant: r.Header.Get("X-Tenant"),
		ClientRetry: r.Header.Get("X-Retry") == "1"}
	var back func()
	bad := func(status int, format string, args ...any) (*request, balancer.RequestArrived, int, error) {
		if back != nil {
			back()
		}
		return nil, e, status, fmt.Errorf(format, args...)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	e.ID = balancer.RequestID(id)
	if f.server.config.Tenants.Enabled && len(r.Header.Values("X-Tenant")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Tenant")
	}
	rules := f.rules.Load()
	former, err := rules.idempotencyOf(
		e.Class,
		func(effect balancer.Idempotency) error { return fits(r, e.Class, effect) },
	)
	if err != nil {
		var wrong formError
		errors.As(err, &wrong)
		return bad(wrong.status, "%w", err)
	}
	patience, err := seconds(r.Header.Get("X-Deadline"))
	if err != nil {
		return bad(http.StatusBadRequest, "X-Deadline: %w", err)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && hint >= 0 && hint < 1e12 {
		e.WorkHint, e.HasWorkHint = time.Duration(hint*float64(time.Microsecond)), true
	}
	e.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if r.ContentLength > maxLarge {
		w.Header().Set("Connection", "close")
		return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", maxLarge)
	}
	var body []byte
	var long bool
	var reader *bodyReader
	if r.Body != http.NoBody {
		reader = newBodyReader(w, r)
		body, long, err = readStart(r.Context(), reader, f.memory.reserveOnce(&back))
	}
	switch {
	case errors.Is(err, errNoMemory):
		w.Header().Set("Connection", "close")
		return bad(http.StatusServiceUnavailable, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "the body does not come")
	case err != nil:
		return bad(http.StatusBadRequest, "reading the body: %w", err)
	}
	patience = f.timeLeft(patience - answerMargin)
	u := url.URL{
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	deadline := time.Now().Add(patience) // its last byte has come now, and its client waits from there
	f.updateLatestDeadline(deadline)
	var rest *upload
	if long {
		rest = startUpload(r, reader, len(body), patience)
	}
	client, _ := r.Context().Value(connKey{}).(*listener.Conn)
	return &request{
		id:             e.ID,
		settingsNumber: rules.numberFor(former),
		deadline:       deadline,
		releaseMemory:  back,
		class:          e.Class,
		response:       make(chan response, 1),
		client:         client,
		clientGone:     r.Context().Done(),
		outbound: &outbound{
			method: r.Method,
			url:    &u,
			host:   r.Host,
			header: endToEnd(r.Header),
			body:   body,
			upload: rest,
		},
	}, e, 0, nil
}

// updateLatestDeadline notes how long the front may have to stay, whatever its settings say by then.
func (f *frontend) updateLatestDeadline(deadline time.Time) {
	for at := int64(deadline.Sub(f.server.start)); ; {
		if before := f.latestDeadline.Load(); at <= before || f.latestDeadline.CompareAndSwap(before, at) {
			return
		}
	}
}

// formError is a request whose form its class does not have.
type formError struct {
	status int
	text   string
}

func (e formError) Error() string { return e.text }

func badRequest(format string, args ...any) error {
	return formError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// fits checks a request's form. The method and the key tell the server what a
// repeat would do, so they must agree with what the balancer believes.
func fits(r *http.Request, class string, effect balancer.Idempotency) error {
	want := http.MethodPost
	if effect == balancer.Idempotent {
		want = http.MethodGet
	}
	if r.Method != want {
		return formError{http.StatusMethodNotAllowed, fmt.Sprintf("class %s wants %s", class, want)}
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""),
		effect == balancer.NotIdempotent && len(keys) > 0:
		return badRequest("class %s and Idempotency-Key do not agree", class)
	}
	return nil
}

func seconds(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxPatience.Seconds()) * float64(time.Second)), nil
}
