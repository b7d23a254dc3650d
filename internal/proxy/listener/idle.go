package listener

import (
	"net"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/socketoption"
)

// state is the state of a connection, in the terms of net/http. The proxy closes only idle and new
// connections on its own initiative. If a client's request crosses the close of an idle connection, the
// client sends it again; but a client sends the first request on a new connection only once, so new
// connections are closed last. Once a byte of a request has been read, the client must get a response.
type state int

const (
	fresh  state = iota // no byte has been read
	active              // a request is being received or served
	idle                // no byte of a next request has been read
	closed              // bytes that come after the close are discarded
)

// TrackState tracks which connections are new or idle, for the ConnState callback of http.Server. The
// server calls it while it does not read from the connection.
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
	l.full.Store(false) // this connection can be evicted
}

// markIdle marks a connection as idle and returns true, unless bytes of a next request have come.
func (c *Conn) markIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
	c.isStreamed = false
	c.releaseRequestMemory()
	if !c.framing.isBetweenRequests() || len(c.pipelined) > 0 {
		return false
	}
	c.state = idle
	return true
}

// closeInState closes a connection if it is in state s, and reports whether it was. In s (idle or fresh) the
// client awaits no response. The expired deadline ends the read of the HTTP server, which then closes the
// connection.
func (c *Conn) closeInState(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeInStateLocked(s)
}

// evict is closeInState for a connection that is closed to make its slot free for another. For a new
// connection on which nothing has come, as far as the kernel knows, it notes that no response is on its way,
// so that the slot is free at once.
func (c *Conn) evict(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == fresh && socketoption.Readable(c.Conn) || !c.closeInStateLocked(s) {
		return false
	}
	c.evictedUnused = s == fresh
	return true
}

// closeInStateLocked is closeInState for a caller that holds c.mu.
func (c *Conn) closeInStateLocked(s state) bool {
	if c.state != s {
		return false
	}
	c.state = closed
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Unix(1, 0)))
	return true
}

// closeAllIdle closes all connections that are idle now, and later each connection that goes idle.
func (l *Listener) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.idle {
		c.(*Conn).closeInState(idle)
	}
	clear(l.idle)
}

// CloseNew closes all connections on which no byte has come yet.
func (l *Listener) CloseNew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.fresh {
		c.(*Conn).closeInState(fresh)
	}
}
