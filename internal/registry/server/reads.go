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

// behindWait is how long a call whose version is above this replica's waits for the replica to catch up,
// whatever its hold.
const behindWait = time.Second

// maxCutOffHold is the longest time for which a watch waits at a replica that is cut off. A watch whose hold
// is over waits at most half of it, which is a third of the client's grace for the response. The complete
// time, together with two default election timeouts to lose a leader, two to count as cut off, and a client's
// backoff and grace for the next call, is 4.8 s of the 6 s within which a change must be known.
const (
	maxCutOffHold = time.Second
	noCutOff      = time.Duration(math.MaxInt64) // for readers without an epoch, which are never sent elsewhere
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

// instances answers reads and watches of the list.
func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if q.current && !s.ensureCurrent(w, r) {
		return
	}
	_, epoch := s.hub.current()
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
		q.from = 0 // the reader's version is of another list, so it gets the complete list
	}
	if q.from > 0 && !s.hub.hasNewer(q.subset, q.from) {
		var ok bool
		if q.from, ok = s.hold(w, r, q); !ok {
			return
		}
	}
	s.answer(w, r, q)
}

// ensureCurrent forwards the call to the leader or, at the leader, waits until all earlier writes have been
// applied. It returns false if the call has been answered.
func (s *Server) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if !s.replica.leads() {
		s.forwardToLeader(w, r, maxBodyBytes)
		return false
	}
	return s.waitUntilCurrent(w)
}

// waitUntilCurrent is ensureCurrent for calls that are handled at the leader only.
func (s *Server) waitUntilCurrent(w http.ResponseWriter) bool {
	if err := s.replica.current(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "not-leading", err.Error(), time.Second)
		return false
	}
	return true
}

// registrations responds with the current list and the version and time to live of each entry.
func (s *Server) registrations(w http.ResponseWriter, _ *http.Request) {
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

// hold waits until there is a newer version for the reader, or the hold is over, and returns the version from
// which changes are to be sent. It returns false if the call has been answered with an error or its client is
// gone.
func (s *Server) hold(w http.ResponseWriter, r *http.Request, q query) (from uint64, ok bool) {
	wait := q.hold
	if version, _ := s.hub.current(); q.from > version {
		wait = max(wait, behindWait)
	}
	if wait == 0 {
		return q.from, true
	}
	maxCutOff := noCutOff
	if q.epoch != "" {
		maxCutOff = maxCutOffHold
	}
	return s.await(w, r, s.hub, q, wait, maxCutOff)
}

// await waits until the hub has a newer version for the call, or wait has passed. While this replica is cut
// off, the call waits for a random time of up to maxCutOff, or up to half of it once wait has passed, and is
// rejected unless there is a leader again by then. So a normal election costs hardly a watcher its call, even
// if there are thousands of them, and a longer one sends them to other replicas at different times. await
// returns the version up to which nothing that the call reads has changed. It returns false if the call has
// been answered with an error or its client is gone.
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
		lost, contactChanged := s.contact.state()
		switch lost = lost && maxCutOff != noCutOff; {
		case !lost && timedOut:
			return h.leave(watcher), true
		case !lost:
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
