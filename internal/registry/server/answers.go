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
	cacheMost = 64       // answers kept of one part; watchers stand at few versions
	cacheSize = 64 << 20 // bytes of all of them; one that is larger is kept alone

	// whole parts that are made and sent at once: a fleet that comes together gets them in turn
	wholeMost  = 64
	wholeWait  = time.Second     // for one's turn, before a reader is told to come again
	wholeTime  = 5 * time.Second // for sending one: a reader that takes longer has given up
	wholeAgain = 4               // s, over which those that are rejected are spread
)

// body is the encoded entries of an answer. They stay as they are until their part
// changes, whatever the version of the list is by then.
type body struct {
	snapshot  bool
	endpoints []byte
}

// part is what is known of a part. It forgets those that nobody watches, now and then.
func (h *hub) part(p registry.Subset) *watched {
	w := h.parts[p]
	if w != nil {
		return w
	}
	if len(h.parts) > h.pruneAt {
		for q, w := range h.parts {
			if w.waiting == nil || len(w.waiting.all) == 0 {
				h.forget(w)
				delete(h.parts, q)
			}
		}
		h.pruneAt = 2*len(h.parts) + cacheMost
	}
	w = &watched{answers: map[uint64]body{}}
	h.parts[p] = w
	return w
}

// forget drops the answers of a part.
func (h *hub) forget(w *watched) {
	for from, b := range w.answers {
		h.kept -= len(b.endpoints)
		delete(w.answers, from)
	}
}

func (h *hub) keep(p registry.Subset, from uint64, b body) {
	if h.kept+len(b.endpoints) > cacheSize {
		for _, w := range h.parts {
			h.forget(w)
		}
	}
	w := h.part(p)
	if len(w.answers) >= cacheMost {
		h.forget(w)
	}
	h.kept += len(b.endpoints) - len(w.answers[from].endpoints)
	w.answers[from] = b
}

// answer is the encoded answer to whoever has version from of the part that it
// asks for, or that names none: what comes ahead of the entries, and these.
func (h *hub) answer(q query) (head, entries []byte, err error) {
	h.mu.Lock()
	b, ok := body{}, false
	if w := h.parts[q.part]; w != nil && q.from <= h.version {
		b, ok = w.answers[q.from]
	}
	a, total := registry.ListResponse{Index: h.version, Epoch: h.epoch, Snapshot: b.snapshot}, h.total
	h.mu.Unlock()
	if !ok {
		h.machine.mu.RLock()
		a, total = h.machine.state.SubsetSince(q.part, q.from), h.machine.state.Len()
		h.machine.mu.RUnlock()
		b = body{snapshot: a.Snapshot}
		if b.endpoints, err = json.Marshal(a.Endpoints); err != nil {
			return nil, nil, err
		}
		h.mu.Lock()
		if a.Index == h.version && a.Epoch == h.epoch {
			h.keep(q.part, q.from, b)
		}
		h.mu.Unlock()
	}
	a.Endpoints = []registry.Endpoint{}
	if q.parted {
		a.Subset, a.Total = q.part.String(), total
	}
	head, err = json.Marshal(a)
	return head[:len(head)-len("[]}")], b.endpoints, err
}

// answer writes what is newer than the reader's version. A reader that has seen
// more than this replica is never given less: with an epoch it is told to ask
// elsewhere; without one it hears that nothing is newer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q query) {
	version, epoch := s.hub.has()
	if q.epoch != "" && q.epoch != epoch {
		q.from = 0
	}
	if q.from > version && q.epoch != "" {
		refuse(w, http.StatusServiceUnavailable, "behind", fmt.Sprintf("this replica has version %d", version), 0)
		return
	}
	if q.parted && q.from == 0 {
		if !s.turn(r) {
			refuse(
				w,
				http.StatusTooManyRequests,
				"paced",
				"too many read whole parts here",
				time.Second*time.Duration(1+rand.IntN(wholeAgain)),
			)
			return
		}
		defer func() { <-s.whole }()
		send := http.NewResponseController(w)
		// a writer that knows none needs none
		besteffort.SocketOption(send.SetWriteDeadline(time.Now().Add(wholeTime)))
		defer func() { besteffort.SocketOption(send.SetWriteDeadline(time.Time{})) }()
	}
	head, entries, err := s.hub.answer(q)
	if err != nil {
		refuse(w, http.StatusInternalServerError, "encoding", err.Error(), 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(entries)+1))
	for _, b := range [][]byte{head, entries, []byte("}")} {
		besteffort.Response(w.Write(b)) // a reader that has left needs nothing
	}
}

// turn takes one of the places for whole parts, unless none gets free in time.
func (s *Server) turn(r *http.Request) bool {
	select {
	case s.whole <- struct{}{}:
		return true
	default:
	}
	t := time.NewTimer(wholeWait)
	defer t.Stop()
	select {
	case s.whole <- struct{}{}:
		return true
	case <-t.C:
	case <-r.Context().Done():
	case <-s.ctx.Done():
	}
	return false
}
