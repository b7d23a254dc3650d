package server

import (
	"fmt"
	"net/http"
	"time"

	"wrenspread/internal/registry"
)

// openSession opens the session that the call names, or changes its process info.
func (s *Server) openSession(w http.ResponseWriter, r *http.Request) {
	var body registry.OpenSessionRequest
	if !readJSON(w, r, &body) {
		return
	}
	if body.TTLMS < 0 || body.TTLMS > int64(registry.MaxSessionTTL/time.Millisecond) {
		writeError(
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
	s.lease(
		w,
		registry.Command{
			Op: registry.OpOpenSession,
			Session: &registry.Session{ID: r.PathValue("id"), Process: body.Process,
				TTL: time.Duration(body.TTLMS) * time.Millisecond, Info: body.Info},
		},
	)
}

func (s *Server) closeSession(w http.ResponseWriter, r *http.Request) {
	s.lease(w, registry.Command{Op: registry.OpCloseSessions, Sessions: []string{r.PathValue("id")}})
}

// candidacy makes a handler of a campaign or a release.
func (s *Server) candidacy(do string) http.HandlerFunc {
	return s.leaderOnly(maxBody, func(w http.ResponseWriter, r *http.Request) {
		var body registry.CandidacyRequest
		if readJSON(w, r, &body) {
			s.lease(
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
	return s.leaderOnly(maxBody, func(w http.ResponseWriter, r *http.Request) {
		var body registry.LeaseOrder
		if readJSON(w, r, &body) {
			s.lease(w, registry.Command{Op: do, Name: r.PathValue("name"), Process: body.Process, Enable: body.Block})
		}
	})
}

func (s *Server) lease(w http.ResponseWriter, c registry.Command) {
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.sessions.applyPaced(c)
	s.finish(w, result, err)
}

// renewSessions takes renewals, which stay out of the log. Before it answers, this replica proves to a quorum
// that it still leads: a later leader then gives these sessions their full TTL after now.
func (s *Server) renewSessions(w http.ResponseWriter, r *http.Request) {
	var body registry.SessionRenewal
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Sessions) == 0 || len(body.Sessions) > maxNames {
		writeError(
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
		writeError(w, http.StatusServiceUnavailable, "not-leading", "this replica does not lead yet", time.Second)
		return
	}
	writeJSON(w, http.StatusOK, registry.SessionRenewal{Unknown: unknown})
}

// readLeases answers reads and watches of leases, as this replica has them.
func (s *Server) readLeases(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if q.current && !s.ensureCurrent(w, r) {
		return
	}
	if q.from > 0 && q.hold > 0 && !s.holdLeaseWatch(w, r, q) {
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
		writeError(w, http.StatusNotFound, string(registry.NotFound), "there is no session "+session, 0)
		return
	}
	a.Leases = append(a.Leases, all...)
	writeJSON(w, http.StatusOK, a)
}

// holdLeaseWatch waits until a lease changes after the reader's version: few do, and not for a moment at a
// replica that is cut off. It returns false where the call has been answered.
func (s *Server) holdLeaseWatch(w http.ResponseWriter, r *http.Request, q query) bool {
	_, ok := s.await(w, r, s.leaseHub, query{from: q.from}, q.hold, 0)
	return ok
}
