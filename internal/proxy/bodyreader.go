package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
	"wrenspread/internal/proxy/memory"
)

const (
	bodyStartGrace = 400 * time.Millisecond // for a body to begin, if the head took all of its time
	minBodyRate    = 32 << 10               // bytes per second: half of the rate of the slowest client
	minBodyBuffer  = 2 << 10                // bytes of the buffer in which a body is read at first

	// arrivalCheckInterval is the time between two checks of whether the last byte of a request has come that
	// the proxy is not reading.
	arrivalCheckInterval = 50 * time.Millisecond
	// memoryWaitFraction is the fraction of its time for which a request waits for memory, so that the rest
	// is left for the response or for a retry by the client.
	memoryWaitFraction = 0.5
)

// bodyReader reads a request's body and enforces its rate: the body must come at minBodyRate or faster, but
// has at least readTimeout from the first byte of the request. The time in which the proxy does not read is
// excluded.
type bodyReader struct {
	body       io.Reader
	conn       *listener.Conn // nil if not known
	stopped    atomic.Bool
	control    *http.ResponseController
	startedAt  time.Time // when the first byte of the request came
	headEnd    time.Time // when its head ended, plus the time since then in which the proxy did not read
	lastReadAt time.Time // when the last read returned
	received   int64     // bytes of the body
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	now := time.Now()
	b := &bodyReader{
		body:       r.Body,
		control:    http.NewResponseController(w),
		startedAt:  now,
		headEnd:    now,
		lastReadAt: now,
	}
	if c := connOf(r); c != nil {
		b.conn = c
		b.startedAt = c.StartedAt()
	}
	return b
}

// progressDeadline returns the time by which the next part of the body must have come.
func (b *bodyReader) progressDeadline() time.Time {
	deadline := b.headEnd.Add(bodyStartGrace + time.Duration(b.received)*time.Second/minBodyRate)
	if earliest := b.startedAt.Add(readTimeout); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// Read reads the next part of the body, until progressDeadline.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.headEnd = b.headEnd.Add(time.Since(b.lastReadAt))
	besteffort.SocketOption(b.control.SetReadDeadline(b.progressDeadline()))
	if b.stopped.Load() {
		besteffort.SocketOption(b.control.SetReadDeadline(time.Unix(1, 0)))
	}
	n, err := b.body.Read(p)
	b.received += int64(n)
	b.lastReadAt = time.Now()
	if err == io.EOF { // the HTTP server reads on, to detect that the client leaves
		besteffort.SocketOption(b.control.SetReadDeadline(time.Time{}))
	}
	return n, err
}

// stop ends a read in progress and all later ones.
func (b *bodyReader) stop() {
	b.stopped.Store(true)
	besteffort.SocketOption(b.control.SetReadDeadline(time.Unix(1, 0)))
}

// connOf returns the connection on which a request came, or nil if it is not known.
func connOf(r *http.Request) *listener.Conn {
	c, _ := r.Context().Value(connKey{}).(*listener.Conn)
	return c
}

// lastByteAt returns when the last byte of a request had reached this machine that has been read completely.
// The request's deadline runs from then on, whatever kept the proxy from reading it earlier.
func lastByteAt(c *listener.Conn) time.Time {
	if c == nil {
		return time.Now()
	}
	if arrival := c.Arrival(); arrival.Complete {
		return arrival.At
	}
	return c.ReceivedAt()
}

// hasWaited reports whether the last byte of the request has, or may have, waited for some time on this
// machine.
func (b *bodyReader) hasWaited(wait time.Duration) bool {
	if b.conn == nil {
		return false
	}
	arrival := b.conn.Arrival()
	return !arrival.At.IsZero() && time.Since(arrival.At) >= wait
}

// errTooLong means that a body has more than maxStreamedBody bytes.
var errTooLong = errors.New("body exceeds the size limit")

// readStart reads a body to its end, or up to maxBufferedBody bytes; hasMore reports that the body is longer
// and has to be streamed. length is the stated length of the body, or negative. timeout is the time in which
// the client wants its response. Memory is reserved before it is used, as the body comes.
func (b *bodyReader) readStart(
	ctx context.Context,
	length int64,
	timeout time.Duration,
	reservation *memory.Reservation,
) (start []byte, hasMore bool, err error) {
	tooLate := func() bool { return b.hasWaited(maxMemoryWait(timeout)) }
	if length < 0 || length > maxBufferedBody {
		reservation.ExpectLong()
	} else {
		reservation.Expect(length + memory.Forwarding(int(length)))
	}
	for {
		if len(start) == cap(start) {
			size := nextBufferSize(cap(start), length)
			if err := reservation.Grow(ctx, int64(size-cap(start)), tooLate); err != nil {
				return nil, false, err
			}
			start = append(make([]byte, 0, size), start...)
		}
		n, err := b.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		switch {
		case errors.Is(err, io.EOF):
			return start, false, reservation.Grow(ctx, memory.Forwarding(len(start)), tooLate)
		case err != nil:
			return nil, false, err
		case len(start) > maxBufferedBody:
			return start, true, reservation.Grow(ctx, memory.Forwarding(0)+memory.LongBody, tooLate)
		}
	}
}

// maxMemoryWait returns how long a request waits for memory whose client wants its response in a time.
func maxMemoryWait(timeout time.Duration) time.Duration {
	return time.Duration(memoryWaitFraction * float64(timeout))
}

// nextBufferSize returns the size to which the buffer of a body grows: twice the present size, but not more
// than is needed to see the end of a body of the stated length, or that a body is too long to be buffered.
func nextBufferSize(size int, length int64) int {
	next := max(minBodyBuffer, 2*size)
	if length >= 0 && length < int64(next) {
		next = int(length) + 1
	}
	return min(next, maxBufferedBody+1)
}
