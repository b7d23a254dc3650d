package accept

import (
	"net"
	"net/http"
	"time"
)

// state is a connection's, in net/http's terms. A client whose connection
// ends between two requests sends the one that crosses this anew; one of whose
// request a byte has been read is owed an answer. A new connection is active,
// as its first request is not sent anew.
type state int

const (
	active state = iota
	idle         // nothing of a next request has been read
	closed       // while it was idle: what is read later is not taken
)

// Note follows which connections are idle, for http.Server's ConnState. The server
// calls it while it does not read.
func (l *Listener) Note(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	if s != http.StateIdle || !c.(*Conn).goIdle() {
		return
	}
	if l.ending {
		c.(*Conn).closeIdle()
		return
	}
	l.idle[c] = time.Now()
}

// goIdle marks a connection as idle, unless something of a next request is here.
func (c *Conn) goIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
	if !c.framing.between() || len(c.behind) > 0 {
		return false
	}
	c.state = idle
	return true
}

// closeIdle closes a connection that is idle: the server's read ends, upon
// which the server closes it.
func (c *Conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != idle {
		return false
	}
	c.state = closed
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// evict closes the connection that has been idle longest.
func (l *Listener) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		var oldest net.Conn
		for c, since := range l.idle {
			if oldest == nil || since.Before(l.idle[oldest]) {
				oldest = c
			}
		}
		delete(l.idle, oldest)
		if oldest.(*Conn).closeIdle() {
			return
		}
	}
}

// closeAllIdle closes all connections that are idle, now or later, and no other.
func (l *Listener) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
	for c := range l.idle {
		c.(*Conn).closeIdle()
	}
	clear(l.idle)
}
