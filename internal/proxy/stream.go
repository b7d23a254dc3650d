package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	maxLarge   = 32 << 20               // bytes of any body
	copyBuffer = 16 << 10               // of a long body on its way
	streamWait = 100 * time.Millisecond // an answer of no stated length begins after that
	// progressTime is how long either side of a long message may stand still.
	progressTime = 20 * time.Second
)

// errClientGone ends an answer that nobody reads on.
var errClientGone = errors.New("the client has gone")

// stream is a long answer that has begun: its client gets it as it comes.
type stream struct {
	length int64 // of all; negative: not stated
	start  []byte
	rest   io.Reader
	conn   *conn
	ended  chan error // takes how it ended, once
	leash
}

// pass writes a stream to its client, piece by piece. An error means that the
// client does not have all of it. due is when its request's time is over.
func (s *stream) pass(w http.ResponseWriter, due time.Time) error {
	control := http.NewResponseController(w)
	s.take(func() {
		s.conn.SetDeadline(time.Unix(1, 0))
		control.SetWriteDeadline(time.Unix(1, 0))
	})
	return s.drop(s.copy(w, control, due))
}

func (s *stream) copy(w http.ResponseWriter, control *http.ResponseController, due time.Time) error {
	put := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		control.SetWriteDeadline(time.Now().Add(progressTime))
		if s.pulled() {
			return errCut
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
		s.conn.SetReadDeadline(s.by(due, passed))
		if s.pulled() {
			return errCut
		}
		n, rerr = s.rest.Read(buf)
		returned = time.Now()
		if passed += int64(n); passed > maxLarge {
			return errLong
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

// by is when more of it must have come. Of a long answer the first byte is
// timed, of any other the last one, and one of no stated length is long only
// once so much has come: until then it may not drip on past its request's time,
// and still gets there at the rate that is asked of clients.
func (s *stream) by(due time.Time, passed int64) time.Time {
	by := time.Now().Add(progressTime)
	if s.length >= 0 || passed > maxBody {
		return by
	}
	if last := due.Add(bodyGrace + time.Duration(passed)*time.Second/bodyRate); last.Before(by) {
		return last
	}
	return by
}
