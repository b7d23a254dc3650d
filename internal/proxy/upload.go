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
)

// upload is the remainder of a body that is too long to be buffered. It is passed from the client to a
// backend as fast as the backend reads it.
type upload struct {
	length          int64 // of the complete body; negative if not stated
	pipe            *io.PipeReader
	reader          *bodyReader
	completedAt     atomic.Int64  // Unix nanoseconds at which the last byte was sent; 0 before
	consumed        atomic.Bool   // an attempt has read some of it, so no other attempt can send it
	clientGone      func() bool   // reports whether the client has left
	clientGoneAtEnd atomic.Bool   // the client had left when the last byte was to be sent
	readingEnded    chan struct{} // closed when nothing more is read from the client
	err             error         // why reading from the client failed; valid once readingEnded is closed
	onComplete      func(wait time.Duration)
	responseTimeout time.Duration // from the arrival of the last byte on
	deadline        atomic.Int64  // of the request, in Unix nanoseconds; 0 until the last byte has come

	mu                   sync.Mutex
	countedAsOutstanding bool // countStart has counted the request
	countEnded           bool // countEnd has been called
}

// startDeadline sets the deadline of a request whose last byte came at a time, unless it has been set.
func (u *upload) startDeadline(lastByteAt time.Time) {
	u.deadline.CompareAndSwap(0, lastByteAt.Add(u.responseTimeout).UnixNano())
}

// hasDeadline reports whether the deadline of the request runs.
func (u *upload) hasDeadline() bool { return u.deadline.Load() != 0 }

// remaining returns how long the client still waits for the response. Before the last byte has come, that is
// the full time.
func (u *upload) remaining() time.Duration {
	if deadline := u.deadline.Load(); deadline != 0 {
		return time.Until(time.Unix(0, deadline))
	}
	return u.responseTimeout
}

// pump copies the remaining body to w, as fast as attempts read the upload. It fails if the remaining body
// has more than limit bytes.
func (u *upload) pump(limit int64, w *io.PipeWriter) {
	defer close(u.readingEnded)
	n, err := io.CopyBuffer(struct{ io.Writer }{w}, io.LimitReader(u.reader, limit+1), make([]byte, copyBufSize))
	switch {
	case err == nil && n > limit:
		err = errTooLong
	case errors.Is(err, io.ErrClosedPipe): // no attempt reads any more
		besteffort.Drained(
			io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(u.reader, limit), make([]byte, copyBufSize)),
		)
		return
	}
	u.err = err
	w.CloseWithError(err)
}

// attemptUpload is the part of an upload that one attempt reads, until ctx ends.
type attemptUpload struct {
	ctx context.Context
	*upload
	remaining int64 // bytes until the end of the body; negative if not stated
}

// Read reads the next bytes. It sets consumed before it checks ctx: whoever ends ctx and afterwards finds
// consumed unset can rely on nothing being read. A backend begins to serve at the last byte, so the last byte
// is withheld if the client has left.
func (u *attemptUpload) Read(p []byte) (int, error) {
	if u.ctx.Err() == nil {
		u.consumed.Store(true)
	}
	if err := u.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := u.pipe.Read(p)
	u.remaining -= int64(n)
	if (u.remaining == 0 || errors.Is(err, io.EOF)) && u.clientGone() {
		u.clientGoneAtEnd.Store(true)
		return 0, errClientGone
	}
	return n, err
}

// close stops reading from the client, if that has not ended.
func (u *upload) close() {
	select {
	case <-u.readingEnded:
	default:
		u.reader.stop()
		u.drain()
	}
}

// drain reads and discards what the client still sends, and returns at the end of the body. A client that is
// cut off while it sends might never read the response that has been sent to it.
func (u *upload) drain() {
	besteffort.Close(u.pipe)
	<-u.readingEnded
}

// clientFailed reports whether the client has broken off the upload.
func (u *upload) clientFailed() bool {
	select {
	case <-u.readingEnded:
		return u.err != nil || u.clientGoneAtEnd.Load()
	default:
		return u.clientGoneAtEnd.Load()
	}
}

// countStart counts the request as outstanding, unless it has ended. It is called when the last byte has been
// sent.
func (u *upload) countStart(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.countedAsOutstanding && !u.countEnded {
		u.countedAsOutstanding = true
		outstanding.Add(1)
	}
}

// countEnd counts the request as ended: no longer as outstanding, if it was.
func (u *upload) countEnd(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.countEnded = true; u.countedAsOutstanding {
		outstanding.Add(-1)
	}
}

// startUpload starts to read the remainder of a body of which start bytes have been read. wait is the time
// for the response, from the arrival of the last byte on.
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
