package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	maxLarge   = 32 << 20               // bytes of any body
	copyBuffer = 16 << 10               // of a long body on its way
	streamWait = 100 * time.Millisecond // an answer of no stated length begins after that
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
func (s *responseStream) writeTo(w http.ResponseWriter, due time.Time) error {
	control := http.NewResponseController(w)
	s.begin(func() {
		besteffort.SocketOption(s.conn.SetDeadline(time.Unix(1, 0)))
		besteffort.SocketOption(control.SetWriteDeadline(time.Unix(1, 0)))
	})
	return s.finish(s.copyTo(w, control, due))
}

func (s *responseStream) copyTo(
	w http.ResponseWriter,
	control *http.ResponseController,
	due time.Time,
) error {
	put := func(p []byte) error {
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
	returned := time.Now() // from the last read
	err, passed := put(s.start), int64(len(s.start))
	s.start = nil
	for buf := make([]byte, copyBuffer); err == nil; {
		var n int
		var rerr error
		due = due.Add(time.Since(returned)) // only the server's time counts
		besteffort.SocketOption(s.conn.SetReadDeadline(s.progressDeadline(due, passed)))
		if s.isCancelled() {
			return errResponseCut
		}
		n, rerr = s.rest.Read(buf)
		returned = time.Now()
		if passed += int64(n); passed > maxLarge {
			return errTooLong
		}
		if err = put(buf[:n]); err == nil && rerr != nil {
			if errors.Is(rerr, io.EOF) {
				return nil
			}
			return rerr
		}
	}
	return err
}

// progressDeadline is when more of it must have come. Of a long answer the first byte is
// timed, of any other the last one, and one of no stated length is long only
// once so much has come: until then it may not drip on past its request's time,
// and still gets there at the rate that is asked of clients.
func (s *responseStream) progressDeadline(due time.Time, passed int64) time.Time {
	by := time.Now().Add(progressTimeout)
	if s.length >= 0 || passed > maxBody {
		return by
	}
	if last := due.Add(bodyStartGrace + time.Duration(passed)*time.Second/minBodyRate); last.Before(by) {
		return last
	}
	return by
}
