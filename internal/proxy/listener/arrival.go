package listener

import (
	"time"

	"wrenspread/internal/socketoption"
)

const (
	// maxPipelinedParts and maxBacklogMarks bound what is stored of one connection. Beyond that, pipelined bytes
	// count from earlier than they came, and bytes of a backlog from later, at most until they are read.
	maxPipelinedParts = 64
	maxBacklogMarks   = 64
	// maxSendBuffer is the number of bytes that a client's system takes from the client ahead of this machine.
	maxSendBuffer = 4 << 20
)

// Arrival tells when the last byte of a request reached this machine, read or not: from then on its client
// waits for the response.
type Arrival struct {
	// At is when the last byte came, or when it may have come. It is zero if the last byte has not come.
	At time.Time
	// Complete reports that the last byte has come. Without it, the end of the request is not known, but the
	// proxy has left bytes unread since At.
	Complete bool
}

// arrivalTracker tracks the arrival of the bytes of a connection. A request of stated length is complete when
// as many bytes can be read as it still lacks. Where a chunked request ends is not known before it is read,
// so the time counts for which its oldest unread byte has waited.
type arrivalTracker struct {
	completeAt  time.Time       // when the last byte of the current request came; zero if it hasn't
	reading     bool            // a read waits for the client
	receivedAt  time.Time       // when the bytes that were read last had come
	received    int64           // bytes that have been read from the client
	blockedAt   time.Time       // since when the client may be kept from writing; zero: it is not
	backlog     []backlogMark   // of a chunked request, oldest first
	pipelinedAt []pipelinedPart // when the pipelined bytes came, in their order
}

// backlogMark says that at a time all bytes up to an end had come, counted from the start of the connection.
type backlogMark struct {
	at  time.Time
	end int64
}

// pipelinedPart says when a number of pipelined bytes came.
type pipelinedPart struct {
	at    time.Time
	bytes int
}

// begin starts to track the next request.
func (t *arrivalTracker) begin() {
	t.completeAt = time.Time{}
	t.blockedAt = time.Time{}
	t.backlog = t.backlog[:0]
}

// markBlocked notes whether the client may be kept from writing, as it has no room for more: from then on it
// may have written its last byte already, which its own system holds. toCome is what is still to reach this
// machine.
func (t *arrivalTracker) markBlocked(unread, toCome int64, now time.Time) {
	switch {
	case unread < maxVisibleBacklog || toCome > maxSendBuffer:
		t.blockedAt = time.Time{}
	case t.blockedAt.IsZero():
		t.blockedAt = now
	}
}

// endChunked notes that the HTTP server has read a chunked request to its end.
func (t *arrivalTracker) endChunked() {
	if t.completeAt.IsZero() {
		t.completeAt = t.receivedAt
	}
}

// appendPipelined notes when pipelined bytes came.
func (t *arrivalTracker) appendPipelined(bytes int, at time.Time) {
	if n := len(t.pipelinedAt); n == maxPipelinedParts {
		t.pipelinedAt[n-1].bytes += bytes
		return
	}
	t.pipelinedAt = append(t.pipelinedAt, pipelinedPart{at, bytes})
}

// lastPipelined returns when the last of the first n pipelined bytes came.
func (t *arrivalTracker) lastPipelined(n int) time.Time {
	for _, part := range t.pipelinedAt {
		if n -= part.bytes; n <= 0 {
			return part.at
		}
	}
	return time.Now()
}

// removePipelined forgets the first n pipelined bytes.
func (t *arrivalTracker) removePipelined(n int) {
	for len(t.pipelinedAt) > 0 && n >= t.pipelinedAt[0].bytes {
		n -= t.pipelinedAt[0].bytes
		t.pipelinedAt = t.pipelinedAt[1:]
	}
	if len(t.pipelinedAt) > 0 {
		t.pipelinedAt[0].bytes -= n
	}
}

// receive notes that bytes have been read.
func (t *arrivalTracker) receive(bytes int) {
	t.reading = false
	t.received += int64(bytes)
	t.receivedAt = time.Now()
	for _, mark := range t.backlog {
		if mark.end >= t.received {
			t.receivedAt = mark.at
			return
		}
	}
}

// markBacklog notes that unread bytes can be read at present, and returns since when the oldest of them has
// waited, or the zero time if there are none.
func (t *arrivalTracker) markBacklog(unread int64, now time.Time) time.Time {
	for len(t.backlog) > 0 && t.backlog[0].end <= t.received {
		t.backlog = t.backlog[1:]
	}
	end, last := t.received+unread, t.received
	if n := len(t.backlog); n > 0 {
		last = t.backlog[n-1].end
	}
	if end > last && len(t.backlog) < maxBacklogMarks {
		t.backlog = append(t.backlog, backlogMark{now, end})
	}
	if len(t.backlog) == 0 {
		return time.Time{}
	}
	return t.backlog[0].at
}

// ReceivedAt returns when the bytes that were read last had come.
func (c *Conn) ReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrival.receivedAt
}

// Arrival tells when the last byte of the current request came. It is exact to the interval in which it is
// called while the proxy does not read.
func (c *Conn) Arrival() Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.arrival
	if !t.completeAt.IsZero() {
		return Arrival{At: t.completeAt, Complete: true}
	}
	if t.reading { // all that has come has been read
		t.backlog = t.backlog[:0]
		t.blockedAt = time.Time{}
		return Arrival{}
	}
	now := time.Now()
	unread, known := socketoption.Unread(c.Conn)
	switch {
	case !known:
		return Arrival{At: t.receivedAt}
	case !c.framing.chunked && unread < c.framing.bodyRemaining:
		t.markBlocked(unread, c.framing.bodyRemaining-unread, now)
		return Arrival{At: t.blockedAt}
	case !c.framing.chunked:
		t.completeAt = now
		return Arrival{At: now, Complete: true}
	}
	waitingSince := t.markBacklog(unread, now)
	if t.markBlocked(unread, 0, now); !t.blockedAt.IsZero() && t.blockedAt.Before(waitingSince) {
		waitingSince = t.blockedAt
	}
	if !waitingSince.IsZero() {
		return Arrival{At: waitingSince}
	}
	return Arrival{At: t.receivedAt} // the end may be among the bytes that were read last
}
