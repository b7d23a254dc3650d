package listener

import (
	"net"
	"net/http"
	"time"
)

// state is the state of a connection, in the terms of net/http. The proxy closes only idle and new
// connections on its own initiative (closeUnused). If a client's request crosses the close of an idle
// connection, the client sends it again; but a client sends the first request on a new connection only once,
// so new connections are closed last.
type state int

const (
	fresh  state = iota // no byte has been read
	active              // bytes of a request can be read, are being read, or the request is being served
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
		c.(*Conn).closeUnused(CloseDrained)
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

// closeAllIdle closes all connections that are idle now, and later each connection that goes idle.
func (l *Listener) closeAllIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.idle {
		c.(*Conn).closeUnused(CloseDrained)
	}
	clear(l.idle)
}

// CloseNew closes all connections on which no byte has come yet.
func (l *Listener) CloseNew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.fresh {
		c.(*Conn).closeUnused(CloseDrained)
	}
}
