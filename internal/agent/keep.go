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

	"wrenspread/internal/backoff"
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
	s      Server
	log    *slog.Logger
	out    *os.File // of its processes
	trace  string   // the file for a process's trace
	http   *http.Client
	socket *os.File // of the clients, where versions hand over; nil: not had yet

	mu      sync.Mutex
	status  Status
	changed chan struct{} // closed and replaced when the status changes
	wake    chan struct{} // a version may be wanted
}

func newKeeping(s Server, version, trace string, out *os.File, log *slog.Logger) *keeping {
	return &keeping{s: s, log: log.With("server", s.Name), trace: trace, out: out, changed: make(chan struct{}), wake: make(chan struct{}, 1),
		http: &http.Client{Timeout: readyTime, Transport: &http.Transport{DisableKeepAlives: true}},
		status: Status{Name: s.Name, Zone: s.Zone, Type: s.Type, Group: s.Group, Address: s.Address, Handover: s.Handover, Want: version, Version: version,
			Why: "it has not been started"}}
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

// run keeps the process until ctx ends. The process goes on then.
func (k *keeping) run(ctx context.Context) {
	rest := firstRest
	for ctx.Err() == nil {
		status, _ := k.get()
		version := status.Want
		if version == status.Refused {
			version = status.Version // that ran, and ended since
		}
		began := time.Now()
		told, err := k.once(ctx, version)
		if ctx.Err() != nil || told {
			rest = firstRest
			k.set(func(s *Status) { s.Restarts = 0 })
			continue
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

// once runs one process to its end: its own, or the one that it is told to come to.
// At the end of the agent it is left running, for the agent's successor.
func (k *keeping) once(ctx context.Context, version string) (told bool, err error) {
	p, err := k.begin(version)
	if err != nil {
		return false, err
	}
	defer func() { p.close() }()
	k.show(p)
	looking, stop := context.WithCancel(ctx)
	defer func() { stop() }()
	var looks sync.WaitGroup
	looks.Go(func() { k.look(looking, p.Control) })
	for over := false; !over; {
		if s, _ := k.get(); s.Want != p.Version && k.s.Handover {
			if s.Want != s.Refused {
				if next := k.upgrade(ctx, p, s.Want); next != nil {
					stop()
					looks.Wait()
					k.end(p) // it lets go by itself; its end is no error of the one that goes on
					p.close()
					p = next
					k.show(p)
					looking, stop = context.WithCancel(ctx)
					looks.Go(func() { k.look(looking, p.Control) })
				}
				continue
			}
		} else if s.Want != p.Version {
			stop()
			looks.Wait()
			told, err = true, k.end(p)
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
	return told, err
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
	return k.start(nil, version, 0, k.trace)
}

// start starts a process. beside is the one that runs already, if one does.
func (k *keeping) start(beside *process, version string, control int, trace string) (*process, error) {
	args, dir := k.s.command(version)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, k.out, k.out
	if k.s.Handover {
		if err := k.open(beside); err != nil {
			return nil, err
		}
		cmd.ExtraFiles = []*os.File{k.socket}
		cmd.Env = append(os.Environ(), "GW_ACCEPT_FD=3", "GW_CONTROL="+k.s.Control[control])
	}
	p, err := startProcess(cmd, version, control, trace)
	if err == nil {
		k.log.Info("started", "version", version, "pid", p.Pid)
	}
	return p, err
}

// show puts a process into the status.
func (k *keeping) show(p *process) {
	k.set(func(s *Status) {
		s.Version, s.Running, s.Ready, s.Why, s.Since, s.Refused = p.Version, true, false, "it does not answer yet", p.Since, ""
		if k.s.Handover {
			s.Control = k.s.Control[p.Control]
		}
	})
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
func (k *keeping) look(ctx context.Context, control int) {
	for ctx.Err() == nil {
		err := k.answers(ctx, control)
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
		backoff.Sleep(ctx, readyLook)
	}
}

func (k *keeping) answers(ctx context.Context, control int) error {
	address := k.s.Address
	if k.s.Handover {
		address = k.s.Control[control]
	}
	if k.s.Ready == "" {
		c, err := (&net.Dialer{Timeout: readyTime}).DialContext(ctx, "tcp", address)
		if err == nil {
			c.Close()
		}
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+k.s.Ready, nil)
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
