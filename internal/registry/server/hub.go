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

// hub holds watchers until there is something newer than what they have, and
// makes each answer once for all who need the same. It finds those whom a change
// concerns by the parts that hold it, never by a walk over all.
type hub struct {
	machine *machine
	mu      sync.Mutex
	parts   map[registry.Subset]*watched
	pruneAt int // parts known at which those that nobody watches are forgotten
	ahead   map[*watcher]bool
	due     []*group // to be woken
	held    int      // watchers, of all groups and ahead
	kept    int      // bytes of answers
	version uint64   // of all
	newest  uint64   // of the last change that watchers are told of
	epoch   string
	total   int // entries of the list
	news    chan struct{}
}

// watched is a part of which there are watchers, or answers.
type watched struct {
	waiting *group
	answers map[uint64]body // for this state of the part, by the version that they go on from
}

// group is the watchers of a part since its last change.
type group struct {
	all   map[*watcher]bool
	due   bool   // a change concerns them, or all were told to look
	after uint64 // that change is the first of their part past this version; 0: what has changed is not known
}

func newHub(m *machine) *hub {
	return &hub{
		machine: m,
		parts:   map[registry.Subset]*watched{},
		ahead:   map[*watcher]bool{},
		news:    make(chan struct{}, 1),
	}
}

// publish says that there is a version, and the newest that watchers are to be
// told of, whatever they watch. It does not wait.
func (h *hub) publish(version, newest uint64, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == h.version && epoch == h.epoch {
		return
	}
	if newest != h.newest || epoch != h.epoch {
		h.moveAll()
	}
	h.version, h.newest, h.epoch = version, newest, epoch
	h.signal()
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
	if newest != h.newest || epoch != h.epoch {
		if moves, ok := s.ChangePositions(h.newest); ok && epoch == h.epoch {
			for _, m := range moves {
				registry.EachSubset(m.Position, func(p registry.Subset) { h.move(p, m.Version-1) })
			}
		} else {
			h.moveAll()
		}
	}
	h.version, h.newest, h.epoch = version, newest, epoch
	h.signal()
}

// move notes the first change of a part past a version.
func (h *hub) move(p registry.Subset, after uint64) {
	w := h.parts[p]
	if w == nil {
		return
	}
	h.forget(w)
	if w.waiting != nil {
		w.waiting.due, w.waiting.after = true, after
		h.due, w.waiting = append(h.due, w.waiting), nil
	}
}

func (h *hub) moveAll() {
	for p := range h.parts {
		h.move(p, 0)
	}
}

func (h *hub) signal() {
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
	for ; len(h.due) > 0; h.due = h.due[1:] {
		for w := range h.due[0].all {
			if n++; n > wakeBatch {
				return true
			}
			h.drop(w, h.due[0].all)
		}
	}
	h.due = nil
	for w := range h.ahead {
		if w.from <= h.version {
			h.drop(w, h.ahead)
		}
	}
	return false
}

func (h *hub) drop(w *watcher, of map[*watcher]bool) {
	delete(of, w)
	h.held--
	close(w.wake)
}

func (h *hub) partsKnown() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.parts)
}

// old tells whether there is something to tell whoever has version from of a part.
func (h *hub) old(p registry.Subset, from uint64) bool {
	if !p.IsAll() {
		h.machine.mu.RLock()
		defer h.machine.mu.RUnlock()
		return h.machine.state.HasNewer(p, from)
	}
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
