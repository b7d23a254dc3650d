package listener

import (
	"errors"
	"io"
	"os"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/socketoption"
)

// receive reads what the client has sent. It returns io.EOF if the proxy has closed the connection meanwhile.
func (c *Conn) receive(p []byte) (int, error) {
	c.arrival.reading = true
	n, err := c.readSocket(p)
	c.arrival.receive(n)
	switch {
	case c.ended != nil && c.state != closed:
		return 0, c.endedError()
	case n == 0 && errors.Is(err, os.ErrDeadlineExceeded):
		return 0, c.timeoutError(err)
	case n == 0 && err != nil:
		c.readError = err
		return 0, err
	case c.state == closed:
		return 0, io.EOF // any other error makes the HTTP server answer 400
	}
	c.state = active
	return n, nil
}

// readSocket waits until something has come, and reads it. What has come is read even if the deadline has
// passed: the proxy may have been kept from reading it in time.
func (c *Conn) readSocket(p []byte) (int, error) {
	err := c.awaitRequest()
	n := 0
	if err == nil {
		n, err = c.readUnlocked(p)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.mayReadOn() || !c.hasUnread() {
		return n, err
	}
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Time{}))
	defer func() { besteffort.SocketOption(c.Conn.SetReadDeadline(abort)) }()
	return c.readUnlocked(p)
}

// readUnlocked reads from the socket. The caller holds c.mu, which is not held during the read.
func (c *Conn) readUnlocked(p []byte) (int, error) {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Read(p)
}

// mayReadOn reports whether a read may go on after its deadline: nothing but the time has ended it.
func (c *Conn) mayReadOn() bool { return c.state == active && c.ended == nil && !c.aborted }

// awaitRequest waits until a new or idle connection has something to read, and makes it active before that
// is read. If nothing comes in time, it closes the connection.
func (c *Conn) awaitRequest() error {
	if c.raw == nil || c.state != fresh && c.state != idle {
		return nil
	}
	c.mu.Unlock()
	err := socketoption.AwaitReadable(c.raw)
	c.mu.Lock()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if c.state == closed || timedOut && c.closeUnusedLocked(CloseIdle) {
		return err
	}
	c.state = active
	return err
}
