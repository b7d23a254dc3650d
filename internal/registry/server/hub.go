package server

import (
	"sync"
	"time"

	"wrenspread/internal/registry"
)

const (
	wakeBatch = 128 // watchers that are woken at once
	// between two batches, so that a change does not make all of them run at once
	wakePause = 200 * time.Microsecond
)

// hub keeps watchers waiting until there is something newer than what they have, and makes each answer once
// for all that need the same. It finds those whom a change concerns by the subsets that hold it, never by a
// walk over all.
type hub struct {
	machine       *machine
	mu            sync.Mutex
	subsets       map[registry.Subset]*subsetState
	pruneAt       int // subsets known at which those that nobody watches are forgotten
	ahead         map[*watcher]bool
	due           []*watcherGroup // to be woken
	watcherCount  int             // watchers, of all groups and ahead
	cachedBytes   int             // bytes of answers
	version       uint64          // of all
	newestChange  uint64          // of the last change that watchers are notified of
	epoch         string
	total         int // entries of the list
	wakeRequested chan struct{}
}

// subsetState is a subset of which there are watchers, or answers.
type subsetState struct {
	waiting *watcherGroup
	answers map[uint64]encodedEndpoints // for this state of the subset, by the version that they go on from
}

// watcherGroup is the watchers of a subset since its last change.
type watcherGroup struct {
	watchers map[*watcher]bool
	due      bool   // a change concerns them, or all were notified
	after    uint64 // that change is the first of their part past this version; 0: what has changed is not known
}

func newHub(m *machine) *hub {
	return &hub{
		machine:       m,
		subsets:       map[registry.Subset]*subsetState{},
		ahead:         map[*watcher]bool{},
		wakeRequested: make(chan struct{}, 1),
	}
}

// publish says that there is a version, and the newest that watchers are to be notified of, whatever they
// watch. It does not wait.
func (h *hub) publish(version, newest uint64, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.version && epoch == h.epoch {
		return
	}
	if newest != h.newestChange || epoch != h.epoch {
		h.markAllChanged()
	}
	h.version, h.newestChange, h.epoch = version, newest, epoch
	h.requestWake()
}

// publishList is publish for the list, of which it tells those whom its changes concern.
func (h *hub) publishList(s *registry.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version, newest, epoch := s.Version(), s.ListVersion(), s.Epoch()
	h.total = s.Len()
	if version == h.version && epoch == h.epoch {
		return
	}
	if newest != h.newestChange || epoch != h.epoch {
		if moves, ok := s.ChangePositions(h.newestChange); ok && epoch == h.epoch {
			for _, m := range moves {
				registry.EachSubset(m.Position, func(p registry.Subset) { h.markChanged(p, m.Version-1) })
			}
		} else {
			h.markAllChanged()
		}
	}
	h.version, h.newestChange, h.epoch = version, newest, epoch
	h.requestWake()
}

// markChanged notes the first change of a subset past a version.
func (h *hub) markChanged(p registry.Subset, after uint64) {
	w := h.subsets[p]
	if w == nil {
		return
	}
	h.dropAnswers(w)
	if w.waiting != nil {
		w.waiting.due, w.waiting.after = true, after
		h.due, w.waiting = append(h.due, w.waiting), nil
	}
}

func (h *hub) markAllChanged() {
	for p := range h.subsets {
		h.markChanged(p, 0)
	}
}

func (h *hub) requestWake() {
	select {
	case h.wakeRequested <- struct{}{}:
	default:
	}
}

// run wakes watchers until done is closed.
func (h *hub) run(done <-chan struct{}) {
	for {
		select {
		case <-h.wakeRequested:
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

// wakeSome wakes a batch and reports whether there may be more.
func (h *hub) wakeSome() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for ; len(h.due) > 0; h.due = h.due[1:] {
		for w := range h.due[0].watchers {
			if n++; n > wakeBatch {
				return true
			}
			h.wakeWatcher(w, h.due[0].watchers)
		}
	}
	h.due = nil
	for w := range h.ahead {
		if w.from <= h.version {
			h.wakeWatcher(w, h.ahead)
		}
	}
	return false
}

func (h *hub) wakeWatcher(w *watcher, of map[*watcher]bool) {
	delete(of, w)
	h.watcherCount--
	close(w.wake)
}

func (h *hub) subsetCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subsets)
}

// hasNewer reports whether there is something newer than version from of a subset.
func (h *hub) hasNewer(p registry.Subset, from uint64) bool {
	if !p.IsAll() {
		h.machine.mu.RLock()
		defer h.machine.mu.RUnlock()
		return h.machine.state.HasNewer(p, from)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return from < h.newestChange
}

// current returns the version and epoch that watchers are notified of.
func (h *hub) current() (version uint64, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.epoch
}
