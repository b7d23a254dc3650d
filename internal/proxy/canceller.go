package proxy

import (
	"errors"
	"sync"
)

// errResponseCut ends an answer that this proxy may not go on with.
var errResponseCut = errors.New("the answer is cut off")

// canceller ends from elsewhere what one goroutine is busy with, and never what comes after that.
type canceller struct {
	mu        sync.Mutex
	breakOff  func() // breaks what is under way; nil: it has not begun, or is over
	finished  bool
	cancelled bool
}

// begin begins what end breaks.
func (l *canceller) begin(end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakOff = end
}

// cancel ends it.
func (l *canceller) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finished {
		return
	}
	if l.cancelled = true; l.breakOff != nil {
		l.breakOff()
	}
}

// isCancelled reports whether it is to end. It is asked after all that would undo what end did.
func (l *canceller) isCancelled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cancelled
}

// finish says that it is over, and how.
func (l *canceller) finish(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finished, l.breakOff = true, nil; l.cancelled {
		return errResponseCut
	}
	return err
}
