package proxy

import (
	"context"
	"errors"
	"time"

	"wrenspread/internal/proxy/memory"
)

// maxResponseWait bounds the wait of a response for memory. Its endpoint counts as busy meanwhile.
const maxResponseWait = 200 * time.Millisecond

// maxOrdinaryHeadCost is the largest cost, in bytes, of a response's head that is not the backend's fault.
const maxOrdinaryHeadCost = 32 << 10

// errHeadTooCostly means that the head of a response has far more fields than there is memory for.
var errHeadTooCostly = errors.New("read response: the head has too many fields")

// responseMemory is what the response on a connection takes of its client's memory reservation.
type responseMemory struct {
	reservation *memory.Reservation // of the client whose request the connection carries
	reserved    int64               // bytes
	head        headCounter
}

// begin begins the response to a client's request.
func (m *responseMemory) begin(reservation *memory.Reservation) {
	m.reservation = reservation
	m.reserved = 0
	m.head = headCounter{}
}

// admitHead reserves memory for the fields of the response's head that are among the bytes just read.
func (m *responseMemory) admitHead(read []byte) error {
	cost := memory.Head(m.head.count(read))
	if cost == 0 {
		return nil
	}
	if !m.reservation.TryGrow(cost) {
		if m.reserved+cost > maxOrdinaryHeadCost {
			return errHeadTooCostly
		}
		return memory.ErrNone
	}
	m.reserved += cost
	return nil
}

// grow reserves memory for some more bytes of the response, and waits for it until ctx ends or
// maxResponseWait has passed.
func (m *responseMemory) grow(ctx context.Context, bytes int64) error {
	if bytes > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxResponseWait)
		defer cancel()
	}
	if err := m.reservation.Grow(ctx, bytes, nil); err != nil {
		return err
	}
	m.reserved += bytes
	return nil
}

// release returns the memory of a response that is not passed to the client.
func (m *responseMemory) release() {
	m.reservation.Shrink(m.reserved)
	m.reserved = 0
}

// keep leaves the memory to the client's connection, which returns it when the client has the response.
func (m *responseMemory) keep() { m.reserved = 0 }

// headCounter counts the fields of a response's head.
type headCounter struct {
	lineLength int
	lines      int
	ended      bool // the empty line behind the head has come
}

// count returns how many bytes and lines of the head are among the bytes read.
func (h *headCounter) count(read []byte) (bytes, lines int) {
	if h.ended {
		return 0, 0
	}
	for i, b := range read {
		switch {
		case b == '\n' && h.lineLength == 0 && h.lines > 0:
			h.ended = true
			return i, lines
		case b == '\n':
			h.lineLength = 0
			h.lines++
			lines++
		case b != '\r':
			h.lineLength++
		}
	}
	return len(read), lines
}

// responseBuffer collects a response's body of no stated length.
type responseBuffer struct {
	data   []byte
	memory *responseMemory
}

// append adds bytes; it reserves their memory first, and waits for it until ctx ends.
func (b *responseBuffer) append(ctx context.Context, p []byte) error {
	if size := len(b.data) + len(p); size > cap(b.data) {
		size = max(size, 2*cap(b.data))
		if err := b.memory.grow(ctx, int64(size-cap(b.data))); err != nil {
			return err
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.data = append(b.data, p...)
	return nil
}
