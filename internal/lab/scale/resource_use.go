package scale

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"time"

	"wrenspread/internal/lab/process"
)

// use holds the resources that a process has used since its start, from the most exact counters of the
// kernel.
type use struct {
	// CPU is the processor time of the live threads. It lacks the time of threads that have ended, but Go's
	// threads rarely end.
	CPU      time.Duration
	Read     float64 // bytes read from sockets and files
	Written  float64
	Calls    float64 // number of reads and writes
	RSS, FDs float64
}

// useOf reads the resources that a process has used.
func useOf(pid int) (u use, err error) {
	coarse, err := process.UseOf(pid)
	if err != nil {
		return u, err
	}
	u.RSS, u.FDs = float64(coarse.RSS), float64(coarse.FDs)
	if u.CPU, err = process.ThreadCPU(pid); err != nil {
		return u, err
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	counts := map[string]float64{}
	for line := range bytes.Lines(raw) {
		if key, value, ok := bytes.Cut(bytes.TrimSpace(line), []byte(": ")); ok {
			counts[string(key)], _ = strconv.ParseFloat(string(value), 64) // the kernel writes numbers
		}
	}
	u.Read, u.Written, u.Calls = counts["rchar"], counts["wchar"], counts["syscr"]+counts["syscw"]
	return u, nil
}

func (u use) minus(v use) use {
	return use{
		u.CPU - v.CPU,
		u.Read - v.Read,
		u.Written - v.Written,
		u.Calls - v.Calls,
		u.RSS - v.RSS,
		u.FDs - v.FDs,
	}
}

func ownUse() (use, error) { return useOf(os.Getpid()) }

// machineLoad returns the machine's load average over the last minute; 0 if the kernel does not provide it.
func machineLoad() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if fields := bytes.Fields(raw); err == nil && len(fields) > 0 {
		l, _ := strconv.ParseFloat(string(fields[0]), 64)
		return l
	}
	return 0
}

func cores() int { return runtime.NumCPU() }

// heapUse returns the bytes of the live objects on the heap, and the number of all allocations so far.
func heapUse() (bytes, allocations float64) {
	runtime.GC()
	runtime.GC() // frees what finalizers have kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.Mallocs)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
