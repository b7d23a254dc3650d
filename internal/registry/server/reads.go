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

// maxHold bounds a watch, as the protocol does.
const maxHold = time.Minute

// behindWait is how long a call that has seen more than this replica waits for it, whatever its hold.
const behindWait = time.Second

// cutOffHold is the longest that a call is held on at a replica that is cut off. Half of it, past the call's
// own hold, is a third of what a client grants an answer there; all of it, with two of the default election's
// times to lose a leader, two to be cut off for it, and a client's wait and grace for the next call, is 4.8 s
// of the 6 s in which a change is to be known.
const (
	cutOffHold = time.Second
	never      = time.Duration(math.MaxInt64) // a reader without an epoch is never sent elsewhere
)

// query is what a read asks for.
type query struct {
	from        uint64
	hold        time.Duration
	epoch       string // that the reader knows, or empty
	current     bool   // as of now, not as this replica has it
	subset      registry.Subset
	namesSubset bool // the reader has named a subset
}

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
		q.hold = min(maxHold, time.Duration(ms)*time.Millisecond)
	}
	if q.namesSubset = v.Has("part"); q.namesSubset {
		if q.subset, err = registry.ParseSubset(v.Get("part")); err != nil {
			return q, err
		}
	}
	q.epoch, q.current = v.Get("epoch"), v.Get("current") == "1"
	return q, nil
}

// instances answers reads and watches.
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
		q.from = 0 // another list: all of it
	}
	if q.from > 0 && !s.hub.hasNewer(q.subset, q.from) {
		var ok bool
		if q.from, ok = s.hold(w, r, q); !ok {
			return
		}
	}
	s.answer(w, r, q)
}

// ensureCurrent has the leader answer, or waits until this replica, as the leader, has all that was done
// before. It returns false where the call has been answered.
func (s *Server) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if !s.replica.leads() {
		s.forwardToLeader(w, r, maxBody)
		return false
	}
	return s.waitUntilCurrent(w)
}

// waitUntilCurrent is ensureCurrent for calls that have come to the leader already.
func (s *Server) waitUntilCurrent(w http.ResponseWriter) bool {
	if err := s.replica.current(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "not-leading", err.Error(), time.Second)
		return false
	}
	return true
}

// registrations answers with the list as it is now, and what is known of each entry.
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

// hold waits until there is something newer than what the reader has, and gives the version to answer from.
// It returns false where the call has been answered, or has no caller any more.
func (s *Server) hold(w http.ResponseWriter, r *http.Request, q query) (from uint64, ok bool) {
	wait := q.hold
	if version, _ := s.hub.current(); q.from > version {
		wait = max(wait, behindWait)
	}
	if wait == 0 {
		return q.from, true
	}
	cut := never
	if q.epoch != "" {
		cut = cutOffHold
	}
	return s.await(w, r, s.hub, q, wait, cut)
}

// await holds a call until its hub has something newer than its version, or its time is over. Where this
// replica is cut off, it is held for a drawn time of up to cut, half of that once its own time is over, and
// refused unless there is a leader again by then. So an election under thousands of watchers costs them no
// call, and a longer one sends them elsewhere one after the other. It gives the version up to which nothing
// that the call asks for has changed, and is false where the call has been answered, or has no caller any
// more.
func (s *Server) await(
	w http.ResponseWriter,
	r *http.Request,
	h *hub,
	q query,
	wait, cut time.Duration,
) (from uint64, ok bool) {
	watcher, full := h.wait(q.subset, q.from, s.config.MaxWatchers)
	if full {
		writeError(w, http.StatusTooManyRequests, "watchers", "too many calls are held here", time.Second)
		return 0, false
	}
	if watcher == nil {
		return q.from, true
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	var leave <-chan time.Time // nil while there is a leader
	for over := false; ; {
		lost, news := s.contact.state()
		switch lost = lost && cut != never; {
		case !lost && over:
			return h.leave(watcher), true
		case !lost:
			leave = nil
		case leave == nil && over:
			leave = time.After(rand.N(cut/2 + 1))
		case leave == nil:
			leave = time.After(rand.N(cut + 1))
		}
		select {
		case <-watcher.wake:
			return h.leave(watcher), true
		case <-news:
		case <-leave:
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
			over, leave = true, nil
		case <-r.Context().Done():
			return h.leave(watcher), false
		case <-s.ctx.Done():
			return h.leave(watcher), true
		}
	}
}
