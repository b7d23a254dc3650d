package load

import "sync"

// Book knows every id that a client has sent, so that a backend can tell the work
// of a request and whether anybody asked for it. It is safe for concurrent use.
type Book struct {
	mu  sync.RWMutex
	ops map[string]*Op
	met map[string]bool // ids that have reached a backend
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{ops: map[string]*Op{}, met: map[string]bool{}} }

// Write notes an id before it is sent.
func (b *Book) Write(id string, op *Op) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ops[id] = op
}

// Find returns the operation of an id, or nil for one that no client sent.
func (b *Book) Find(id string) *Op {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.ops[id]
}

// Meet notes that an id has reached a backend.
func (b *Book) Meet(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.met[id] = true
}

// Met reports whether an id has reached a backend, so that a node must have read it.
func (b *Book) Met(id string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.met[id]
}
