package lease

import (
	"hash/fnv"

	"wrenspread/internal/registry"
)

// request is a candidacy with what only its process has to know.
type request struct {
	registry.Candidacy
	releaseOrder int
}

// Option says how a lease is wanted.
type Option func(*request)

// Priority puts the process before candidates of a lower priority.
func Priority(priority int) Option { return func(r *request) { r.Priority = priority } }

// Preempt asks a holder of lower priority to transfer the lease.
func Preempt() Option { return func(r *request) { r.Preempt = true } }

// ReleaseOrder sets when the lease is released while the session closes: after those of a higher order and
// before those of a lower one. Without it the order is 0.
func ReleaseOrder(order int) Option { return func(r *request) { r.releaseOrder = order } }

// Spread distributes many leases evenly over the processes that want them all: each lease goes to the process
// with the highest hash of both names (rendezvous hashing).
func Spread(process, lease string) Option {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(lease + "\x00" + process)) // a hash never returns an error
	x := hash.Sum32()
	x ^= x >> 16 // the last bytes alone change too little of the sum
	x *= 0x85ebca6b
	x ^= x >> 13
	return func(r *request) {
		r.Priority = int(x >> 1)
		r.Preempt = true
	}
}
