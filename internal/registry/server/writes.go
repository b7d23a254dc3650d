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
	maxBody  = 64 << 10 // bytes of a write
	maxNames = 1000     // of one renewal
)

func writeError(w http.ResponseWriter, status int, code, why string, after time.Duration) {
	writeErrorResponse(w, status, registry.ErrorResponse{Code: code, Reason: why}, after)
}

func writeErrorResponse(w http.ResponseWriter, status int, body registry.ErrorResponse, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	besteffort.Response(w.Write(raw)) // a caller that has left needs nothing
}

// forwardedHeader marks a call that another replica has passed on.
const forwardedHeader = "X-Indigo-Forwarded"

// leaderOnly wraps what only the leader can do: the others pass it on, with a body
// of most bytes at most.
func (s *Server) leaderOnly(most int64, do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) == "" { // else it has been counted there
			client, _, _ := net.SplitHostPort(r.RemoteAddr)
			if wait, ok := s.rates.allow(cmp.Or(r.Header.Get("X-Client"), client), time.Now()); !ok {
				writeError(w, http.StatusTooManyRequests, "rate", "too many writes of one client", wait)
				return
			}
		}
		if !s.replica.leads() {
			s.forwardToLeader(w, r, most)
			return
		}
		do(w, r)
	}
}

// forwardToLeader has the leader answer a call.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request, most int64) {
	name := s.replica.leader()
	leader, known := addresses{s.config, s.machine}.find(name)
	if r.Header.Get(forwardedHeader) != "" || !known || name == s.config.Name {
		writeError(w, http.StatusServiceUnavailable, "no-leader", "no replica is known to lead", time.Second)
		return
	}
	body, ok := readBody(w, r, most)
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

// leaderTransport waits for the leader a little longer than the leader waits for the log.
var leaderTransport = &http.Transport{
	ResponseHeaderTimeout: applyTime + time.Second,
	MaxIdleConnsPerHost:   32,
	IdleConnTimeout:       idleTime,
	DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		writeError(
			w,
			http.StatusRequestEntityTooLarge,
			"large",
			fmt.Sprintf("a write of over %d bytes", most),
			time.Second,
		)
	case err != nil:
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
	}
	return body, err == nil
}

// readJSON reads a body; an empty one is an empty object.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, ok := readBody(w, r, maxBody)
	if !ok || len(body) == 0 {
		return ok
	}
	if err := json.Unmarshal(body, into); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return false
	}
	return true
}

// write makes a handler of a command on one entry.
func (s *Server) write(do string) http.HandlerFunc {
	return s.leaderOnly(maxBody, func(w http.ResponseWriter, r *http.Request) {
		var body registry.WriteRequest
		if !readJSON(w, r, &body) {
			return
		}
		c := registry.Command{
			Op:        do,
			Name:      r.PathValue("name"),
			ID:        body.ID,
			IfVersion: body.IfVersion,
			Token:     body.Token,
		}
		if do == registry.OpRegister {
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
		s.finish(w, result, err)
	})
}

// statuses of results that changed nothing.
var statuses = map[registry.Code]int{
	registry.Conflict:         http.StatusConflict,
	registry.NotFound:         http.StatusNotFound,
	registry.CapacityExceeded: http.StatusInsufficientStorage,
	registry.Invalid:          http.StatusBadRequest,
	registry.StaleToken:       http.StatusConflict,
}

func (s *Server) finish(w http.ResponseWriter, r registry.Result, err error) {
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

// renew takes renewals, which stay out of the log.
func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var body registry.Renewal
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Names) == 0 || len(body.Names) > maxNames {
		writeError(
			w,
			http.StatusBadRequest,
			"bad",
			fmt.Sprintf("names: %d, want 1 to %d", len(body.Names), maxNames),
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
