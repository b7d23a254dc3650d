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
	maxResponsesPerSubset = 64       // cached responses for one subset: its watchers have few different versions
	maxCachedBytes        = 64 << 20 // size of all cached responses; a larger response is cached alone

	// maxCompleteReads bounds the number of complete subsets that are encoded and sent at the same time, in case
	// all proxies of a fleet start at once.
	maxCompleteReads        = 64
	completeReadWait        = time.Second     // wait for a slot, before a reader is rejected with Retry-After
	completeReadTimeout     = 5 * time.Second // for sending a complete subset; by then the reader has given up
	completeReadRetrySpread = 4               // seconds over which the retries of rejected readers are spread
)

// encodedEndpoints holds the encoded entries of a response. They are valid until the subset changes, even if
// the version of the list has changed.
type encodedEndpoints struct {
	snapshot  bool
	endpoints []byte
}

// subset returns the state of a subset and creates it if it is missing. If there are more than pruneAt
// subsets, it first deletes the subsets without watchers.
func (h *hub) subset(p registry.Subset) *subsetState {
	state := h.subsets[p]
	if state != nil {
		return state
	}
	if len(h.subsets) > h.pruneAt {
		for other, otherState := range h.subsets {
			if otherState.waiting == nil || len(otherState.waiting.watchers) == 0 {
				h.dropResponses(otherState)
				delete(h.subsets, other)
			}
		}
		h.pruneAt = 2*len(h.subsets) + maxResponsesPerSubset
	}
	state = &subsetState{responses: map[uint64]encodedEndpoints{}}
	h.subsets[p] = state
	return state
}

// dropResponses drops the cached responses for a subset.
func (h *hub) dropResponses(state *subsetState) {
	for from, encoded := range state.responses {
		h.cachedBytes -= len(encoded.endpoints)
		delete(state.responses, from)
	}
}

// cacheResponse caches the response to readers of version from of a subset.
func (h *hub) cacheResponse(p registry.Subset, from uint64, encoded encodedEndpoints) {
	if h.cachedBytes+len(encoded.endpoints) > maxCachedBytes {
		for _, state := range h.subsets {
			h.dropResponses(state)
		}
	}
	state := h.subset(p)
	if len(state.responses) >= maxResponsesPerSubset {
		h.dropResponses(state)
	}
	h.cachedBytes += len(encoded.endpoints) - len(state.responses[from].endpoints)
	state.responses[from] = encoded
}

// encodeResponse returns the encoded response to a query: the JSON before the entries, and the entries. The
// caller appends the closing brace.
func (h *hub) encodeResponse(q query) (head, entries []byte, err error) {
	h.mu.Lock()
	encoded, ok := encodedEndpoints{}, false
	if state := h.subsets[q.subset]; state != nil && q.from <= h.version {
		encoded, ok = state.responses[q.from]
	}
	response, total := registry.ListResponse{
		Index:    h.version,
		Epoch:    h.epoch,
		Snapshot: encoded.snapshot,
	}, h.endpointCount
	h.mu.Unlock()
	if !ok {
		h.machine.mu.RLock()
		response, total = h.machine.state.SubsetSince(q.subset, q.from), h.machine.state.Len()
		h.machine.mu.RUnlock()
		encoded = encodedEndpoints{snapshot: response.Snapshot}
		if encoded.endpoints, err = json.Marshal(response.Endpoints); err != nil {
			return nil, nil, err
		}
		h.mu.Lock()
		if response.Index == h.version && response.Epoch == h.epoch {
			h.cacheResponse(q.subset, q.from, encoded)
		}
		h.mu.Unlock()
	}
	response.Endpoints = []registry.Endpoint{}
	if q.namesSubset {
		response.Subset, response.Total = q.subset.String(), total
	}
	head, err = json.Marshal(response)
	return head[:len(head)-len("[]}")], encoded.endpoints, err
}

// respondWithList responds with the changes since the reader's version, or with all entries. A reader whose
// version is above this replica's version never gets an older list: if the reader has sent an epoch, it gets
// the error "behind" and calls another replica; otherwise it gets a response without changes.
func (s *Server) respondWithList(w http.ResponseWriter, r *http.Request, q query) {
	version, epoch := s.listHub.current()
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
		controller := http.NewResponseController(w)
		// an error means that the writer supports no deadline
		besteffort.SocketOption(controller.SetWriteDeadline(time.Now().Add(completeReadTimeout)))
		defer func() { besteffort.SocketOption(controller.SetWriteDeadline(time.Time{})) }()
	}
	head, entries, err := s.listHub.encodeResponse(q)
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
