package proxy

import (
	"errors"
	"sync"
)

// errCut ends an answer that this node may not go on with.
var errCut = errors.New("the answer is cut off")

// leash ends from elsewhere what one goroutine is busy with, and never what comes after that.
type leash struct {
	mu   sync.Mutex
	end  func() // breaks what is under way; nil: it has not begun, or is over
	over bool
	cut  bool
}

// take begins what end breaks.
func (l *leash) take(end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
}

// pull ends it.
func (l *leash) pull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	if l.cut = true; l.end != nil {
		l.end()
	}
}

// pulled tells whether it is to end. It is asked after all that would undo what end did.
func (l *leash) pulled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// drop says that it is over, and how.
func (l *leash) drop(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over, l.end = true, nil; l.cut {
		return errCut
	}
	return err
}
