package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	maxStreamedBody = 32 << 20 // bytes; longer bodies are rejected
	copyBufSize     = 16 << 10 // bytes of the buffer with which a long body is copied
	// progressTimeout is how long either side of a long message may stall.
	progressTimeout = 20 * time.Second
	// maxStreamPause and minStreamRate, in bytes a second, are what a response of no stated length has to keep
	// to when it goes on slowly beyond its request's deadline.
	maxStreamPause = time.Second
	minStreamRate  = 4 << 10
)

// errClientGone is the error of a message whose client has left.
var errClientGone = errors.New("the client has gone")

// responseStream is a long response that has begun. It is forwarded to the client while it comes from the
// backend. Its head and the first part of its body are written together, so that a client that gets any of it
// can tell when it is cut off.
type responseStream struct {
	length    int64     // of the complete body; negative if not stated
	start     []byte    // the part of the body that has been read; not empty
	remaining io.Reader // the part that is still to come
	conn      *conn
	ended     chan error // receives one value: nil or the error that ended the stream
	canceller

	lastReadAt time.Time // when the last read returned
	lastByteAt time.Time // when the last bytes came
}

// writeTo forwards a stream to its client, piece by piece. An error means that the client does not have
// the complete response. deadline is that of the request.
func (s *responseStream) writeTo(w http.ResponseWriter, deadline time.Time) error {
	control := http.NewResponseController(w)
	s.begin(func() {
		besteffort.SocketOption(s.conn.SetDeadline(time.Unix(1, 0)))
		besteffort.SocketOption(control.SetWriteDeadline(time.Unix(1, 0)))
	})
	return s.finish(s.copyTo(w, control, deadline))
}

// copyTo does the copying for writeTo, which has registered how to interrupt it.
func (s *responseStream) copyTo(
	w http.ResponseWriter,
	control *http.ResponseController,
	deadline time.Time,
) error {
	writePart := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		besteffort.SocketOption(control.SetWriteDeadline(time.Now().Add(progressTimeout)))
		if s.isCancelled() {
			return errResponseCut
		}
		if _, err := w.Write(p); err != nil {
			return errClientGone
		}
		if err := control.Flush(); err != nil {
			return errClientGone
		}
		return nil
	}
	s.lastReadAt = time.Now()
	s.lastByteAt = s.lastReadAt
	err, passed := writePart(s.start), int64(len(s.start))
	s.start = nil
	for buf := make([]byte, copyBufSize); err == nil; {
		var n int
		var readErr error
		deadline = deadline.Add(time.Since(s.lastReadAt)) // excludes the time for writing to the client
		besteffort.SocketOption(s.conn.SetReadDeadline(s.progressDeadline(deadline, passed)))
		if s.isCancelled() {
			return errResponseCut
		}
		n, readErr = s.readPart(buf)
		if passed += int64(n); passed > maxStreamedBody {
			return errTooLong
		}
		if err = writePart(buf[:n]); err == nil && readErr != nil {
			if errors.Is(readErr, io.EOF) {
				return nil
			}
			return readErr
		}
	}
	return err
}

// readPart reads the next part of the stream.
func (s *responseStream) readPart(buf []byte) (int, error) {
	n, err := s.remaining.Read(buf)
	s.lastReadAt = time.Now()
	if n > 0 {
		s.lastByteAt = s.lastReadAt
	}
	return n, err
}

// progressDeadline returns the time by which the next part of the stream must have come. A response of stated
// length, and any response once it has more than maxBufferedBody bytes, only has to make progress. Until
// then, a response of no stated length must go on beyond its request's deadline: at minBodyRate, the rate
// that is required of clients, or without a pause of maxStreamPause at minStreamRate.
func (s *responseStream) progressDeadline(deadline time.Time, passed int64) time.Time {
	progressBy := time.Now().Add(progressTimeout)
	if s.length >= 0 || passed > maxBufferedBody {
		return progressBy
	}
	fast := deadline.Add(bodyStartGrace + time.Duration(passed)*time.Second/minBodyRate)
	steady := deadline.Add(bodyStartGrace + time.Duration(passed)*time.Second/minStreamRate)
	if next := s.lastByteAt.Add(maxStreamPause); next.Before(steady) {
		steady = next
	}
	if steady.After(fast) {
		fast = steady
	}
	if fast.Before(progressBy) {
		return fast
	}
	return progressBy
}
