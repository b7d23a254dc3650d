package load

import "sync"

// RequestIndex records every request ID that a client sends, so that a backend can look up the work of a request and
// whether a client sent it at all. It is safe for concurrent use.
type RequestIndex struct {
	mu      sync.RWMutex
	ops     map[string]*Op
	reached map[string]bool // IDs that have reached a backend
}

// NewRequestIndex makes an empty book.
func NewRequestIndex() *RequestIndex {
	return &RequestIndex{ops: map[string]*Op{}, reached: map[string]bool{}}
}

// Add records an ID before its request is sent.
func (b *RequestIndex) Add(id string, op *Op) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ops[id] = op
}

// Find returns the operation of an ID, or nil if no client sent it.
func (b *RequestIndex) Find(id string) *Op {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.ops[id]
}

// MarkReached records that an ID has reached a backend.
func (b *RequestIndex) MarkReached(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reached[id] = true
}

// Reached reports whether an ID has reached a backend, which shows that a node has read the request.
func (b *RequestIndex) Reached(id string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.reached[id]
}
