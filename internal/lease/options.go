package lease

import (
	"hash/fnv"

	"wrenspread/internal/registry"
)

// request is a candidacy with the settings that the registry does not need to know.
type request struct {
	registry.Candidacy
	releaseOrder int
}

// Option configures a candidacy.
type Option func(*request)

// Priority sets the priority of the candidacy. Candidates of a higher priority are granted the lease first.
func Priority(priority int) Option { return func(r *request) { r.Priority = priority } }

// Preempt makes the registry ask a holder of lower priority to transfer the lease.
func Preempt() Option { return func(r *request) { r.Preempt = true } }

// ReleaseOrder sets the order in which the lease is released while the session closes: leases of a higher
// order are released first. The default is 0.
func ReleaseOrder(order int) Option { return func(r *request) { r.releaseOrder = order } }

// Spread distributes many leases evenly over processes that campaign for all of them: each lease goes to the
// process with the highest hash of both names (rendezvous hashing).
func Spread(process, lease string) Option {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(lease + "\x00" + process)) // a hash never returns an error
	mixed := hash.Sum32()
	mixed ^= mixed >> 16 // without this mixing, a difference in the last bytes changes too few bits
	mixed *= 0x85ebca6b
	mixed ^= mixed >> 13
	return func(r *request) {
		r.Priority = int(mixed >> 1)
		r.Preempt = true
	}
}
