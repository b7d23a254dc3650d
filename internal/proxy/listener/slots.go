package listener

import (
	"time"

	"wrenspread/internal/proxy/memory"
)

// waitForSlot waits for a free slot. It returns nil if the listener has been closed, or if all slots or all
// memory have been taken for FullTimeout and no connection can be evicted.
func (l *Listener) waitForSlot() *memory.Reservation {
	if slot := l.takeSlot(); slot != nil {
		l.fullSince = time.Time{}
		return slot
	}
	if l.fullSince.IsZero() {
		l.fullSince = time.Now()
	}
	retry := time.NewTicker(evictRetryInterval)
	defer retry.Stop()
	for {
		full := !l.evict() && l.FullTimeout > 0 && time.Since(l.fullSince) >= l.FullTimeout
		l.full.Store(full) // set before the last check for a free slot
		if slot := l.takeSlot(); slot != nil {
			l.full.Store(false)
			return slot
		}
		if full {
			return nil
		}
		select {
		case <-l.freed:
		case <-l.closed:
			return nil
		case <-retry.C: // the evicted client has not closed yet, or none could be evicted
		}
	}
}

// takeSlot takes a slot, with the memory of its connection. It returns nil if there is none.
func (l *Listener) takeSlot() *memory.Reservation {
	select {
	case l.slots <- struct{}{}:
	default:
		return nil
	}
	reservation, ok := l.memory.Reserve(memory.Connection)
	if !ok {
		<-l.slots
		return nil
	}
	return reservation
}

// forget frees the slot of a connection that has ended.
func (l *Listener) forget(c *Conn, slot *memory.Reservation) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.releaseSlot(slot)
}

func (l *Listener) releaseSlot(slot *memory.Reservation) {
	slot.Release()
	<-l.slots
	l.full.Store(false)
	select {
	case l.freed <- struct{}{}:
	default: // a value waits already
	}
}

// Open returns the number of open connections, those that wait for their clients' end included.
func (l *Listener) Open() int { return len(l.slots) }

// Full reports whether clients that connect now are closed unread, as far as is known.
func (l *Listener) Full() bool { return l.full.Load() }
