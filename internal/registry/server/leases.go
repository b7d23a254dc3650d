package server

import (
	"fmt"
	"net/http"
	"time"

	"wrenspread/internal/registry"
)

// openSession opens the session named in the path, or changes its process info.
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
	s.applyLeaseCommand(
		w,
		registry.Command{
			Op: registry.OpOpenSession,
			Session: &registry.Session{ID: r.PathValue("id"), Process: body.Process,
				TTL: time.Duration(body.TTLMS) * time.Millisecond, Info: body.Info},
		},
	)
}

// closeSession ends the session named in the path.
func (s *Server) closeSession(w http.ResponseWriter, r *http.Request) {
	s.applyLeaseCommand(w, registry.Command{Op: registry.OpCloseSessions, Sessions: []string{r.PathValue("id")}})
}

// candidacy returns the handler of a campaign or a release.
func (s *Server) candidacy(op string) http.HandlerFunc {
	return s.leaderOnly(maxBodyBytes, func(w http.ResponseWriter, r *http.Request) {
		var body registry.CandidacyRequest
		if readJSON(w, r, &body) {
			s.applyLeaseCommand(
				w,
				registry.Command{
					Op:          op,
					Session:     &registry.Session{ID: r.PathValue("id")},
					Candidacies: body.Candidacies,
				},
			)
		}
	})
}

// changeLease returns the handler with which an operator transfers a lease or blocks a process from it.
func (s *Server) changeLease(op string) http.HandlerFunc {
	return s.leaderOnly(maxBodyBytes, func(w http.ResponseWriter, r *http.Request) {
		var body registry.LeaseChangeRequest
		if readJSON(w, r, &body) {
			s.applyLeaseCommand(
				w,
				registry.Command{Op: op, Name: r.PathValue("name"), Process: body.Process, Enable: body.Block},
			)
		}
	})
}

// applyLeaseCommand validates and applies a command on sessions or leases, and responds with the result.
func (s *Server) applyLeaseCommand(w http.ResponseWriter, c registry.Command) {
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.sessions.applyWithGrants(c)
	s.writeResult(w, result, err)
}

// renewSessions renews sessions. Renewals are not written to raft's log. Before it renews, this replica
// verifies with a quorum that it still leads. Any later leader therefore restarts the TTL of these sessions
// after this renewal.
func (s *Server) renewSessions(w http.ResponseWriter, r *http.Request) {
	var body registry.SessionRenewal
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Sessions) == 0 || len(body.Sessions) > maxRenewalNames {
		writeError(
			w,
			http.StatusBadRequest,
			"bad",
			fmt.Sprintf("sessions: %d, want 1 to %d", len(body.Sessions), maxRenewalNames),
			0,
		)
		return
	}
	if err := s.replica.verifyLeadership(); err != nil {
		s.writeResult(w, registry.Result{}, err)
		return
	}
	unknown, ok := s.sessions.renew(body.Sessions)
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "not-leading", "this replica does not lead yet", time.Second)
		return
	}
	writeJSON(w, http.StatusOK, registry.SessionRenewal{Unknown: unknown})
}

// readLeases responds to a read or a watch of leases with the state of this replica.
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
	response := registry.LeasesResponse{
		Index:  s.machine.state.LeasesVersion(),
		Epoch:  s.machine.state.Epoch(),
		Leases: []registry.Lease{},
	}
	session := r.URL.Query().Get("session")
	leases, known := s.machine.state.Leases(session)
	if session == "" {
		response.Sessions = s.machine.state.Sessions()
	}
	s.machine.mu.RUnlock()
	if !known {
		writeError(w, http.StatusNotFound, string(registry.NotFound), "there is no session "+session, 0)
		return
	}
	response.Leases = append(response.Leases, leases...)
	writeJSON(w, http.StatusOK, response)
}

// holdLeaseWatch waits until a lease has changed since the reader's version, or the hold is over. A replica
// that is cut off rejects such a call at once. holdLeaseWatch returns false if it has responded with an error
// or the client has closed the call.
func (s *Server) holdLeaseWatch(w http.ResponseWriter, r *http.Request, q query) bool {
	_, ok := s.await(w, r, s.leaseHub, query{from: q.from}, q.hold, 0)
	return ok
}
