package node

import (
	"io"
	"net/http"
	"time"
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
	control  *http.ResponseController
	began    time.Time // the request's first byte
	head     time.Time // its last one of the head, moved on by time not spent in reading
	returned time.Time // from the last read
	got      int64
}

func newBodyReader(w http.ResponseWriter, r *http.Request) *bodyReader {
	now := time.Now()
	b := &bodyReader{body: r.Body, control: http.NewResponseController(w), began: now, head: now, returned: now}
	if c, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
		b.began = time.Unix(0, c.began.Load())
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
	n, err := b.body.Read(p)
	b.got += int64(n)
	b.returned = time.Now()
	if err == io.EOF { // the server goes on reading, to hear whether the client leaves
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
