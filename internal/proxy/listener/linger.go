package listener

import (
	"time"

	"wrenspread/internal/besteffort"
)

const (
	// lingerTimeout is how long Close waits for the client to close its side: one round trip to any place on
	// Earth, and the time that a busy client needs.
	lingerTimeout = 500 * time.Millisecond
	// minLingerTime is how long Close waits at least, also if others need the slot.
	minLingerTime = 100 * time.Millisecond
	// maxLingerBytes bounds the bytes that Close reads and discards while it waits: a few of the longest
	// requests. A client that sends more does not read its response.
	maxLingerBytes = 256 << 10
)

// linger ends the sending side of the proxy, and discards what the client sends until the client ends its
// side, lingerTimeout has passed or maxLingerBytes have come.
func (c *Conn) linger() {
	c.mu.Lock()
	ended := c.endSending()
	c.mu.Unlock()
	if !ended {
		return
	}
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)))
	c.listener.beginLinger(c)
	defer c.listener.endLinger(c)
	buf := make([]byte, 1<<10)
	for received := 0; received < maxLingerBytes; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		if received == 0 && !c.closedAt.IsZero() {
			c.noteCrossing(buf[:n])
		}
		received += n
	}
}

// beginLinger notes that a connection waits for its client's end.
func (l *Listener) beginLinger(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linger[c] = time.Now()
}

func (l *Listener) endLinger(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.linger, c)
}

// endOldestLinger ends the longest wait for a client's end, if it began at latest or earlier. It reports
// whether there was one.
func (l *Listener) endOldestLinger(latest time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *Conn
	for c, since := range l.linger {
		if !since.After(latest) && (oldest == nil || since.Before(l.linger[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(l.linger, oldest)
	besteffort.SocketOption(oldest.Conn.SetReadDeadline(abort))
	return true
}
