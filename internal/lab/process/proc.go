// Package process starts the real programs that the lab plays with, watches them,
// and ends them: by id, also when the lab itself is killed.
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

// Spec says what to start.
type Spec struct {
	Name    string // of the party, the same after a restart
	Command []string
	Env     []string // in place of the lab's own environment
	Dir     string   // its folder; its log is there too
	Files   []*os.File
	FDs     uint64 // limit on descriptors; 0: the lab's own
	// it may end by itself with an error of its own (status 1), as one that finds its folder damaged
	MayFail bool
	MayEnd  bool // it may end by itself once its work is done (status 0)
}

// Group owns the processes of a run.
type Group struct {
	log    *history.Log
	starts chan func()
	mu     sync.Mutex
	procs  []*Proc
	ended  bool
	done   chan struct{}
}

// NewGroup makes a group whose events go to log. It must be closed.
func NewGroup(log *history.Log) *Group {
	g := &Group{log: log, starts: make(chan func()), done: make(chan struct{})}
	// The kernel kills a child when the thread that started it ends, so one thread starts all and never ends
	// before the lab.
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case f := <-g.starts:
				f()
			case <-g.done:
				return
			}
		}
	}()
	return g
}

// order is what a process has been told to do.
type order int32

const (
	serve order = iota
	end         // SIGTERM: it owes an exit with 0
	die         // SIGKILL
)

// Proc is one process.
type Proc struct {
	Name   string
	Pid    int
	log    *history.Log
	cmd    *exec.Cmd
	order  atomic.Int32
	exited chan struct{}
	state  *os.ProcessState // once exited
	out    *capped
	may    map[int]bool // statuses with which it may end by itself
}

// Start starts a process. Its output goes to a file in its folder, as far as MaxLog.
func (g *Group) Start(s Spec) (*Proc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil, errors.New("the group has ended")
	}
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("starting %s: %w", s.Name, err)
	}
	out, err := newCapped(filepath.Join(s.Dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Command[0], s.Command[1:]...)
	cmd.Env, cmd.Dir, cmd.ExtraFiles = s.Env, s.Dir, s.Files
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = time.Second // for whoever still holds its output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	g.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		out.Close()
		return nil, fmt.Errorf("starting %s: %w", s.Name, err)
	}
	p := &Proc{
		Name:   s.Name,
		Pid:    cmd.Process.Pid,
		log:    g.log,
		cmd:    cmd,
		exited: make(chan struct{}),
		out:    out,
		may:    map[int]bool{0: s.MayEnd, 1: s.MayFail},
	}
	if s.FDs > 0 {
		limit := unix.Rlimit{Cur: s.FDs, Max: s.FDs}
		if err := unix.Prlimit(p.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			besteffort.Signal(cmd.Process.Kill())
			_ = cmd.Wait() // it was killed
			return nil, fmt.Errorf("limiting %s: %w", s.Name, err)
		}
	}
	g.procs = append(g.procs, p)
	p.say("start", "", false)
	go p.wait()
	return p, nil
}

func (p *Proc) say(how, detail string, bad bool) {
	p.log.Add(history.Event{Kind: history.Proc, Node: p.Name, Pid: p.Pid, How: how, Detail: detail, Bad: bad})
}

func (p *Proc) wait() {
	_ = p.cmd.Wait() // its error says no more than the state does
	p.state = p.cmd.ProcessState
	p.out.Close()
	p.say("exit", p.state.String(), !p.asOrdered())
	close(p.exited)
}

func (p *Proc) asOrdered() bool {
	status, _ := p.state.Sys().(syscall.WaitStatus)
	switch order(p.order.Load()) {
	case end:
		return p.state.ExitCode() == 0
	case die:
		return status.Signaled() && status.Signal() == syscall.SIGKILL
	default:
		return p.may[p.state.ExitCode()]
	}
}

// Exited is closed once the process has ended.
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

// Signal sends a signal that does not end the process: SIGSTOP, SIGCONT, SIGHUP.
func (p *Proc) Signal(s syscall.Signal) error {
	p.say("signal", unix.SignalName(s), false)
	return p.cmd.Process.Signal(s)
}

// Pause has the process stand still for that time, or until ctx ends.
func (p *Proc) Pause(ctx context.Context, last time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	backoff.Sleep(ctx, last)
	return p.Signal(syscall.SIGCONT)
}

// Kill ends the process with SIGKILL.
func (p *Proc) Kill() error {
	p.order.Store(int32(die))
	return p.Signal(syscall.SIGKILL)
}

// KillWait kills the process, and waits until it has ended.
func (p *Proc) KillWait() error {
	if err := p.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// quitTime is what an overdue process has to write down what it does.
const quitTime = time.Second

// Term orders the process to end. One that still runs after patience is killed,
// which the history tells as an end that was not as ordered.
func (p *Proc) Term(patience time.Duration) error {
	if !p.Running() {
		return nil
	}
	p.order.Store(int32(end))
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(patience):
	}
	p.say("overdue", fmt.Sprintf("still runs %v after SIGTERM", patience), true)
	besteffort.Signal(p.cmd.Process.Signal(syscall.SIGQUIT)) // a Go program writes into its log what it hangs on
	select {
	case <-p.exited:
		return nil
	case <-time.After(quitTime):
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.exited
	return nil
}

// askEvery is how often a process is asked whether it is ready.
const askEvery = 10 * time.Millisecond

// WaitReady asks url until it answers 200, the process ends, or ctx does.
func (p *Proc) WaitReady(ctx context.Context, url string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("asking %s: %w", p.Name, err)
		}
		if resp, err := client.Do(req); err == nil {
			besteffort.Close(resp.Body)
			if resp.StatusCode == http.StatusOK {
				p.say("ready", "", false)
				return nil
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready: %s; its log: %s", p.Name, p.state, p.out.path)
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; its log: %s", p.Name, ctx.Err(), p.out.path)
		case <-time.After(askEvery):
		}
	}
}

// Close ends all that still runs, one patience for all together, and waits for it.
func (g *Group) Close(patience time.Duration) {
	g.mu.Lock()
	procs, again := g.procs, g.ended
	g.ended = true
	g.mu.Unlock()
	if again {
		return
	}
	var ends sync.WaitGroup
	for _, p := range procs {
		ends.Add(1)
		go func() {
			defer ends.Done()
			if p.Running() {
				besteffort.Signal(p.cmd.Process.Signal(syscall.SIGCONT)) // one that is stopped could not end
				_ = p.Term(patience)                                     // one that does not end is killed and said so
			}
		}()
	}
	ends.Wait()
	close(g.done)
}

// Running lists the processes that have not ended.
func (g *Group) Running() []*Proc {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*Proc
	for _, p := range g.procs {
		if p.Running() {
			all = append(all, p)
		}
	}
	return all
}

// Suffer pauses, kills or ends a process as a fault orders: pauses it for last,
// kills it and waits for so long, or tells it to end and has patience. again says
// that the one which runs it is to start it anew.
func (p *Proc) Suffer(ctx context.Context, do string, last, patience time.Duration) (again bool, err error) {
	switch do {
	case "pause":
		return false, p.Pause(ctx, last)
	case "kill":
		if err := p.KillWait(); err != nil {
			return false, err
		}
		backoff.Sleep(ctx, last)
		return true, nil
	case "restart":
		return true, p.Term(patience)
	}
	return false, fmt.Errorf("%s can't be done to %s", do, p.Name)
}
