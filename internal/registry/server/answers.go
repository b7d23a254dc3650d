package server

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// What watchers and readers of the list are answered.

const (
	maxAnswersPerSubset = 64       // answers kept of one subset; watchers stand at few versions
	maxCachedBytes      = 64 << 20 // bytes of all of them; one that is larger is kept alone

	// complete subsets that are made and sent at once: a fleet that comes together gets them in turn
	maxCompleteReads        = 64
	completeReadWait        = time.Second     // for one's turn, before a reader is rejected with Retry-After
	completeReadTimeout     = 5 * time.Second // for sending one: a reader that takes longer has given up
	completeReadRetrySpread = 4               // s, over which those that are rejected are spread
)

// encodedEndpoints is the encoded entries of an answer. They stay as they are until their part
// changes, whatever the version of the list is by then.
type encodedEndpoints struct {
	snapshot  bool
	endpoints []byte
}

// subset is what is known of a subset. It forgets those that nobody watches, now and then.
func (h *hub) subset(p registry.Subset) *subsetState {
	w := h.subsets[p]
	if w != nil {
		return w
	}
	if len(h.subsets) > h.pruneAt {
		for q, w := range h.subsets {
			if w.waiting == nil || len(w.waiting.watchers) == 0 {
				h.dropAnswers(w)
				delete(h.subsets, q)
			}
		}
		h.pruneAt = 2*len(h.subsets) + maxAnswersPerSubset
	}
	w = &subsetState{answers: map[uint64]encodedEndpoints{}}
	h.subsets[p] = w
	return w
}

// dropAnswers drops the answers of a subset.
func (h *hub) dropAnswers(w *subsetState) {
	for from, b := range w.answers {
		h.cachedBytes -= len(b.endpoints)
		delete(w.answers, from)
	}
}

func (h *hub) cacheAnswer(p registry.Subset, from uint64, b encodedEndpoints) {
	if h.cachedBytes+len(b.endpoints) > maxCachedBytes {
		for _, w := range h.subsets {
			h.dropAnswers(w)
		}
	}
	w := h.subset(p)
	if len(w.answers) >= maxAnswersPerSubset {
		h.dropAnswers(w)
	}
	h.cachedBytes += len(b.endpoints) - len(w.answers[from].endpoints)
	w.answers[from] = b
}

// answer is the encoded answer to whoever has version from of the subset that it asks for, or that names
// none: what comes ahead of the entries, and these.
func (h *hub) answer(q query) (head, entries []byte, err error) {
	h.mu.Lock()
	b, ok := encodedEndpoints{}, false
	if w := h.subsets[q.subset]; w != nil && q.from <= h.version {
		b, ok = w.answers[q.from]
	}
	a, total := registry.ListResponse{Index: h.version, Epoch: h.epoch, Snapshot: b.snapshot}, h.total
	h.mu.Unlock()
	if !ok {
		h.machine.mu.RLock()
		a, total = h.machine.state.SubsetSince(q.subset, q.from), h.machine.state.Len()
		h.machine.mu.RUnlock()
		b = encodedEndpoints{snapshot: a.Snapshot}
		if b.endpoints, err = json.Marshal(a.Endpoints); err != nil {
			return nil, nil, err
		}
		h.mu.Lock()
		if a.Index == h.version && a.Epoch == h.epoch {
			h.cacheAnswer(q.subset, q.from, b)
		}
		h.mu.Unlock()
	}
	a.Endpoints = []registry.Endpoint{}
	if q.namesSubset {
		a.Subset, a.Total = q.subset.String(), total
	}
	head, err = json.Marshal(a)
	return head[:len(head)-len("[]}")], b.endpoints, err
}

// answer writes what is newer than the reader's version. A reader that has seen more than this replica is
// never given less: with an epoch it is sent to another replica; without one it hears that nothing is newer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q query) {
	version, epoch := s.hub.current()
	if q.epoch != "" && q.epoch != epoch {
		q.from = 0
	}
	if q.from > version && q.epoch != "" {
		reason := fmt.Sprintf("this replica has version %d", version)
		writeError(w, http.StatusServiceUnavailable, "behind", reason, 0)
		return
	}
	if q.namesSubset && q.from == 0 {
		if !s.acquireCompleteRead(r) {
			writeError(
				w,
				http.StatusTooManyRequests,
				"paced",
				"too many read whole parts here",
				time.Second*time.Duration(1+rand.IntN(completeReadRetrySpread)),
			)
			return
		}
		defer func() { <-s.completeReads }()
		send := http.NewResponseController(w)
		// a writer that knows none needs none
		besteffort.SocketOption(send.SetWriteDeadline(time.Now().Add(completeReadTimeout)))
		defer func() { besteffort.SocketOption(send.SetWriteDeadline(time.Time{})) }()
	}
	head, entries, err := s.hub.answer(q)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encoding", err.Error(), 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(entries)+1))
	for _, b := range [][]byte{head, entries, []byte("}")} {
		besteffort.Response(w.Write(b)) // a reader that has left needs nothing
	}
}

// acquireCompleteRead takes one of the places for complete subsets, unless none gets free in time.
func (s *Server) acquireCompleteRead(r *http.Request) bool {
	select {
	case s.completeReads <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(completeReadWait)
	defer t.Stop()
	select {
	case s.completeReads <- struct{}{}:
		return true
	case <-t.C:
	case <-r.Context().Done():
	case <-s.ctx.Done():
	}
	return false
}
