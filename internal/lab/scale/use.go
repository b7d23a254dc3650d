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

// use is what a process has used since its start, to the kernel's finest count.
type use struct {
	CPU      time.Duration // of its threads that live: one that ends takes its time along, which Go's hardly do
	Read     float64       // bytes, of sockets and files
	Written  float64
	Calls    float64 // reads and writes
	RSS, FDs float64
}

// useOf reads the use of a process.
func useOf(pid int) (u use, err error) {
	coarse, err := process.UseOf(pid)
	if err != nil {
		return u, err
	}
	u.RSS, u.FDs = float64(coarse.RSS), float64(coarse.FDs)
	if u.CPU, err = process.Ran(pid); err != nil {
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

// load is that of the machine over the last minute; 0 where the kernel says none.
func load() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if fields := bytes.Fields(raw); err == nil && len(fields) > 0 {
		l, _ := strconv.ParseFloat(string(fields[0]), 64)
		return l
	}
	return 0
}

func cores() int { return runtime.NumCPU() }

// heap is what lives on the heap, in bytes, and what has been allocated so far, in pieces.
func heap() (bytes, pieces float64) {
	runtime.GC()
	runtime.GC() // what finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.Mallocs)
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
