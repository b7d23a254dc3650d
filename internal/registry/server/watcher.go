package server

import "wrenspread/internal/registry"

// watcher is one call that is held.
type watcher struct {
	from  uint64
	group *watcherGroup // nil: it has seen more than this replica had, and waits for that
	wake  chan struct{}
}

// wait registers a watcher that has version from of a subset; it is nil where there is something newer
// already, and full where there are too many.
func (h *hub) wait(p registry.Subset, from uint64, most int) (w *watcher, full bool) {
	if !p.IsAll() {
		h.machine.mu.RLock() // nothing is published meanwhile
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
	if h.watcherCount >= most {
		return nil, true
	}
	w = &watcher{from: from, wake: make(chan struct{})}
	h.watcherCount++
	if from > h.version {
		h.ahead[w] = true
		return w, false
	}
	at := h.subset(p)
	if at.waiting == nil {
		at.waiting = &watcherGroup{watchers: map[*watcher]bool{}}
	}
	w.group = at.waiting
	w.group.watchers[w] = true
	return w, false
}

// leave ends a watcher's wait, and returns the version up to which nothing of its subset has changed since
// the one that it had. However long it has been held, it need not go through what the other subsets have had
// meanwhile.
func (h *hub) leave(w *watcher) (after uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.ahead
	if w.group != nil {
		in = w.group.watchers
	}
	if in[w] {
		delete(in, w)
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

func (h *hub) watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watcherCount
}
