package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"wrenspread/internal/lab/history"
)

// cpuTick is the unit of processor time in /proc/PID/stat: USER_HZ, which is 100 per second on every Linux
// port of Go.
const cpuTick = 10 * time.Millisecond

// Use holds the resources that a process uses.
type Use struct {
	RSS   int64         // bytes
	FDs   int           // open descriptors
	CPU   time.Duration // processor time since its start
	Stall time.Duration // total time for which its running threads were ready to run but had no core
}

// UseOf reads the resource use of a process from /proc.
func UseOf(pid int) (Use, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	var u Use
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:]) // starts with the third field of proc(5)
	if len(fields) < 22 {
		return u, fmt.Errorf("%sstat: %d fields", dir, len(fields))
	}
	u.CPU = time.Duration(parseInt(fields[11])+parseInt(fields[12])) * cpuTick
	u.RSS = parseInt(fields[21]) * int64(os.Getpagesize())
	fds, err := os.ReadDir(dir + "fd")
	if err != nil {
		return u, err
	}
	u.FDs = len(fds)
	tasks, err := os.ReadDir(dir + "task")
	if err != nil {
		return u, err
	}
	for _, t := range tasks { // skip threads that have ended since
		if b, err := os.ReadFile(dir + "task/" + t.Name() + "/schedstat"); err == nil {
			if f := bytes.Fields(b); len(f) >= 2 {
				u.Stall += time.Duration(parseInt(f[1]))
			}
		}
	}
	return u, nil
}

// ThreadCPU returns the total processor time of a process's running threads, in nanosecond resolution.
func ThreadCPU(pid int) (sum time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/task/", pid)
	tasks, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	for _, t := range tasks { // skip threads that have ended since
		if b, err := os.ReadFile(dir + t.Name() + "/schedstat"); err == nil {
			if f := bytes.Fields(b); len(f) >= 1 {
				sum += time.Duration(parseInt(f[0]))
			}
		}
	}
	return sum, nil
}

// parseInt parses a number from a file in /proc.
func parseInt(b []byte) int64 {
	n, _ := strconv.ParseInt(string(b), 10, 64) // the kernel always writes numbers
	return n
}

// Sample records the resource use of every running process in the history.
func (g *Group) Sample() {
	for _, p := range g.Running() {
		if u, err := UseOf(p.Pid); err == nil { // an error means that the process has just ended
			g.log.Add(
				history.Event{
					Kind:  history.Sample,
					Node:  p.Name,
					Pid:   p.Pid,
					RSS:   u.RSS,
					FDs:   u.FDs,
					CPU:   u.CPU,
					Stall: u.Stall,
				},
			)
		}
	}
}
