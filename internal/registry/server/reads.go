package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/registry"
)

// maxWatchHold bounds the hold of a watch, as the protocol requires.
const maxWatchHold = time.Minute

// behindWait is the shortest hold of a call whose version is above this replica's version, whatever hold the
// call requests. It gives the replica time to catch up.
const behindWait = time.Second

// maxCutOffHold is the longest time for which a watch waits at a replica that is cut off. A watch whose hold
// is over waits for at most half of maxCutOffHold, which is a third of the client's grace for the response.
// maxCutOffHold, two default election timeouts to lose a leader, two to count as cut off, and the client's
// backoff and grace for the next call take 4.8 s of the 6 s within which a change must be known.
const (
	maxCutOffHold = time.Second
	noCutOff      = time.Duration(math.MaxInt64) // for readers without an epoch, which are never rejected
)

// query holds the parameters of a read or a watch.
type query struct {
	from        uint64        // the reader's version; 0: the reader has no list
	hold        time.Duration // how long the response may be delayed until there is a change
	epoch       string        // the epoch that the reader knows, or empty
	current     bool          // the response must be current, so the leader answers
	subset      registry.Subset
	namesSubset bool // the reader has named a subset
}

// parseQuery parses and validates the parameters of a request.
func parseQuery(r *http.Request) (q query, err error) {
	v := r.URL.Query()
	if s := v.Get("from"); s != "" {
		if q.from, err = strconv.ParseUint(s, 10, 64); err != nil {
			return q, fmt.Errorf("from: %q is not a version", s)
		}
	}
	if s := v.Get("hold_ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 32)
		if err != nil {
			return q, fmt.Errorf("hold_ms: %q is not a time in milliseconds", s)
		}
		q.hold = min(maxWatchHold, time.Duration(ms)*time.Millisecond)
	}
	if q.namesSubset = v.Has("part"); q.namesSubset {
		if q.subset, err = registry.ParseSubset(v.Get("part")); err != nil {
			return q, err
		}
	}
	q.epoch, q.current = v.Get("epoch"), v.Get("current") == "1"
	return q, nil
}

// readList responds to a read or a watch of the list.
func (s *Server) readList(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if q.current && !s.ensureCurrent(w, r) {
		return
	}
	_, epoch := s.listHub.current()
	if epoch == "" || q.from == 0 && !s.contact.caughtUp.Load() {
		writeError(
			w,
			http.StatusServiceUnavailable,
			"not-begun",
			"this replica has no list yet, or replays its log",
			time.Second,
		)
		return
	}
	if q.epoch != "" && q.epoch != epoch {
		q.from = 0 // the reader's version is of another list, so the reader gets the complete list
	}
	if q.from > 0 && !s.listHub.hasNewer(q.subset, q.from) {
		var ok bool
		if q.from, ok = s.holdListWatch(w, r, q); !ok {
			return
		}
	}
	s.respondWithList(w, r, q)
}

// ensureCurrent waits until all earlier writes have been applied. A replica that does not lead forwards the
// call to the leader instead. ensureCurrent returns false if it has responded to the call.
func (s *Server) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if !s.replica.leads() {
		s.forwardToLeader(w, r, maxBodyBytes)
		return false
	}
	return s.waitUntilCurrent(w)
}

// waitUntilCurrent is ensureCurrent for calls that are handled at the leader only.
func (s *Server) waitUntilCurrent(w http.ResponseWriter) bool {
	if err := s.replica.waitUntilApplied(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "not-leading", err.Error(), time.Second)
		return false
	}
	return true
}

// readRegistrations responds with the current list and the version and time to live of each entry.
func (s *Server) readRegistrations(w http.ResponseWriter, _ *http.Request) {
	if !s.waitUntilCurrent(w) {
		return
	}
	s.machine.mu.RLock()
	a := registry.Registrations{
		Index:         s.machine.state.Version(),
		Epoch:         s.machine.state.Epoch(),
		Registrations: s.machine.state.Registrations(),
	}
	s.machine.mu.RUnlock()
	writeJSON(w, http.StatusOK, a)
}

// holdListWatch waits until there is a newer version for the reader or the hold is over, and returns the
// version from which changes are to be sent. It returns false if it has responded with an error or the client
// has closed the call.
func (s *Server) holdListWatch(w http.ResponseWriter, r *http.Request, q query) (from uint64, ok bool) {
	wait := q.hold
	if version, _ := s.listHub.current(); q.from > version {
		wait = max(wait, behindWait)
	}
	if wait == 0 {
		return q.from, true
	}
	maxCutOff := noCutOff
	if q.epoch != "" {
		maxCutOff = maxCutOffHold
	}
	return s.await(w, r, s.listHub, q, wait, maxCutOff)
}

// await waits until the hub has a newer version for the call, or wait has passed. While this replica is cut
// off, the call waits for a random time of up to maxCutOff, or up to half of maxCutOff once wait has passed,
// and is rejected unless there is a leader again by then. A normal election therefore rejects few watchers,
// even if there are thousands, and a longer election sends them to other replicas at different times. await
// returns the version up to which nothing that the call reads has changed. It returns false if it has
// responded with an error or the client has closed the call.
func (s *Server) await(
	w http.ResponseWriter,
	r *http.Request,
	h *hub,
	q query,
	wait, maxCutOff time.Duration,
) (from uint64, ok bool) {
	watcher, tooMany := h.wait(q.subset, q.from, s.config.MaxWatchers)
	if tooMany {
		writeError(w, http.StatusTooManyRequests, "watchers", "too many calls are held here", time.Second)
		return 0, false
	}
	if watcher == nil {
		return q.from, true
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	var cutOffTimer <-chan time.Time // nil while there is a leader
	for timedOut := false; ; {
		cutOff, contactChanged := s.contact.state()
		switch cutOff = cutOff && maxCutOff != noCutOff; {
		case !cutOff && timedOut:
			return h.leave(watcher), true
		case !cutOff:
			cutOffTimer = nil
		case cutOffTimer == nil && timedOut:
			cutOffTimer = time.After(rand.N(maxCutOff/2 + 1))
		case cutOffTimer == nil:
			cutOffTimer = time.After(rand.N(maxCutOff + 1))
		}
		select {
		case <-watcher.wake:
			return h.leave(watcher), true
		case <-contactChanged:
		case <-cutOffTimer:
			h.leave(watcher)
			writeError(
				w,
				http.StatusServiceUnavailable,
				"cut-off",
				"this replica has been without a leader; ask another",
				0,
			)
			return 0, false
		case <-end.C:
			timedOut, cutOffTimer = true, nil
		case <-r.Context().Done():
			return h.leave(watcher), false
		case <-s.ctx.Done():
			return h.leave(watcher), true
		}
	}
}
