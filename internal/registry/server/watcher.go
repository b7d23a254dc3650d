package server

import "wrenspread/internal/registry"

// watcher is a waiting call.
type watcher struct {
	from  uint64        // the reader's version
	group *watcherGroup // nil: the reader's version was above this replica's; the watcher is in hub.ahead
	wake  chan struct{} // closed when the watcher is woken
}

// wait registers a watcher that has version from of a subset. w is nil if there is a newer version already.
// It is also nil, and tooMany is true, if there are maxWatchers watchers already.
func (h *hub) wait(p registry.Subset, from uint64, maxWatchers int) (w *watcher, tooMany bool) {
	if !p.IsAll() {
		h.machine.mu.RLock() // nothing is published while it is locked
		defer h.machine.mu.RUnlock()
		if h.machine.state.HasNewer(p, from) {
			return nil, false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.IsAll() && h.newestChange > from {
		return nil, false
	}
	if h.watcherCount >= maxWatchers {
		return nil, true
	}
	w = &watcher{from: from, wake: make(chan struct{})}
	h.watcherCount++
	if from > h.version {
		h.ahead[w] = true
		return w, false
	}
	state := h.subset(p)
	if state.waiting == nil {
		state.waiting = &watcherGroup{watchers: map[*watcher]bool{}}
	}
	w.group = state.waiting
	w.group.watchers[w] = true
	return w, false
}

// leave removes a watcher and returns the version up to which the watcher's subset has not changed. The
// response can then start from that version and skip the changes of other subsets, however long the watcher
// has waited.
func (h *hub) leave(w *watcher) (unchangedUntil uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	watchers := h.ahead
	if w.group != nil {
		watchers = w.group.watchers
	}
	if watchers[w] {
		delete(watchers, w)
		h.watcherCount--
	}
	switch {
	case w.group == nil:
		return w.from
	case w.group.due:
		return max(w.from, w.group.after)
	}
	return max(w.from, h.version)
}

// watchers returns the number of waiting watchers.
func (h *hub) watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watcherCount
}
