package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	maxStreamedBody  = 32 << 20               // bytes of any body
	copyBufferSize   = 16 << 10               // of a long body on its way
	maxBufferingTime = 100 * time.Millisecond // an answer of no stated length begins after that
	// progressTimeout is how long either side of a long message may stand still.
	progressTimeout = 20 * time.Second
)

// errClientGone ends an answer that nobody reads on.
var errClientGone = errors.New("the client has gone")

// responseStream is a long answer that has begun: its client gets it as it comes.
type responseStream struct {
	length int64 // of all; negative: not stated
	start  []byte
	rest   io.Reader
	conn   *conn
	ended  chan error // takes how it ended, once
	canceller
}

// writeTo writes a stream to its client, piece by piece. An error means that the
// client does not have all of it. due is when its request's time is over.
func (s *responseStream) writeTo(w http.ResponseWriter, deadline time.Time) error {
	control := http.NewResponseController(w)
	s.begin(func() {
		besteffort.SocketOption(s.conn.SetDeadline(time.Unix(1, 0)))
		besteffort.SocketOption(control.SetWriteDeadline(time.Unix(1, 0)))
	})
	return s.finish(s.copyTo(w, control, deadline))
}

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
	lastReadAt := time.Now() // from the last read
	err, passed := writePart(s.start), int64(len(s.start))
	s.start = nil
	for buf := make([]byte, copyBufferSize); err == nil; {
		var n int
		var readErr error
		deadline = deadline.Add(time.Since(lastReadAt)) // only the server's time counts
		besteffort.SocketOption(s.conn.SetReadDeadline(s.progressDeadline(deadline, passed)))
		if s.isCancelled() {
			return errResponseCut
		}
		n, readErr = s.rest.Read(buf)
		lastReadAt = time.Now()
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

// progressDeadline is when more of it must have come. Of a long answer the first byte is
// timed, of any other the last one, and one of no stated length is long only
// once so much has come: until then it may not drip on past its request's time,
// and still gets there at the rate that is asked of clients.
func (s *responseStream) progressDeadline(deadline time.Time, passed int64) time.Time {
	progressBy := time.Now().Add(progressTimeout)
	if s.length >= 0 || passed > maxBufferedBody {
		return progressBy
	}
	if last := deadline.Add(bodyStartGrace + time.Duration(passed)*time.Second/minBodyRate); last.Before(progressBy) {
		return last
	}
	return progressBy
}
