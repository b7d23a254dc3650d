package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/proxy/listener"
)

const (
	bodyGrace = 400 * time.Millisecond // for a body to begin, behind a head that took all its time
	bodyRate  = 32 << 10               // bytes a second, half of what the slowest client sends
)

// bodyReader reads a request's body in the time that is its due: as long as it
// comes at half of the least rate that clients have, and not under readTime
// from the request's first byte. Time in which nobody reads does not count.
type bodyReader struct {
	body     io.Reader
	stopped  atomic.Bool
	control  *http.ResponseController
	began    time.Time // the request's first byte
	head     time.Time // its last one of the head, moved on by time not spent in reading
	returned time.Time // from the last read
	got      int64
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	now := time.Now()
	b := &bodyReader{body: r.Body, control: http.NewResponseController(w), began: now, head: now, returned: now}
	if c, ok := r.Context().Value(connKey{}).(*listener.Conn); ok {
		b.began = c.Began()
	}
	return b
}

// by is when the next part of the body must have come.
func (b *bodyReader) by() time.Time {
	by := b.head.Add(bodyGrace + time.Duration(b.got)*time.Second/bodyRate)
	if least := b.began.Add(readTime); by.Before(least) {
		return least
	}
	return by
}

func (b *bodyReader) Read(p []byte) (int, error) {
	b.head = b.head.Add(time.Since(b.returned))
	b.control.SetReadDeadline(b.by())
	if b.stopped.Load() {
		b.control.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := b.body.Read(p)
	b.got += int64(n)
	b.returned = time.Now()
	if err == io.EOF { // the server goes on reading, to hear whether the client leaves
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stop ends a read under way and all later ones.
func (b *bodyReader) stop() {
	b.stopped.Store(true)
	b.control.SetReadDeadline(time.Unix(1, 0))
}

// upload is what is still to come of a body too long to be kept: it goes from
// the client to a server as that takes it.
type upload struct {
	length  int64 // of the whole body; negative: not stated
	pipe    *io.PipeReader
	reader  *bodyReader
	wholeAt atomic.Int64  // when its last byte went out; 0: not yet
	taken   atomic.Bool   // some of it has been, so that no other attempt can have it
	gone    func() bool   // tells whether the client has left
	quit    atomic.Bool   // it had when its last byte was to go out
	ended   chan struct{} // closed when nothing more is read from the client
	err     error         // how reading from the client failed, once ended is closed
	whole   func(wait time.Duration)
	wait    time.Duration // from its last byte on

	mu    sync.Mutex
	begun bool // it counts as taken from its client
	over  bool // and as ended
}

// pump reads a body to its end, as fast as the upload is taken.
func (u *upload) pump(most int64, w *io.PipeWriter) {
	defer close(u.ended)
	n, err := io.CopyBuffer(struct{ io.Writer }{w}, io.LimitReader(u.reader, most+1), make([]byte, copyBuffer))
	switch {
	case err == nil && n > most:
		err = errLong
	case errors.Is(err, io.ErrClosedPipe): // nobody wants the rest
		io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(u.reader, most), make([]byte, copyBuffer))
		return
	}
	u.err = err
	w.CloseWithError(err)
}

// taking is an upload as an attempt reads it until ctx ends.
type taking struct {
	ctx context.Context
	*upload
	more int64 // bytes until its end; negative: not stated
}

// Read takes some of it. Whoever ends ctx before it asks whether some has been
// taken hears of it, or no more will be. A server begins at the last byte, so
// none gets that of a client that has left.
func (t *taking) Read(p []byte) (int, error) {
	if t.ctx.Err() == nil {
		t.taken.Store(true)
	}
	if err := t.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := t.pipe.Read(p)
	t.more -= int64(n)
	if (t.more == 0 || err == io.EOF) && t.gone() {
		t.quit.Store(true)
		return 0, errClientGone
	}
	return n, err
}

// close ends the reading from the client, if that goes on.
func (u *upload) close() {
	select {
	case <-u.ended:
	default:
		u.reader.stop()
		u.drain()
	}
}

// drain reads what the client has still to send, at the rate that is its due,
// and returns at its end. A client that is cut off while it sends may never
// read the answer that waits for it.
func (u *upload) drain() {
	u.pipe.Close()
	<-u.ended
}

// failed tells that the client has broken off.
func (u *upload) failed() bool {
	select {
	case <-u.ended:
		return u.err != nil || u.quit.Load()
	default:
		return u.quit.Load()
	}
}

// take counts the request as taken, once its last byte has gone out.
func (u *upload) take(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.begun && !u.over {
		u.begun = true
		outstanding.Add(1)
	}
}

// end counts it as ended.
func (u *upload) end(outstanding *atomic.Int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over = true; u.begun {
		outstanding.Add(-1)
	}
}

// errLong says that a message is longer than any may be.
var errLong = errors.New("it is too long")

// readStart reads a body to its end, or to the size that is kept; rest tells
// that there is more.
func readStart(ctx context.Context, body io.Reader, room func(context.Context) error) (start []byte, rest bool, err error) {
	if start, err = io.ReadAll(io.LimitReader(body, smallBody+1)); err != nil || len(start) <= smallBody {
		return start, false, err
	}
	if err = room(ctx); err != nil {
		return nil, false, err
	}
	more, err := io.ReadAll(io.LimitReader(body, maxBody-smallBody))
	start = append(start, more...)
	return start, len(start) > maxBody, err
}

// room bounds how many messages that are not small are held at a time, each
// way, so that an eighth of the memory does for them.
type room chan struct{}

const (
	smallBody = 16 << 10
	roomEach  = maxBody + 2*copyBuffer
	roomTime  = 5 * time.Second // to wait for some
)

var errNoRoom = errors.New("no room for long messages")

func newRoom(memoryMB int) room { return make(room, max(8, memoryMB<<20/8/roomEach)) }

// on gives a way to take room once, and notes how to give it back.
func (r room) on(back *func()) func(context.Context) error {
	return func(ctx context.Context) error {
		if *back != nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, roomTime)
		defer cancel()
		select {
		case r <- struct{}{}:
			*back = func() { <-r }
			return nil
		case <-ctx.Done():
			return errNoRoom
		}
	}
}

// leaveRoom gives back what an answer has taken.
func (c *conn) leaveRoom() {
	if c.room != nil {
		c.room()
		c.room = nil
	}
}

// startUpload goes on with a body whose start has been read.
func startUpload(r *http.Request, body *bodyReader, start int, wait time.Duration) *upload {
	read, write := io.Pipe()
	u := &upload{length: r.ContentLength, pipe: read, reader: body, wait: wait, ended: make(chan struct{}), whole: func(time.Duration) {}, gone: func() bool { return false }}
	go u.pump(maxLarge-int64(start), write)
	return u
}
