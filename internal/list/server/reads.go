package server

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"indigotack/internal/list"
)

// maxHold bounds a watch, as the protocol does.
const maxHold = time.Minute

// behind is how long a call that has seen more than this replica waits for it, whatever its hold.
const behind = time.Second

// query is what a read asks for.
type query struct {
	from    uint64
	hold    time.Duration
	epoch   string // that the reader knows, or empty
	current bool   // as of now, not as this replica has it
	part    list.Part
	parted  bool // the reader has named a part
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
	if q.parted = v.Has("part"); q.parted {
		if q.part, err = list.ParsePart(v.Get("part")); err != nil {
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
		refuse(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if q.current && !s.asOfNow(w, r) {
		return
	}
	_, epoch := s.hub.has()
	if epoch == "" || q.from == 0 && !s.contact.caught.Load() {
		refuse(w, http.StatusServiceUnavailable, "not-begun", "this replica has no list yet, or replays its log", time.Second)
		return
	}
	if q.epoch != "" && q.epoch != epoch {
		q.from = 0 // another list: all of it
	}
	if q.from > 0 && !s.hub.old(q.part, q.from) {
		var ok bool
		if q.from, ok = s.hold(w, r, q); !ok {
			return
		}
	}
	s.answer(w, r, q)
}

// asOfNow has the leader answer, or waits until this replica, as the leader, has
// all that was done before. It is false where the call has been answered.
func (s *Server) asOfNow(w http.ResponseWriter, r *http.Request) bool {
	if !s.replica.leads() {
		s.passOn(w, r, maxBody)
		return false
	}
	return s.upToNow(w)
}

// upToNow is asOfNow for calls that have come to the leader already.
func (s *Server) upToNow(w http.ResponseWriter) bool {
	if err := s.replica.current(); err != nil {
		refuse(w, http.StatusServiceUnavailable, "not-leading", err.Error(), time.Second)
		return false
	}
	return true
}

// items answers with the list as it is now, and what is known of each entry.
func (s *Server) items(w http.ResponseWriter, _ *http.Request) {
	if !s.upToNow(w) {
		return
	}
	s.machine.mu.RLock()
	a := list.Items{Index: s.machine.state.Version(), Epoch: s.machine.state.Epoch(), Items: s.machine.state.Items()}
	s.machine.mu.RUnlock()
	writeJSON(w, http.StatusOK, a)
}

// hold waits until there is something newer than what the reader has, and gives
// the version to answer from. It is false where the call has been answered, or
// has no caller any more.
func (s *Server) hold(w http.ResponseWriter, r *http.Request, q query) (from uint64, ok bool) {
	wait := q.hold
	if version, _ := s.hub.has(); q.from > version {
		wait = max(wait, behind)
	}
	if wait == 0 {
		return q.from, true
	}
	var news <-chan struct{} // of this replica's contact, for readers that have others to ask
	if q.epoch != "" {
		var lost bool
		if lost, news = s.contact.state(); lost {
			s.refuseCutOff(w)
			return 0, false
		}
	}
	return s.await(w, r, s.hub, q, wait, news)
}

// await holds a call until its hub has something newer than its version, its time
// is over, or news comes of this replica's contact, which refuses it. It gives the
// version up to which nothing that the call asks for has changed, and is false
// where the call has been answered, or has no caller any more.
func (s *Server) await(w http.ResponseWriter, r *http.Request, h *hub, q query, wait time.Duration, news <-chan struct{}) (from uint64, ok bool) {
	watcher, full := h.wait(q.part, q.from, s.c.MaxWatchers)
	if full {
		refuse(w, http.StatusTooManyRequests, "watchers", "too many calls are held here", time.Second)
		return 0, false
	}
	if watcher == nil {
		return q.from, true
	}
	ok = true
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case <-watcher.wake:
	case <-news:
		s.refuseCutOff(w)
		ok = false
	case <-ctx.Done():
		ok = r.Context().Err() == nil
	case <-s.ctx.Done():
	}
	return h.leave(watcher), ok
}

// refuseCutOff tells a reader that there may be news which this replica can't have.
// At the end of a cut it is told the same, and comes again.
func (s *Server) refuseCutOff(w http.ResponseWriter) {
	refuse(w, http.StatusServiceUnavailable, "cut-off", "this replica is, or was just now, without a leader; ask another", 0)
}
