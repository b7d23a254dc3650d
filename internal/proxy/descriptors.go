package proxy

import (
	"fmt"
	"log/slog"
	"syscall"
)

// Descriptors are given to clients, to servers and to all else in fixed parts, so
// that no side can take those of another: clients that rest can fill theirs
// while discovery is away, and it, a server, an operator and the next process
// of this proxy find one.
const (
	clientShare = 0.5 // of those that are not spare
	// reservedDescriptors are for discovery or the registry (3, and 6 with a policy and
	// tenants), operators (17), the next processes (6), files that are read or kept (3),
	// the sockets that listen (4), a client that is shut (1), and the runtime (8).
	reservedDescriptors = 48
	minDescriptors      = 64 // below this no proxy can serve
)

// maxDescriptors is the number of descriptors that the proxy may use: as configured, but no more than the
// system gives this process, or accepting would take the last one.
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
