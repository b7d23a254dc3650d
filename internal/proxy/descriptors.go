package proxy

import (
	"fmt"
	"log/slog"
	"syscall"
)

// File descriptors are divided into fixed parts for clients, for backends and for everything else, so that no
// part can use up the descriptors of another. While discovery is down and idle clients fill their part, there
// is still a descriptor for discovery, a backend, an operator and the next process of this proxy.
const (
	clientShare = 0.5 // fraction of the descriptors that are not reserved
	// reservedDescriptors are for discovery or the registry (3, and 6 more with a policy and tenants),
	// operators (17), the next processes (6), open files (3), listening sockets (4), a client that is closed
	// unread (1), and the runtime (8).
	reservedDescriptors = 48
	minDescriptors      = 64 // with fewer a proxy can't serve
)

// maxDescriptors returns the number of descriptors that the proxy may use: the configured number, but no more
// than the limit of this process. With more, accepting clients could take the last descriptor.
func maxDescriptors(configured int, log *slog.Logger) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured, nil
	}
	if limit.Cur < minDescriptors {
		return minDescriptors, fmt.Errorf(
			"limits: the system gives %d descriptors, want %d or more",
			limit.Cur,
			minDescriptors,
		)
	}
	log.Warn("fewer descriptors than limits.sockets", "gives", limit.Cur, "sockets", configured)
	return int(limit.Cur), nil
}
