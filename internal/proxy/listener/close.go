package listener

import (
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
	"wrenspread/internal/socketoption"
)

// closeUnused closes the connection if it is new or idle and no byte of a request has come, and reports
// whether it did. All closes that the proxy begins without a response pass here.
//
// What the proxy has not read yet may have come all the same: its reads wait for a pause, for the processor
// or for another goroutine. So the system is asked, and the client is notified in the next call. A request
// that comes between the two calls crosses the close unread, and its client sends it again. A read takes
// bytes only after it has made the connection active (awaitRequest), so none can be taken and then dropped.
func (c *Conn) closeUnused(reason CloseReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeUnusedLocked(reason)
}

// closeUnusedLocked is closeUnused for a caller that holds c.mu.
func (c *Conn) closeUnusedLocked(reason CloseReason) bool {
	if c.state != fresh && c.state != idle {
		return false
	}
	if c.hasUnread() {
		c.listener.counts.Withheld.Add(1)
		return false
	}
	c.endSending()
	c.closedAt = time.Now()
	c.closedNew = c.state == fresh
	c.closeReason = reason
	c.state = closed
	c.listener.counts.Closes[reason].Add(1)
	besteffort.SocketOption(c.Conn.SetReadDeadline(abort)) // the HTTP server closes the connection
	return true
}

// hasUnread reports whether bytes have come that have not been read.
func (c *Conn) hasUnread() bool {
	unread, _ := socketoption.Unread(c.Conn) // 0 if it is not known
	return unread > 0
}

// endSending ends the sending side of the proxy, once. It returns false if that can't be done.
func (c *Conn) endSending() bool {
	if c.sendingEnded {
		return true
	}
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	c.sendingEnded = ok && writeCloser.CloseWrite() == nil
	return c.sendingEnded
}

// Close closes the connection and then frees its slot. Closing a socket with unread bytes sends a reset,
// which may destroy a response on its way to the client. So Close first ends the sending side, and waits up
// to lingerTimeout for the client to close.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.state = closed
	ended := c.readError != nil && !c.hasUnreadBytes || c.closedNew // no response is on its way
	reset := c.resetOnClose
	if c.closedNew && c.hasUnread() {
		c.noteCrossing(nil)
	}
	c.mu.Unlock()
	c.memory.ShrinkTo(memory.Connection)
	switch {
	case reset:
		if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
			besteffort.SocketOption(tcp.SetLinger(0))
		}
	case !ended && !c.listener.skipLinger.Load():
		c.linger()
	}
	err := c.Conn.Close()
	c.release()
	return err
}

// ResetOnClose makes Close reset the connection. A client that takes the end of the connection for the end of
// its response can tell then that the response is not complete.
func (c *Conn) ResetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = true
}
