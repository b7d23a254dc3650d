package memory

// Process describes a process for which memory is divided.
type Process struct {
	MemoryMB int  // that the processes of the proxy may use together
	Handoffs bool // a new process may be started beside this one
}

// Limits are the parts of a process's memory.
type Limits struct {
	Go     int64 // bytes for the Go runtime, garbage included
	Budget int64 // bytes of these for clients' work
}

const (
	// programBytes are the resident pages of the program and the C library. All processes share them.
	programBytes = 9 << 20
	// nativeBytes are for threads and data outside the Go runtime.
	nativeBytes = 1 << 20
	// successorBytes are for a new process that starts, until this one knows of it.
	successorBytes = 5 << 20
	// shareMargin is for the time in which two processes come down to their shares.
	shareMargin = 4 << 20
	// goShare is the largest part of the memory that the Go runtime may use.
	goShare = 0.75
	// baseBytes are for what the process needs with no client.
	baseBytes = 3 << 20
	// liveShare is the part of the runtime's memory that may be in use; the rest is for garbage and fragments.
	liveShare = 0.55
	// minBudget lets some clients in, however little memory there is.
	minBudget = 1 << 20
)

// Limits returns the parts of the memory. shared says that two processes run at present.
func (p Process) Limits(shared bool) Limits {
	total := int64(p.MemoryMB) << 20
	available := total - programBytes - nativeBytes
	most := int64(goShare * float64(total))
	switch {
	case shared:
		available = (available - nativeBytes - shareMargin) / 2
		most /= 2
	case p.Handoffs:
		available -= successorBytes
	}
	limits := Limits{Go: max(min(available, most), baseBytes+minBudget)}
	limits.Budget = max(int64(liveShare*float64(limits.Go-baseBytes)), minBudget)
	return limits
}
