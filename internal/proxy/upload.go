package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
)

const (
	bodyStartGrace = 400 * time.Millisecond // for a body to begin, behind a head that took all its time
	minBodyRate    = 32 << 10               // bytes a second, half of what the slowest client sends
)

// bodyReader reads a request's body in the time that is its due: as long as it
// comes at half of the least rate that clients have, and not under readTime
// from the request's first byte. Time in which nobody reads does not count.
type bodyReader struct {
	body       io.Reader
	stopped    atomic.Bool
	control    *http.ResponseController
	startedAt  time.Time // the request's first byte
	headEnd    time.Time // its last one of the head, moved on by time not spent in reading
	lastReadAt time.Time // from the last read
	received   int64
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
	if c, ok := r.Context().Value(connKey{}).(*listener.Conn); ok {
		b.startedAt = c.StartedAt()
	}
	return b
}

// progressDeadline is when the next part of the body must have come.
func (b *bodyReader) progressDeadline() time.Time {
	deadline := b.headEnd.Add(bodyStartGrace + time.Duration(b.received)*time.Second/minBodyRate)
	if earliest := b.startedAt.Add(readTimeout); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.headEnd = b.headEnd.Add(time.Since(b.lastReadAt))
	besteffort.SocketOption(b.control.SetReadDeadline(b.progressDeadline()))
	if b.stopped.Load() {
		besteffort.SocketOption(b.control.SetReadDeadline(time.Unix(1, 0)))
	}
	n, err := b.body.Read(p)
	b.received += int64(n)
	b.lastReadAt = time.Now()
	if err == io.EOF { // the server goes on reading, to hear whether the client leaves
		besteffort.SocketOption(b.control.SetReadDeadline(time.Time{}))
	}
	return n, err
}

// stop ends a read under way and all later ones.
func (b *bodyReader) stop() {
	b.stopped.Store(true)
	besteffort.SocketOption(b.control.SetReadDeadline(time.Unix(1, 0)))
}

// upload is what is still to come of a body too long to be kept: it goes from
// the client to a server as that takes it.
type upload struct {
	length          int64 // of the whole body; negative: not stated
	pipe            *io.PipeReader
	reader          *bodyReader
	completedAt     atomic.Int64  // when its last byte went out; 0: not yet
	consumed        atomic.Bool   // some of it has been, so that no other attempt can have it
	clientGone      func() bool   // reports whether the client has left
	clientGoneAtEnd atomic.Bool   // it had when its last byte was to go out
	readingEnded    chan struct{} // closed when nothing more is read from the client
	err             error         // how reading from the client failed, once ended is closed
	onComplete      func(wait time.Duration)
	responseTimeout time.Duration // from its last byte on

	mu                   sync.Mutex
	countedAsOutstanding bool // it counts as taken from its client
	countEnded           bool // and as ended
}

// pump reads a body to its end, as fast as the upload is taken.
func (u *upload) pump(maxBytes int64, w *io.PipeWriter) {
	defer close(u.readingEnded)
	n, err := io.CopyBuffer(struct{ io.Writer }{w}, io.LimitReader(u.reader, maxBytes+1), make([]byte, copyBufferSize))
	switch {
	case err == nil && n > maxBytes:
		err = errTooLong
	case errors.Is(err, io.ErrClosedPipe): // nobody wants the rest
		besteffort.Drained(
			io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(u.reader, maxBytes), make([]byte, copyBufferSize)),
		)
		return
	}
	u.err = err
	w.CloseWithError(err)
}

// attemptUpload is an upload as an attempt reads it until ctx ends.
type attemptUpload struct {
	ctx context.Context
	*upload
	remaining int64 // bytes until its end; negative: not stated
}

// Read takes some of it. Whoever ends ctx before it asks whether some has been
// taken hears of it, or no more will be. A server begins at the last byte, so
// none gets that of a client that has left.
func (t *attemptUpload) Read(p []byte) (int, error) {
	if t.ctx.Err() == nil {
		t.consumed.Store(true)
	}
	if err := t.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := t.pipe.Read(p)
	t.remaining -= int64(n)
	if (t.remaining == 0 || errors.Is(err, io.EOF)) && t.clientGone() {
		t.clientGoneAtEnd.Store(true)
		return 0, errClientGone
	}
	return n, err
}

// close ends the reading from the client, if that goes on.
func (u *upload) close() {
	select {
	case <-u.readingEnded:
	default:
		u.reader.stop()
		u.drain()
	}
}

// drain reads what the client has still to send, at the rate that is its due,
// and returns at its end. A client that is cut off while it sends may never
// read the answer that waits for it.
func (u *upload) drain() {
	besteffort.Close(u.pipe)
	<-u.readingEnded
}

// clientFailed tells that the client has broken off.
func (u *upload) clientFailed() bool {
	select {
	case <-u.readingEnded:
		return u.err != nil || u.clientGoneAtEnd.Load()
	default:
		return u.clientGoneAtEnd.Load()
	}
}

// countStart counts the request as taken, once its last byte has gone out.
func (u *upload) countStart(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.countedAsOutstanding && !u.countEnded {
		u.countedAsOutstanding = true
		outstanding.Add(1)
	}
}

// countEnd counts it as ended.
func (u *upload) countEnd(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.countEnded = true; u.countedAsOutstanding {
		outstanding.Add(-1)
	}
}

// errTooLong says that a message is longer than any may be.
var errTooLong = errors.New("it is too long")

// readStart reads a body to its end, or to the size that is kept; rest tells
// that there is more.
func readStart(
	ctx context.Context,
	body io.Reader,
	reserveMemory func(context.Context) error,
) (start []byte, rest bool, err error) {
	if start, err = io.ReadAll(io.LimitReader(body, maxSmallBody+1)); err != nil || len(start) <= maxSmallBody {
		return start, false, err
	}
	if err = reserveMemory(ctx); err != nil {
		return nil, false, err
	}
	more, err := io.ReadAll(io.LimitReader(body, maxBufferedBody-maxSmallBody))
	start = append(start, more...)
	return start, len(start) > maxBufferedBody, err
}

const (
	maxSmallBody  = 16 << 10
	messageMemory = maxBufferedBody + 2*copyBufferSize
	memoryWait    = 5 * time.Second // to wait for some
)

// startUpload goes on with a body whose start has been read.
func startUpload(r *http.Request, body *bodyReader, start int, wait time.Duration) *upload {
	read, write := io.Pipe()
	u := &upload{
		length:          r.ContentLength,
		pipe:            read,
		reader:          body,
		responseTimeout: wait,
		readingEnded:    make(chan struct{}),
		onComplete:      func(time.Duration) {},
		clientGone:      func() bool { return false },
	}
	go u.pump(maxStreamedBody-int64(start), write)
	return u
}
