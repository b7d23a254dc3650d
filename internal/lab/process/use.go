package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"wrenspread/internal/lab/history"
)

// tick is the unit of processor time in /proc/PID/stat: USER_HZ, 100 a second on every Linux port that Go
// has.
const tick = 10 * time.Millisecond

// Use is what a process uses.
type Use struct {
	RSS   int64         // bytes
	FDs   int           // open descriptors
	CPU   time.Duration // since its start
	Stall time.Duration // time that its threads were ready to run and had no core, since their start
}

// UseOf reads the use of a process from /proc.
func UseOf(pid int) (Use, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	var u Use
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:]) // from the third field of the page on
	if len(fields) < 22 {
		return u, fmt.Errorf("%sstat: %d fields", dir, len(fields))
	}
	u.CPU = time.Duration(number(fields[11])+number(fields[12])) * tick
	u.RSS = number(fields[21]) * int64(os.Getpagesize())
	fds, err := os.ReadDir(dir + "fd")
	if err != nil {
		return u, err
	}
	u.FDs = len(fds)
	tasks, err := os.ReadDir(dir + "task")
	if err != nil {
		return u, err
	}
	for _, t := range tasks { // a thread may have ended since
		if b, err := os.ReadFile(dir + "task/" + t.Name() + "/schedstat"); err == nil {
			if f := bytes.Fields(b); len(f) >= 2 {
				u.Stall += time.Duration(number(f[1]))
			}
		}
	}
	return u, nil
}

// Ran is the processor time of a process's threads that live, to the nanosecond.
func Ran(pid int) (sum time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/task/", pid)
	tasks, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	for _, t := range tasks { // a thread may have ended since
		if b, err := os.ReadFile(dir + t.Name() + "/schedstat"); err == nil {
			if f := bytes.Fields(b); len(f) >= 1 {
				sum += time.Duration(number(f[0]))
			}
		}
	}
	return sum, nil
}

func number(b []byte) int64 {
	n, _ := strconv.ParseInt(string(b), 10, 64) // the kernel writes numbers
	return n
}

// Sample puts the use of every running process into the history.
func (g *Group) Sample() {
	for _, p := range g.Running() {
		if u, err := UseOf(p.Pid); err == nil { // else it has just ended
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
