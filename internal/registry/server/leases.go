package server

import (
	"fmt"
	"net/http"
	"time"

	"wrenspread/internal/registry"
)

// openSession opens the session that the call names, or changes its word.
func (s *Server) openSession(w http.ResponseWriter, r *http.Request) {
	var body registry.OpenSessionRequest
	if !readJSON(w, r, &body) {
		return
	}
	if body.TTLMS < 0 || body.TTLMS > int64(registry.MaxSessionTTL/time.Millisecond) {
		refuse(
			w,
			http.StatusBadRequest,
			"bad",
			fmt.Sprintf(
				"ttl_ms: %d, want %d to %d",
				body.TTLMS,
				registry.MinSessionTTL/time.Millisecond,
				registry.MaxSessionTTL/time.Millisecond,
			),
			0,
		)
		return
	}
	s.duty(
		w,
		registry.Command{
			Op: registry.OpOpenSession,
			Session: &registry.Session{ID: r.PathValue("id"), Process: body.Process,
				TTL: time.Duration(body.TTLMS) * time.Millisecond, Info: body.Info},
		},
	)
}

func (s *Server) closeSession(w http.ResponseWriter, r *http.Request) {
	s.duty(w, registry.Command{Op: registry.OpCloseSessions, Sessions: []string{r.PathValue("id")}})
}

// wish makes a handler of a campaign or a release.
func (s *Server) wish(do string) http.HandlerFunc {
	return s.leading(maxBody, func(w http.ResponseWriter, r *http.Request) {
		var body registry.CandidacyRequest
		if readJSON(w, r, &body) {
			s.duty(
				w,
				registry.Command{
					Op:          do,
					Session:     &registry.Session{ID: r.PathValue("id")},
					Candidacies: body.Candidacies,
				},
			)
		}
	})
}

// order makes a handler of an operator's order.
func (s *Server) order(do string) http.HandlerFunc {
	return s.leading(maxBody, func(w http.ResponseWriter, r *http.Request) {
		var body registry.LeaseOrder
		if readJSON(w, r, &body) {
			s.duty(w, registry.Command{Op: do, Name: r.PathValue("name"), Process: body.Process, Enable: body.Block})
		}
	})
}

func (s *Server) duty(w http.ResponseWriter, c registry.Command) {
	if err := c.Check(); err != nil {
		refuse(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.sessions.do(c)
	s.finish(w, result, err)
}

// renewSessions takes renewals, which stay out of the log. Before it answers, this
// replica proves to a quorum that it still leads: a later leader then gives these
// sessions their full time after now.
func (s *Server) renewSessions(w http.ResponseWriter, r *http.Request) {
	var body registry.SessionRenewal
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Sessions) == 0 || len(body.Sessions) > maxNames {
		refuse(
			w,
			http.StatusBadRequest,
			"bad",
			fmt.Sprintf("sessions: %d, want 1 to %d", len(body.Sessions), maxNames),
			0,
		)
		return
	}
	if err := s.replica.verify(); err != nil {
		s.finish(w, registry.Result{}, err)
		return
	}
	unknown, ok := s.sessions.renew(body.Sessions)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "not-leading", "this replica does not lead yet", time.Second)
		return
	}
	writeJSON(w, http.StatusOK, registry.SessionRenewal{Unknown: unknown})
}

// readDuties answers reads and watches of leases, as this replica has them.
func (s *Server) readDuties(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if q.current && !s.asOfNow(w, r) {
		return
	}
	if q.from > 0 && q.hold > 0 && !s.holdDuties(w, r, q) {
		return
	}
	s.machine.mu.RLock()
	a := registry.LeasesResponse{
		Index:  s.machine.state.LeasesVersion(),
		Epoch:  s.machine.state.Epoch(),
		Leases: []registry.Lease{},
	}
	session := r.URL.Query().Get("session")
	all, known := s.machine.state.Leases(session)
	if session == "" {
		a.Sessions = s.machine.state.Sessions()
	}
	s.machine.mu.RUnlock()
	if !known {
		refuse(w, http.StatusNotFound, string(registry.NotFound), "there is no session "+session, 0)
		return
	}
	a.Leases = append(a.Leases, all...)
	writeJSON(w, http.StatusOK, a)
}

// holdDuties waits until a lease changes after the reader's version: few do, and not for a moment at a
// replica that is cut off. It is false where the call has been answered.
func (s *Server) holdDuties(w http.ResponseWriter, r *http.Request, q query) bool {
	_, ok := s.await(w, r, s.dutyHub, query{from: q.from}, q.hold, 0)
	return ok
}
