package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"indigotack/internal/pause"
)

const (
	firstRest = 500 * time.Millisecond // before a process that ended by itself is started again; it doubles
	mostRest  = 30 * time.Second
	steady    = time.Minute // one that ran so long has its rest begin anew
	readyLook = 200 * time.Millisecond
	readyTime = 2 * time.Second // for one look
)

// keeping keeps one server's process: the version that is wanted, started again
// when it ends by itself, replaced when another version is wanted.
type keeping struct {
	s     Server
	log   *slog.Logger
	out   *os.File // of its processes
	trace string   // the file for a process's trace
	http  *http.Client

	mu      sync.Mutex
	status  Status
	changed chan struct{} // closed and replaced when the status changes
	wake    chan struct{} // a version may be wanted
}

func newKeeping(s Server, version, trace string, out *os.File, log *slog.Logger) *keeping {
	return &keeping{s: s, log: log.With("server", s.Name), trace: trace, out: out, changed: make(chan struct{}), wake: make(chan struct{}, 1),
		http:   &http.Client{Timeout: readyTime, Transport: &http.Transport{DisableKeepAlives: true}},
		status: Status{Name: s.Name, Want: version, Version: version, Why: "it has not been started"}}
}

// Status is the server as it is now, and a channel that is closed when that changes.
func (k *keeping) get() (Status, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status, k.changed
}

func (k *keeping) set(change func(*Status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.status
	if change(&k.status); k.status != before {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// want has another version run, or the same go on.
func (k *keeping) want(o Order) {
	k.set(func(s *Status) { s.Want, s.Quiet = o.Version, o.Quiet })
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run keeps the process until ctx ends, and then ends it.
func (k *keeping) run(ctx context.Context) {
	rest := firstRest
	for ctx.Err() == nil {
		status, _ := k.get()
		version := status.Want
		began := time.Now()
		err := k.once(ctx, version)
		status, _ = k.get()
		if ctx.Err() != nil || status.Want != version {
			rest = firstRest
			k.set(func(s *Status) { s.Restarts = 0 })
			continue // it was told to end
		}
		k.log.Error("its process ended by itself", "version", version, "after", time.Since(began), "err", err)
		k.set(func(s *Status) { s.Restarts, s.Why = s.Restarts+1, fmt.Sprintf("its process ended: %v", err) })
		if time.Since(began) > steady {
			rest = firstRest
		}
		k.sleep(ctx, rest)
		rest = min(2*rest, mostRest)
	}
}

// sleep waits, or until another version is wanted.
func (k *keeping) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// once runs one process to its end: its own, or the one that is asked of it. At the
// end of the agent it is left running, for the agent's successor.
func (k *keeping) once(ctx context.Context, version string) error {
	p, err := k.begin(version)
	if err != nil {
		return err
	}
	defer p.close()
	k.set(func(s *Status) {
		s.Version, s.Running, s.Ready, s.Why, s.Since = p.Version, true, false, "it does not answer yet", p.Since
	})
	looking, stop := context.WithCancel(ctx)
	var looks sync.WaitGroup
	looks.Go(func() { k.look(looking) })
	for over := false; !over; {
		if s, _ := k.get(); s.Want != p.Version {
			stop()
			looks.Wait()
			err = k.end(p)
			break
		}
		select {
		case err = <-p.ended:
			over = true
		case <-k.wake:
		case <-ctx.Done():
			over = true
		}
	}
	stop()
	looks.Wait()
	if ctx.Err() == nil {
		k.set(func(s *Status) { s.Running, s.Ready, s.Why = false, false, "its process has ended" })
	}
	return err
}

// begin takes up the process that an earlier agent left, or starts one.
func (k *keeping) begin(version string) (*process, error) {
	p, err := adopt(k.trace)
	if err != nil {
		k.log.Warn("an earlier process is not taken up", "err", err)
	}
	if p != nil {
		k.log.Info("taken up", "version", p.Version, "pid", p.Pid)
		return p, nil
	}
	args, dir := k.s.command(version)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, k.out, k.out
	if p, err = startProcess(cmd, version, k.trace); err == nil {
		k.log.Info("started", "version", version, "pid", p.Pid)
	}
	return p, err
}

// end tells a process to end, and kills it after its grace.
func (k *keeping) end(p *process) error {
	k.set(func(s *Status) { s.Ready, s.Why = false, "it is told to end" })
	if err := p.signal(syscall.SIGTERM); err != nil {
		return <-p.ended // it has ended just now
	}
	t := time.NewTimer(k.s.grace())
	defer t.Stop()
	select {
	case err := <-p.ended:
		return err
	case <-t.C:
		k.log.Warn("it does not end and is killed", "pid", p.Pid, "grace", k.s.grace())
		p.signal(syscall.SIGKILL)
		return <-p.ended
	}
}

// look asks the server again and again whether it is ready.
func (k *keeping) look(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.answers(ctx)
		if ctx.Err() != nil {
			return
		}
		k.set(func(s *Status) {
			if s.Ready = err == nil; err != nil {
				s.Why = err.Error()
			} else {
				s.Why = ""
			}
		})
		pause.For(ctx, readyLook)
	}
}

func (k *keeping) answers(ctx context.Context) error {
	if k.s.Ready == "" {
		c, err := (&net.Dialer{Timeout: readyTime}).DialContext(ctx, "tcp", k.s.Address)
		if err == nil {
			c.Close()
		}
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.s.Address+k.s.Ready, nil)
	if err != nil {
		return err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", k.s.Ready, resp.Status)
	}
	return nil
}
