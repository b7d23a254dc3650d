package accept

import (
	"net"
	"net/http"
	"time"
)

// What a connection is at. A client whose connection ends between two requests
// sends the one that crosses this anew; one of whose request a byte has been
// read is owed an answer. A new connection is busy, as its first request is not
// sent anew.
const (
	busy    = iota
	resting // nothing of a next request has been read
	left    // closed while it rested: what is read later is not taken
)

// Note follows which connections rest, for http.Server's ConnState. The server
// calls it while it does not read.
func (l *Listener) Note(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	if s != http.StateIdle || !c.(*Conn).rest() {
		return
	}
	if l.ending {
		c.(*Conn).leave()
		return
	}
	l.idle[c] = time.Now()
}

// rest tells whether nothing of a next request is here yet.
func (c *Conn) rest() bool {
	if !c.framing.between() || len(c.behind) > 0 {
		return false
	}
	c.turn.Store(resting)
	return true
}

// leave closes a connection that rests.
func (c *Conn) leave() bool {
	if !c.turn.CompareAndSwap(resting, left) {
		return false
	}
	c.Close()
	return true
}

// evict closes the connection that has rested longest.
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
		if oldest.(*Conn).leave() {
			return
		}
	}
}

// CloseIdle closes all connections that rest, now or later, and no other.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
	for c := range l.idle {
		c.(*Conn).leave()
	}
	clear(l.idle)
}
