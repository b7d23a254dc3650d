// Package memory admits clients' work by the memory that it will take. A process has one Budget. Each
// connection of a client has a Reservation in it, which grows by the cost of what comes on the connection
// before that is stored: the head, the body, pipelined bytes and the response. So the sum is bounded,
// whatever the clients send.
//
// The more a client already holds, the smaller the part of the budget that it may use (tiers): clients that
// need much leave memory for ordinary requests.
package memory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNone means that no memory has become free in time.
var ErrNone = errors.New("no memory for the request")

const (
	maxWait       = 5 * time.Second       // for memory
	checkInterval = 50 * time.Millisecond // between two checks of whether a wait is still of use
)

// tiers are the parts of a budget that reservations may use, by what they hold.
var tiers = []struct {
	upTo  int64   // bytes of one reservation
	share float64 // of the budget, which these reservations may use together with all smaller ones
}{
	{ordinary, 1},
	{ordinary + 2*maxOrdinaryMessage, 0.75},
}

const (
	// ordinary is the cost of a client with a request of an ordinary head and a short body.
	ordinary           = Connection + Request + forwarding + 16<<10
	maxOrdinaryMessage = 64 << 10 // bytes of the longest message that is buffered
	longShare          = 0.55     // share of the budget for all that is longer
	longMessage        = 32 << 20 // bytes of the longest message that is forwarded while it comes
)

// Budget is the memory that clients' work may take in a process. A nil Budget admits everything.
type Budget struct {
	denials atomic.Int64
	reclaim atomic.Pointer[func()]

	mu       sync.Mutex
	capacity int64 // bytes
	used     int64 // bytes, the sum of all reservations
	waiters  []*waiter
}

// waiter is a reservation that waits to grow.
type waiter struct {
	reservation *Reservation
	bytes       int64
	granted     chan struct{} // closed when it has grown
}

// NewBudget returns a budget of capacity bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// SetCapacity changes the capacity. Reservations that exceed it stay, but none grows until enough is
// released.
func (b *Budget) SetCapacity(capacity int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.grantLocked()
}

// OnShortage sets a function that is called when a reservation of an ordinary size can't grow at once. It
// frees memory that others hold without need, if it finds some, and does not wait.
func (b *Budget) OnShortage(reclaim func()) { b.reclaim.Store(&reclaim) }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Waiting returns how many reservations wait to grow.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters)
}

// Capacity returns how many bytes may be reserved.
func (b *Budget) Capacity() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacity
}

// Denials returns how often work was not admitted.
func (b *Budget) Denials() int64 { return b.denials.Load() }

// Reserve returns a reservation of some bytes, or false if there is no memory for them.
func (b *Budget) Reserve(bytes int64) (*Reservation, bool) {
	if b == nil {
		return &Reservation{}, true
	}
	r := &Reservation{budget: b}
	return r, r.TryGrow(bytes)
}

// fitsLocked reports whether a reservation may grow by some bytes.
func (b *Budget) fitsLocked(r *Reservation, bytes int64) bool {
	return b.used+bytes <= b.partLocked(max(r.held+bytes, r.expected))
}

// partLocked returns the part of the budget, in bytes, for reservations of a size.
func (b *Budget) partLocked(size int64) int64 {
	share := longShare
	for _, tier := range tiers {
		if size <= tier.upTo {
			share = tier.share
			break
		}
	}
	return int64(share * float64(b.capacity))
}

// growLocked lets a reservation grow, if it may.
func (b *Budget) growLocked(r *Reservation, bytes int64) bool {
	if r.closed || !b.fitsLocked(r, bytes) {
		return false
	}
	r.held += bytes
	b.used += bytes
	return true
}

// grantLocked lets those waiters grow that may do so now, in the order in which they came.
func (b *Budget) grantLocked() {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if !b.growLocked(w.reservation, w.bytes) {
			return false
		}
		close(w.granted)
		return true
	})
}

// noteShortage lets the owner of the budget free memory, if a reservation of an ordinary size needs it.
func (r *Reservation) noteShortage(bytes int64) {
	r.budget.mu.Lock()
	size := max(r.held+bytes, r.expected)
	r.budget.mu.Unlock()
	if reclaim := r.budget.reclaim.Load(); reclaim != nil && size <= ordinary {
		(*reclaim)()
	}
}

// Reservation is the memory that one client holds. A nil Reservation is one without a budget.
type Reservation struct {
	budget *Budget // nil: everything is admitted

	// The fields below are guarded by budget.mu.
	held     int64 // bytes
	expected int64 // bytes that it will hold at least
	closed   bool  // by Release
}

// TryGrow reserves some more bytes, and returns false if there is no memory for them now.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil || r.budget == nil {
		return true
	}
	if r.grow(bytes) {
		return true
	}
	r.noteShortage(bytes)
	r.budget.denials.Add(1)
	return false
}

// TryGrowSpare reserves some more bytes of memory that is of use only while there is enough for others. It
// returns false if there is not.
func (r *Reservation) TryGrowSpare(bytes int64) bool {
	if r == nil || r.budget == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.budget.used+bytes <= r.budget.partLocked(longMessage) && r.budget.growLocked(r, bytes)
}

// Expect says how many more bytes will be reserved at least. So a client that will need much does not take
// what is left for others before that shows.
func (r *Reservation) Expect(bytes int64) {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.expected = r.held + bytes
}

// ExpectLong says that a message will be forwarded while it comes, for as long as its sender takes.
func (r *Reservation) ExpectLong() { r.Expect(longMessage) }

// Charge reserves some more bytes that are in memory already, even if the budget is exceeded.
func (r *Reservation) Charge(bytes int64) {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.closed {
		r.held += bytes
		r.budget.used += bytes
	}
}

// grow is TryGrow without a report of the shortage.
func (r *Reservation) grow(bytes int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.budget.growLocked(r, bytes)
}

// Grow reserves some more bytes, and waits for them until ctx ends, maxWait has passed or tooLate returns
// true. tooLate may be nil.
func (r *Reservation) Grow(ctx context.Context, bytes int64, tooLate func() bool) error {
	if r == nil || r.budget == nil || r.grow(bytes) {
		return nil
	}
	r.noteShortage(bytes)
	w := r.budget.enqueue(r, bytes)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	checks := time.NewTicker(checkInterval)
	defer checks.Stop()
	for tooLate == nil || !tooLate() {
		select {
		case <-w.granted:
			return nil
		case <-checks.C:
			if r.noteShortage(bytes); !r.isClosed() {
				continue
			}
		case <-ctx.Done():
		}
		break
	}
	if r.budget.dequeue(w) {
		return nil
	}
	r.budget.denials.Add(1)
	return ErrNone
}

// enqueue adds a reservation to those that wait.
func (b *Budget) enqueue(r *Reservation, bytes int64) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{reservation: r, bytes: bytes, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.grantLocked() // memory may have become free since the first try
	return w
}

// dequeue ends the wait, and reports whether the reservation has grown meanwhile.
func (b *Budget) dequeue(w *waiter) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return true
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return false
}

// isClosed reports whether Release has been called.
func (r *Reservation) isClosed() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.closed
}

// Shrink returns some of the reserved bytes.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.shrinkLocked(min(bytes, r.held))
}

// ShrinkTo returns all reserved bytes but some, and expects no more.
func (r *Reservation) ShrinkTo(bytes int64) {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.expected = 0
	r.shrinkLocked(max(0, r.held-bytes))
}

// Release returns all reserved bytes, and keeps the reservation from growing again.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.closed = true
	r.shrinkLocked(r.held)
}

func (r *Reservation) shrinkLocked(bytes int64) {
	r.held -= bytes
	r.budget.used -= bytes
	if bytes > 0 && len(r.budget.waiters) > 0 {
		r.budget.grantLocked()
	}
}
