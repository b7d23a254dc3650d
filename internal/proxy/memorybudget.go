package proxy

import (
	"context"
	"errors"
	"time"
)

// memoryBudget bounds how many messages over maxSmallBody are in memory at a time in one direction (requests
// or responses), so that they take at most an eighth of the memory.
type memoryBudget chan struct{}

const (
	messageMemory = maxBufferedBody + 2*copyBufSize // bytes that one larger message takes at most
	memoryWait    = 5 * time.Second                 // for a place in the memory budget
	// longBodyShare is the fraction of the places that requests with long bodies may take. They keep their
	// places for as long as their clients send.
	longBodyShare = 0.75
)

// errNoMemory means that no memory for a message became free in time.
var errNoMemory = errors.New("no room for long messages")

// newMemoryBudget returns the budget of one direction for a proxy that may use memoryMB megabytes.
func newMemoryBudget(memoryMB int) memoryBudget {
	return make(memoryBudget, max(8, memoryMB<<20/8/messageMemory))
}

// share returns a budget of a fraction of the places of b.
func (b memoryBudget) share(fraction float64) memoryBudget {
	return make(memoryBudget, int(fraction*float64(cap(b))))
}

// reserve takes a place, and waits for one until ctx ends, memoryWait has passed or tooLate returns true.
// tooLate may be nil.
func (b memoryBudget) reserve(ctx context.Context, tooLate func() bool) error {
	select {
	case b <- struct{}{}:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	checks := time.NewTicker(arrivalCheckInterval)
	defer checks.Stop()
	for tooLate == nil || !tooLate() {
		select {
		case b <- struct{}{}:
			return nil
		case <-checks.C:
		case <-ctx.Done():
			return errNoMemory
		}
	}
	return errNoMemory
}

// release returns a place.
func (b memoryBudget) release() { <-b }

// reserveOnce returns a function that reserves the memory of one response, and sets release to the function
// that returns it. Further calls reserve nothing.
func (b memoryBudget) reserveOnce(release *func()) func(context.Context) error {
	return func(ctx context.Context) error {
		if *release != nil {
			return nil
		}
		if err := b.reserve(ctx, nil); err != nil {
			return err
		}
		*release = b.release
		return nil
	}
}

// bodyMemory is the memory that is reserved for the body of one request.
type bodyMemory struct {
	budget, longBudget memoryBudget // of all bodies, and of the long ones among them
	reserved           bool         // it has a place in budget
	reservedLong       bool         // it has a place in longBudget
}

// reserve reserves memory for the body, as far as that has not been done, and waits for it as
// memoryBudget.reserve does.
func (m *bodyMemory) reserve(ctx context.Context, isLong bool, tooLate func() bool) error {
	if isLong && !m.reservedLong {
		if err := m.longBudget.reserve(ctx, tooLate); err != nil {
			return err
		}
		m.reservedLong = true
	}
	if !m.reserved {
		if err := m.budget.reserve(ctx, tooLate); err != nil {
			return err
		}
		m.reserved = true
	}
	return nil
}

// release returns the memory.
func (m *bodyMemory) release() {
	if m.reserved {
		m.budget.release()
	}
	if m.reservedLong {
		m.longBudget.release()
	}
	m.reserved = false
	m.reservedLong = false
}

// releaseBudget returns the memory that is reserved for a response, if any.
func (c *conn) releaseBudget() {
	if c.releaseMemory != nil {
		c.releaseMemory()
		c.releaseMemory = nil
	}
}
