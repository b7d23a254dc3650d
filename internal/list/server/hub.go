package server

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	wakeBatch = 128                    // watchers that are woken at once
	wakePause = 200 * time.Microsecond // between two batches, so that a change does not make all of them run at once
	cacheMost = 64                     // answers kept for one version; watchers stand at few versions
)

// hub holds watchers until there is something newer than what they have, and
// makes each answer once for all who need the same.
type hub struct {
	machine *machine
	mu      sync.Mutex
	waiting map[*watcher]bool
	version uint64 // of all
	newest  uint64 // of the last change that watchers are told of
	epoch   string
	answers map[uint64][]byte // for this version and epoch
	news    chan struct{}
}

type watcher struct {
	from  uint64
	ahead bool // it has seen more than this replica had: it waits for that
	wake  chan struct{}
}

func newHub(m *machine) *hub {
	return &hub{machine: m, waiting: map[*watcher]bool{}, answers: map[uint64][]byte{}, news: make(chan struct{}, 1)}
}

// publish says that there is a version, and the newest that watchers are to be
// told of. It does not wait.
func (h *hub) publish(version, newest uint64, epoch string) {
	h.mu.Lock()
	if version == h.version && epoch == h.epoch {
		h.mu.Unlock()
		return
	}
	h.version, h.newest, h.epoch = version, newest, epoch
	clear(h.answers)
	h.mu.Unlock()
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// run wakes watchers until done is closed.
func (h *hub) run(done <-chan struct{}) {
	for {
		select {
		case <-h.news:
		case <-done:
			return
		}
		for h.wakeSome() {
			select {
			case <-time.After(wakePause):
			case <-done:
				return
			}
		}
	}
}

// wakeSome wakes a batch and tells whether there may be more.
func (h *hub) wakeSome() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for w := range h.waiting {
		if w.from >= h.newest && !(w.ahead && w.from <= h.version) {
			continue
		}
		delete(h.waiting, w)
		close(w.wake)
		if n++; n == wakeBatch {
			return true
		}
	}
	return false
}

// wait registers a watcher that has version from; it is nil where there is
// something newer already, and full where there are too many.
func (h *hub) wait(from uint64, most int) (w *watcher, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest > from {
		return nil, false
	}
	if len(h.waiting) >= most {
		return nil, true
	}
	w = &watcher{from, from > h.version, make(chan struct{})}
	h.waiting[w] = true
	return w, false
}

func (h *hub) leave(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, w)
}

func (h *hub) watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiting)
}

// answer is the encoded answer to whoever has version from, and the version that it brings.
func (h *hub) answer(from uint64) (raw []byte, err error) {
	h.mu.Lock()
	raw = h.answers[from]
	h.mu.Unlock()
	if raw != nil {
		return raw, nil
	}
	h.machine.mu.RLock()
	a := h.machine.state.Since(from)
	h.machine.mu.RUnlock()
	if raw, err = json.Marshal(a); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.Index == h.version && a.Epoch == h.epoch && len(h.answers) < cacheMost {
		h.answers[from] = raw
	}
	return raw, nil
}

// old tells whether there is something to tell whoever has version from.
func (h *hub) old(from uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return from < h.newest
}

// has tells the version and epoch that watchers are told of.
func (h *hub) has() (version uint64, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.epoch
}
