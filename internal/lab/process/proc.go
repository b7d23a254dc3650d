// Package process starts the real programs of a lab run, watches them, and ends them by process ID. The
// programs also end when the lab itself is killed.
package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

// Spec describes a process to start.
type Spec struct {
	Name    string // name of the party, the same after a restart
	Command []string
	Env     []string   // replaces the lab's own environment
	Dir     string     // working directory, which also holds the process's log
	Files   []*os.File // open files that the process inherits
	FDs     uint64     // limit on file descriptors; 0: the lab's own limit
	// MayFail allows the process to exit by itself with status 1, for instance when it finds its folder damaged.
	MayFail bool
	MayEnd  bool // allows the process to exit by itself with status 0, once its work is done
}

// Group starts and ends the processes of a run.
type Group struct {
	log    *history.Log
	starts chan func() // run by the thread that starts all processes
	mu     sync.Mutex
	procs  []*Proc
	closed bool
	done   chan struct{} // closed by Close
}

// NewGroup returns a group that records its events in log. The group must be closed.
func NewGroup(log *history.Log) *Group {
	g := &Group{log: log, starts: make(chan func()), done: make(chan struct{})}
	// With Pdeathsig the kernel kills a child when the thread that started it ends. So one thread, which runs
	// until the group is closed, starts all processes.
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case start := <-g.starts:
				start()
			case <-g.done:
				return
			}
		}
	}()
	return g
}

// orderedEnd says which end was ordered for a process, so that its exit can be judged.
type orderedEnd int32

const (
	noEndOrdered orderedEnd = iota
	terminate               // SIGTERM: it has to exit with status 0
	kill                    // SIGKILL
)

// Proc is one process that a Group started.
type Proc struct {
	Name         string
	Pid          int
	log          *history.Log
	cmd          *exec.Cmd
	ordered      atomic.Int32 // an orderedEnd
	exited       chan struct{}
	state        *os.ProcessState // set when exited is closed
	output       *cappedLog
	allowedExits map[int]bool // exit statuses with which the process may end by itself
}

// Start starts a process. Its output goes to the file "log" in its folder, up to MaxLog bytes.
func (g *Group) Start(s Spec) (*Proc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, fmt.Errorf("start %s: the process group is closed", s.Name)
	}
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	out, err := openCappedLog(filepath.Join(s.Dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Command[0], s.Command[1:]...)
	cmd.Env, cmd.Dir, cmd.ExtraFiles = s.Env, s.Dir, s.Files
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = time.Second // for a child that still has its output open
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	g.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		out.Close()
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	p := &Proc{
		Name:         s.Name,
		Pid:          cmd.Process.Pid,
		log:          g.log,
		cmd:          cmd,
		exited:       make(chan struct{}),
		output:       out,
		allowedExits: map[int]bool{0: s.MayEnd, 1: s.MayFail},
	}
	if s.FDs > 0 {
		limit := unix.Rlimit{Cur: s.FDs, Max: s.FDs}
		if err := unix.Prlimit(p.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			besteffort.Signal(cmd.Process.Kill())
			_ = cmd.Wait() // the error is that it was killed
			return nil, fmt.Errorf("set descriptor limit of %s: %w", s.Name, err)
		}
	}
	g.procs = append(g.procs, p)
	p.record("start", "", false)
	go p.wait()
	return p, nil
}

// record adds an event of the process to the history.
func (p *Proc) record(how, detail string, bad bool) {
	p.log.Add(history.Event{Kind: history.Proc, Node: p.Name, Pid: p.Pid, How: how, Detail: detail, Bad: bad})
}

// wait waits for the end of the process and records whether it ended as ordered.
func (p *Proc) wait() {
	_ = p.cmd.Wait() // ProcessState says how the process ended
	p.state = p.cmd.ProcessState
	p.output.Close()
	p.record("exit", p.state.String(), !p.endedAsOrdered())
	close(p.exited)
}

// endedAsOrdered reports whether the process ended as ordered or, if no end was ordered, with an allowed exit
// status.
func (p *Proc) endedAsOrdered() bool {
	status, _ := p.state.Sys().(syscall.WaitStatus)
	switch orderedEnd(p.ordered.Load()) {
	case terminate:
		return p.state.ExitCode() == 0
	case kill:
		return status.Signaled() && status.Signal() == syscall.SIGKILL
	default:
		return p.allowedExits[p.state.ExitCode()]
	}
}

// Exited returns a channel that is closed once the process has ended.
func (p *Proc) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended.
func (p *Proc) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal records and sends a signal.
func (p *Proc) Signal(s syscall.Signal) error {
	p.record("signal", unix.SignalName(s), false)
	return p.cmd.Process.Signal(s)
}

// Pause stops the process with SIGSTOP for the given duration, or until ctx ends, and then continues it.
func (p *Proc) Pause(ctx context.Context, duration time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	backoff.Sleep(ctx, duration)
	return p.Signal(syscall.SIGCONT)
}

// Kill ends the process with SIGKILL.
func (p *Proc) Kill() error {
	p.ordered.Store(int32(kill))
	return p.Signal(syscall.SIGKILL)
}

// KillWait kills the process and waits until it has ended.
func (p *Proc) KillWait() error {
	if err := p.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// quitTimeout is the time that an overdue process has to write its stack traces after SIGQUIT.
const quitTimeout = time.Second

// Term ends the process with SIGTERM. If the process still runs after patience, Term kills it, and the
// history records that the process did not end as ordered.
func (p *Proc) Term(patience time.Duration) error {
	if !p.Running() {
		return nil
	}
	p.ordered.Store(int32(terminate))
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(patience):
	}
	p.record("overdue", fmt.Sprintf("still runs %v after SIGTERM", patience), true)
	besteffort.Signal(p.cmd.Process.Signal(syscall.SIGQUIT)) // a Go program writes its stack traces to its log
	select {
	case <-p.exited:
		return nil
	case <-time.After(quitTimeout):
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// readyPollInterval is the time between two readiness checks of a starting process.
const readyPollInterval = 10 * time.Millisecond

// WaitReady requests url until it answers 200. It returns an error if the process or ctx ends first.
func (p *Proc) WaitReady(ctx context.Context, url string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("check readiness of %s: %w", p.Name, err)
		}
		if resp, err := client.Do(req); err == nil {
			besteffort.Close(resp.Body)
			if resp.StatusCode == http.StatusOK {
				p.record("ready", "", false)
				return nil
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready: %s; its log: %s", p.Name, p.state, p.output.path)
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; its log: %s", p.Name, ctx.Err(), p.output.path)
		case <-time.After(readyPollInterval):
		}
	}
}

// Close ends all running processes at the same time, each within patience, and waits until they have ended.
// Later calls do nothing.
func (g *Group) Close(patience time.Duration) {
	g.mu.Lock()
	procs, alreadyClosed := g.procs, g.closed
	g.closed = true
	g.mu.Unlock()
	if alreadyClosed {
		return
	}
	var ending sync.WaitGroup
	for _, p := range procs {
		ending.Add(1)
		go func() {
			defer ending.Done()
			if p.Running() {
				// a process that SIGSTOP has stopped can't end after SIGTERM
				besteffort.Signal(p.cmd.Process.Signal(syscall.SIGCONT))
				// Term kills a process that does not end, and records that
				_ = p.Term(patience)
			}
		}()
	}
	ending.Wait()
	close(g.done)
}

// Running lists the processes that have not ended.
func (g *Group) Running() []*Proc {
	g.mu.Lock()
	defer g.mu.Unlock()
	var running []*Proc
	for _, p := range g.procs {
		if p.Running() {
			running = append(running, p)
		}
	}
	return running
}

// ApplyFault applies a fault of the given kind to the process. "pause" stops the process for the given
// duration. "kill" kills it, and then waits for the duration. "restart" ends it within patience. mustStart
// reports whether the caller has to start the process again.
func (p *Proc) ApplyFault(ctx context.Context, kind string,
	duration, patience time.Duration) (mustStart bool, err error) {
	switch kind {
	case "pause":
		return false, p.Pause(ctx, duration)
	case "kill":
		if err := p.KillWait(); err != nil {
			return false, err
		}
		backoff.Sleep(ctx, duration)
		return true, nil
	case "restart":
		return true, p.Term(patience)
	}
	return false, fmt.Errorf("apply fault %q to process %s: unknown kind of fault", kind, p.Name)
}
