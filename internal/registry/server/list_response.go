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

// Responses to watchers and readers of the list.

const (
	maxAnswersPerSubset = 64       // cached responses for one subset: its watchers have few different versions
	maxCachedBytes      = 64 << 20 // of all cached responses; a larger response is cached alone

	// maxCompleteReads bounds the complete subsets that are encoded and sent at the same time, for fleets whose
	// proxies all start at once.
	maxCompleteReads        = 64
	completeReadWait        = time.Second     // wait for a slot, before a reader is rejected with Retry-After
	completeReadTimeout     = 5 * time.Second // for sending a complete subset; by then the reader has given up
	completeReadRetrySpread = 4               // seconds over which the retries of rejected readers are spread
)

// encodedEndpoints holds the encoded entries of a response. They are valid until the subset changes, whatever
// the version of the list is by then.
type encodedEndpoints struct {
	snapshot  bool
	endpoints []byte
}

// subset returns the state of a subset and creates it if it is missing. If there are more than pruneAt
// subsets, it first deletes those without watchers.
func (h *hub) subset(p registry.Subset) *subsetState {
	state := h.subsets[p]
	if state != nil {
		return state
	}
	if len(h.subsets) > h.pruneAt {
		for other, otherState := range h.subsets {
			if otherState.waiting == nil || len(otherState.waiting.watchers) == 0 {
				h.dropAnswers(otherState)
				delete(h.subsets, other)
			}
		}
		h.pruneAt = 2*len(h.subsets) + maxAnswersPerSubset
	}
	state = &subsetState{answers: map[uint64]encodedEndpoints{}}
	h.subsets[p] = state
	return state
}

// dropAnswers drops the cached responses for a subset.
func (h *hub) dropAnswers(state *subsetState) {
	for from, encoded := range state.answers {
		h.cachedBytes -= len(encoded.endpoints)
		delete(state.answers, from)
	}
}

// cacheAnswer caches the response to readers of version from of a subset.
func (h *hub) cacheAnswer(p registry.Subset, from uint64, encoded encodedEndpoints) {
	if h.cachedBytes+len(encoded.endpoints) > maxCachedBytes {
		for _, state := range h.subsets {
			h.dropAnswers(state)
		}
	}
	state := h.subset(p)
	if len(state.answers) >= maxAnswersPerSubset {
		h.dropAnswers(state)
	}
	h.cachedBytes += len(encoded.endpoints) - len(state.answers[from].endpoints)
	state.answers[from] = encoded
}

// answer returns the encoded response to a query: the JSON before the entries, and the entries. The caller
// appends the closing brace.
func (h *hub) answer(q query) (head, entries []byte, err error) {
	h.mu.Lock()
	encoded, ok := encodedEndpoints{}, false
	if state := h.subsets[q.subset]; state != nil && q.from <= h.version {
		encoded, ok = state.answers[q.from]
	}
	a, total := registry.ListResponse{
		Index:    h.version,
		Epoch:    h.epoch,
		Snapshot: encoded.snapshot,
	}, h.endpointCount
	h.mu.Unlock()
	if !ok {
		h.machine.mu.RLock()
		a, total = h.machine.state.SubsetSince(q.subset, q.from), h.machine.state.Len()
		h.machine.mu.RUnlock()
		encoded = encodedEndpoints{snapshot: a.Snapshot}
		if encoded.endpoints, err = json.Marshal(a.Endpoints); err != nil {
			return nil, nil, err
		}
		h.mu.Lock()
		if a.Index == h.version && a.Epoch == h.epoch {
			h.cacheAnswer(q.subset, q.from, encoded)
		}
		h.mu.Unlock()
	}
	a.Endpoints = []registry.Endpoint{}
	if q.namesSubset {
		a.Subset, a.Total = q.subset.String(), total
	}
	head, err = json.Marshal(a)
	return head[:len(head)-len("[]}")], encoded.endpoints, err
}

// answer responds with the changes since the reader's version. A reader whose version is above this replica's
// never gets an older list: a reader with an epoch gets the error "behind", which sends it to another
// replica, and a reader without an epoch gets no changes.
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
		// an error means that the writer supports no deadline
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
		besteffort.Response(w.Write(b)) // a reader that is gone needs no response
	}
}

// acquireCompleteRead takes one of the maxCompleteReads slots. It returns false if none becomes free in time.
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
