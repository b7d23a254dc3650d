package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

const (
	maxBodyBytes    = 64 << 10 // body of a request, unless the route has another bound
	maxRenewalNames = 1000     // names in one renewal
)

// writeError responds with an error code and its reason.
func writeError(w http.ResponseWriter, status int, code, reason string, retryAfter time.Duration) {
	writeErrorResponse(w, status, registry.ErrorResponse{Code: code, Reason: reason}, retryAfter)
}

// writeErrorResponse responds with an error and, if retryAfter is not 0, with a Retry-After header.
func writeErrorResponse(
	w http.ResponseWriter,
	status int,
	body registry.ErrorResponse,
	retryAfter time.Duration,
) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	writeJSON(w, status, body)
}

// writeJSON responds with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	besteffort.Response(w.Write(raw)) // a client that is gone needs no response
}

// forwardedHeader marks a call that another replica has forwarded, with the name of that replica.
const forwardedHeader = "X-Indigo-Forwarded"

// leaderOnly wraps a handler that only the leader can execute. It limits the rate of each client. A replica
// that does not lead forwards the call, with a body of up to maxBytes, to the leader.
func (s *Server) leaderOnly(maxBytes int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) == "" { // the replica that forwards a call has counted it
			client, _, _ := net.SplitHostPort(r.RemoteAddr)
			if wait, ok := s.rates.allow(cmp.Or(r.Header.Get("X-Client"), client), time.Now()); !ok {
				writeError(w, http.StatusTooManyRequests, "rate", "too many writes of one client", wait)
				return
			}
		}
		if !s.replica.leads() {
			s.forwardToLeader(w, r, maxBytes)
			return
		}
		handler(w, r)
	}
}

// forwardToLeader forwards a call to the leader and returns its response.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request, maxBytes int64) {
	name := s.replica.leader()
	leader, known := addresses{s.config, s.machine}.find(name)
	if r.Header.Get(forwardedHeader) != "" || !known || name == s.config.Name {
		writeError(w, http.StatusServiceUnavailable, "no-leader", "no replica is known to lead", time.Second)
		return
	}
	body, ok := readBody(w, r, maxBytes)
	if !ok {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.SetURL(&url.URL{Scheme: "http", Host: leader.HTTP})
			p.Out.Header.Set(forwardedHeader, s.config.Name)
		},
		Transport: leaderTransport,
		ErrorLog:  s.http.ErrorLog,
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
			writeError(
				w,
				http.StatusGatewayTimeout,
				"unknown",
				fmt.Sprintf("the leader %s did not answer, so it may be done or not: %v", name, err),
				time.Second,
			)
		},
	}
	proxy.ServeHTTP(w, r)
}

// leaderTransport is used for calls to the leader. It waits a little longer for a response than the leader
// waits for a command to be logged.
var leaderTransport = &http.Transport{
	ResponseHeaderTimeout: applyTimeout + time.Second,
	MaxIdleConnsPerHost:   32,
	IdleConnTimeout:       idleTimeout,
	DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
}

// readBody reads the body of a request. It returns false if it has responded with an error.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(
			w,
			http.StatusRequestEntityTooLarge,
			"large",
			fmt.Sprintf("a write of over %d bytes", maxBytes),
			time.Second,
		)
	case err != nil:
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
	}
	return body, err == nil
}

// readJSON reads and parses the body of a request. An empty body counts as an empty object. It returns false
// if it has responded with an error.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok || len(body) == 0 {
		return ok
	}
	if err := json.Unmarshal(body, target); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return false
	}
	return true
}

// writeEntry returns the handler of an operation on one entry.
func (s *Server) writeEntry(op string) http.HandlerFunc {
	return s.leaderOnly(maxBodyBytes, func(w http.ResponseWriter, r *http.Request) {
		var body registry.WriteRequest
		if !readJSON(w, r, &body) {
			return
		}
		c := registry.Command{
			Op:        op,
			Name:      r.PathValue("name"),
			ID:        body.ID,
			IfVersion: body.IfVersion,
			Token:     body.Token,
		}
		if op == registry.OpRegister {
			if body.Endpoint == nil || body.Endpoint.Name != c.Name {
				writeError(w, http.StatusBadRequest, "bad", "entry: missing, or of another name than the call's", 0)
				return
			}
			c.Endpoint, c.Name = body.Endpoint, ""
			if body.TTLMS < 0 || body.TTLMS > int64(registry.MaxTTL/time.Millisecond) {
				writeError(
					w,
					http.StatusBadRequest,
					"bad",
					fmt.Sprintf("ttl_ms: %d is not between 0 and %d", body.TTLMS, registry.MaxTTL/time.Millisecond),
					0,
				)
				return
			}
			c.TTL = time.Duration(body.TTLMS) * time.Millisecond
		}
		if err := c.Check(); err != nil {
			writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
			return
		}
		result, err := s.replica.apply(c)
		s.writeResult(w, result, err)
	})
}

// statuses maps the codes of failed commands to HTTP statuses.
var statuses = map[registry.Code]int{
	registry.Conflict:         http.StatusConflict,
	registry.NotFound:         http.StatusNotFound,
	registry.CapacityExceeded: http.StatusInsufficientStorage,
	registry.Invalid:          http.StatusBadRequest,
	registry.StaleToken:       http.StatusConflict,
}

// writeResult responds with the result of a command, or with its error.
func (s *Server) writeResult(w http.ResponseWriter, r registry.Result, err error) {
	switch {
	case errors.Is(err, errNotLeading):
		writeError(w, http.StatusServiceUnavailable, "not-leading", err.Error(), time.Second)
	case err != nil:
		writeError(w, http.StatusGatewayTimeout, "unknown", err.Error(), time.Second)
	case r.Code != registry.Applied:
		writeErrorResponse(
			w,
			statuses[r.Code],
			registry.ErrorResponse{
				Code:               string(r.Code),
				Reason:             r.Reason,
				Version:            r.Version,
				ConflictingVersion: r.EntryVersion,
			},
			0,
		)
	default:
		writeJSON(w, http.StatusOK, r)
	}
}

// renewEntries renews entries. Renewals are not written to raft's log.
func (s *Server) renewEntries(w http.ResponseWriter, r *http.Request) {
	var body registry.Renewal
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Names) == 0 || len(body.Names) > maxRenewalNames {
		writeError(
			w,
			http.StatusBadRequest,
			"bad",
			fmt.Sprintf("names: %d, want 1 to %d", len(body.Names), maxRenewalNames),
			0,
		)
		return
	}
	unknown, ok := s.expiry.renew(body.Names)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "not-leading", "this replica does not lead yet", time.Second)
		return
	}
	writeJSON(w, http.StatusOK, registry.Renewal{Unknown: unknown})
}
