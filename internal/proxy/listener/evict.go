package listener

import (
	"net"
	"time"
)

const (
	// minIdleTime is the time after which the proxy may close a connection on which no request is open.
	minIdleTime = 2 * time.Second
	// maxIncompleteEvictions bounds the requests that are ended at once because they are not complete.
	maxIncompleteEvictions = 8
)

// evict frees slots and memory, and reports whether it found some to free. It takes first what its client
// misses least: connections that wait for their client's end, idle ones, requests that their clients have had
// some time to complete, connections that have just become idle, and silent new ones.
func (l *Listener) evict() bool {
	now := time.Now()
	if l.endOldestLinger(now.Add(-minLingerTime)) || l.evictSince(l.idle, now.Add(-minIdleTime)) {
		return true
	}
	evicted := 0
	for evicted < maxIncompleteEvictions && l.evictIncomplete(now.Add(-minIncompleteTime)) {
		evicted++
	}
	if evicted > 0 {
		return true
	}
	if l.hasIncomplete() { // a client that has been served waits for none that has sent nothing complete yet
		return l.evictSince(l.fresh, now.Add(-minIncompleteTime))
	}
	return l.evictIdle()
}

// hasIncomplete reports whether a request is being received that is not complete and may be evicted.
func (l *Listener) hasIncomplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.mayEvict() {
			return true
		}
	}
	return false
}

// evictSince closes the connection that has been in a state longest, if it entered the state at latest or
// earlier. conns are the connections in that state.
func (l *Listener) evictSince(conns map[net.Conn]time.Time, latest time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return evictOldest(conns, latest)
}

// evictIdle closes the connection that has been idle longest. If none is idle, it closes the new connection
// that has been silent longest, if that is at least minFreshTime. It returns false if it closed none.
func (l *Listener) evictIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if evictOldest(l.idle, now) {
		l.fullSince = now // its client has lingerTimeout to close
		return true
	}
	return evictOldest(l.fresh, now.Add(-minFreshTime))
}

// evictOldest closes the connection that has been idle or new longest, if it has been so since latest or
// longer. It passes over those with a request. It reports whether it closed one.
func evictOldest(conns map[net.Conn]time.Time, latest time.Time) bool {
	for len(conns) > 0 {
		var oldest net.Conn
		for c, since := range conns {
			if oldest == nil || since.Before(conns[oldest]) {
				oldest = c
			}
		}
		if conns[oldest].After(latest) {
			return false
		}
		delete(conns, oldest)
		if oldest.(*Conn).closeUnused(CloseEvicted) {
			return true
		}
	}
	return false
}
