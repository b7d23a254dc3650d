package listener

import (
	"bytes"
	"strings"
	"sync/atomic"
	"time"
)

// CloseReason is why the proxy closes a client's connection without a response.
type CloseReason int

// Reasons for closes without a response.
const (
	CloseEvicted CloseReason = iota // another client needs its slot or its memory
	CloseDrained                    // the process ends
	CloseIdle                       // nothing has come in time
	CloseFull                       // it was accepted while no slot was free
	closeReasonCount
)

func (r CloseReason) String() string { return [...]string{"evicted", "drained", "idle", "full"}[r] }

// Counts counts what happened to clients' connections since the start of the process.
type Counts struct {
	Closes   [closeReasonCount]atomic.Int64 // without a response, by CloseReason
	Withheld atomic.Int64                   // closes that were not made, as a request had come
	Crossed  atomic.Int64                   // connections on which bytes came behind such a close

	EndedForMemory  atomic.Int64 // requests that were not complete and were answered for want of memory
	EndedForDrain   atomic.Int64 // the same, as the process ends
	EndedForTimeout atomic.Int64 // the same, as their heads did not come in time
}

// Crossing describes a request that came when its connection had been closed without a response.
type Crossing struct {
	Reason    CloseReason
	Client    string        // its address
	After     time.Duration // from the close to the read of the first bytes, which were discarded
	RequestID string        // if it was among the first bytes
}

// noteCrossing counts and reports a crossing. first are the first bytes that came behind the close.
func (c *Conn) noteCrossing(first []byte) {
	n := c.listener.counts.Crossed.Add(1)
	if c.listener.OnCrossing != nil {
		c.listener.OnCrossing(n, Crossing{
			Reason:    c.closeReason,
			Client:    c.RemoteAddr().String(),
			After:     time.Since(c.closedAt),
			RequestID: requestID(first),
		})
	}
}

// requestID returns the X-Request-Id of the head of a request, as far as it has come.
func requestID(head []byte) string {
	for line := range bytes.Lines(head) {
		if name, value, ok := strings.Cut(string(line), ":"); ok && strings.EqualFold(name, "X-Request-Id") {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
