package listener

import (
	"net"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/socketoption"
)

// state is a connection's, in net/http's terms. A client whose connection
// ends between two requests sends the one that crosses this anew; one of whose
// request a byte has been read is owed an answer. The first request of a new
// connection is not sent anew, so that is closed last.
type state int

const (
	fresh state = iota // nothing has been read
	active
	idle   // nothing of a next request has been read
	closed // what is read later is not taken
)

// TrackState follows which connections are idle, for http.Server's ConnState. The server
// calls it while it does not read.
func (l *Listener) TrackState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	delete(l.fresh, c)
	if s == http.StateNew {
		l.fresh[c] = time.Now()
	}
	if s != http.StateIdle || !c.(*Conn).markIdle() {
		return
	}
	if l.draining {
		c.(*Conn).closeInState(idle)
		return
	}
	l.idle[c] = time.Now()
	l.full.Store(false) // this one gives way
}

// markIdle marks a connection as idle, unless something of a next request is here.
func (c *Conn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
	if !c.framing.isBetweenRequests() || len(c.pipelined) > 0 {
		return false
	}
	c.state = idle
	return true
}

// closeInState closes a connection that is in a state, in which nobody is owed an
// answer: the server's read ends, upon which the server closes it.
func (c *Conn) closeInState(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeInStateLocked(s)
}

// evict is closeInState for a connection that is closed in favour of another. One that has sent nothing,
// not even, as far as the system knows, just now, has no response on its way: its slot is free at once.
func (c *Conn) evict(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == fresh && socketoption.Readable(c.Conn) || !c.closeInStateLocked(s) {
		return false
	}
	c.evictedUnused = s == fresh
	return true
}

// closeInStateLocked is closeInState for a caller that holds the lock.
func (c *Conn) closeInStateLocked(s state) bool {
	if c.state != s {
		return false
	}
	c.state = closed
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Unix(1, 0)))
	return true
}

// evictIdle closes the connection that has been idle longest or, with none idle, the one that has sent
// nothing for longest since it is new. It returns false if there is none.
func (l *Listener) evictIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if evictOldest(l.idle, idle, now) {
		l.fullSince = now // its client has lingerTime
		return true
	}
	return evictOldest(l.fresh, fresh, now.Add(-minFreshTime))
}

// evictOldest closes the connection that has been in a state for longest, since a time or before.
func evictOldest(conns map[net.Conn]time.Time, s state, latest time.Time) bool {
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
		if oldest.(*Conn).evict(s) {
			return true
		}
	}
	return false
}

// closeAllIdle closes all connections that are idle, now or later, and no other.
func (l *Listener) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.idle {
		c.(*Conn).closeInState(idle)
	}
	clear(l.idle)
}

// CloseNew closes all connections on which nothing has come yet.
func (l *Listener) CloseNew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.fresh {
		c.(*Conn).closeInState(fresh)
	}
}
