package server

import (
	"sync"
	"time"

	"wrenspread/internal/registry"
)

const (
	wakeBatch = 128 // watchers that are woken together
	// wakePause separates two batches, so that a change does not make all watchers run at the same time.
	wakePause = 200 * time.Microsecond
)

// hub lets watchers wait until there is a newer version for them. It caches encoded responses, which are
// shared by watchers with the same version of the same subset. It finds the watchers affected by a change
// through the subsets that contain the change, without visiting other watchers.
type hub struct {
	machine       *machine
	mu            sync.Mutex
	subsets       map[registry.Subset]*subsetState
	pruneAt       int               // number of subsets above which subsets without watchers are deleted
	ahead         map[*watcher]bool // watchers whose version is above this replica's
	dueGroups     []*watcherGroup   // groups to be woken
	watcherCount  int               // number of watchers in all groups and in ahead
	cachedBytes   int               // size of the cached responses
	version       uint64            // version of the state
	newestChange  uint64            // version of the last change that watchers are notified of
	epoch         string
	endpointCount int // number of entries in the list
	wakeRequested chan struct{}
}

// subsetState holds the watchers of a subset and the responses cached for it.
type subsetState struct {
	waiting   *watcherGroup               // nil: no watcher has come since the subset's last change
	responses map[uint64]encodedEndpoints // by the reader's version; dropped when the subset changes
}

// watcherGroup holds the watchers of a subset that have come since the last change of the subset.
type watcherGroup struct {
	watchers map[*watcher]bool
	due      bool   // the subset has changed, or may have changed
	after    uint64 // the subset's first change is after this version; 0: it is not known what has changed
}

func newHub(m *machine) *hub {
	return &hub{
		machine:       m,
		subsets:       map[registry.Subset]*subsetState{},
		ahead:         map[*watcher]bool{},
		wakeRequested: make(chan struct{}, 1),
	}
}

// publish sets the version of the state and the version of the newest change. If there is a newer change, it
// marks all watchers to be woken, whatever they watch. It does not block.
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

// publishList is publish for the list: it marks only the watchers of subsets that have changed.
func (h *hub) publishList(s *registry.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	version, newest, epoch := s.Version(), s.ListVersion(), s.Epoch()
	h.endpointCount = s.Len()
	if version == h.version && epoch == h.epoch {
		return
	}
	if newest != h.newestChange || epoch != h.epoch {
		if changes, ok := s.ChangePositions(h.newestChange); ok && epoch == h.epoch {
			for _, change := range changes {
				registry.EachSubset(change.Position, func(p registry.Subset) { h.markChanged(p, change.Version-1) })
			}
		} else {
			h.markAllChanged()
		}
	}
	h.version, h.newestChange, h.epoch = version, newest, epoch
	h.requestWake()
}

// markChanged records that the first change of a subset comes after a version. It drops the cached responses
// and marks the watchers of the subset to be woken.
func (h *hub) markChanged(p registry.Subset, after uint64) {
	state := h.subsets[p]
	if state == nil {
		return
	}
	h.dropResponses(state)
	if state.waiting != nil {
		state.waiting.due, state.waiting.after = true, after
		h.dueGroups, state.waiting = append(h.dueGroups, state.waiting), nil
	}
}

// markAllChanged marks every subset as changed, without a known version.
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
		for h.wakeNextBatch() {
			select {
			case <-time.After(wakePause):
			case <-done:
				return
			}
		}
	}
}

// wakeNextBatch wakes a batch of watchers and reports whether there may be more to wake.
func (h *hub) wakeNextBatch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	woken := 0
	for ; len(h.dueGroups) > 0; h.dueGroups = h.dueGroups[1:] {
		for w := range h.dueGroups[0].watchers {
			if woken++; woken > wakeBatch {
				return true
			}
			h.wakeWatcher(w, h.dueGroups[0].watchers)
		}
	}
	h.dueGroups = nil
	for w := range h.ahead {
		if w.from <= h.version {
			h.wakeWatcher(w, h.ahead)
		}
	}
	return false
}

// wakeWatcher removes a watcher from the set that it is in, and wakes it.
func (h *hub) wakeWatcher(w *watcher, watchers map[*watcher]bool) {
	delete(watchers, w)
	h.watcherCount--
	close(w.wake)
}

func (h *hub) subsetCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subsets)
}

// hasNewer reports whether a subset has changed since version from.
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
