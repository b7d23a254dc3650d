package load

import "sync"

// RequestIndex records every request ID that a client sends. A backend looks up the operation of a request,
// and whether a client sent the request at all. RequestIndex is safe for concurrent use.
type RequestIndex struct {
	mu      sync.RWMutex
	ops     map[string]*Op
	reached map[string]bool // IDs that have reached a backend
}

// NewRequestIndex returns an empty index.
func NewRequestIndex() *RequestIndex {
	return &RequestIndex{ops: map[string]*Op{}, reached: map[string]bool{}}
}

// Add records an ID before its request is sent.
func (x *RequestIndex) Add(id string, op *Op) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ops[id] = op
}

// Find returns the operation of an ID, or nil if no client sent the ID.
func (x *RequestIndex) Find(id string) *Op {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.ops[id]
}

// MarkReached records that an ID has reached a backend.
func (x *RequestIndex) MarkReached(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reached[id] = true
}

// Reached reports whether an ID has reached a backend, which shows that a node has read the request.
func (x *RequestIndex) Reached(id string) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.reached[id]
}
