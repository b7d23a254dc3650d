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
	"wrenspread/internal/besteffort"
)

const (
	// before a process that ended by itself is started again; it doubles
	minRestartBackoff = 500 * time.Millisecond
	maxRestartBackoff = 30 * time.Second
	stableRunTime     = time.Minute // one that ran so long has its rest begin anew
	readyInterval     = 200 * time.Millisecond
	readyTimeout      = 2 * time.Second // for one look
)

// supervisor keeps one server's process: the version that is wanted, started again
// when it ends by itself, replaced when another version is wanted.
type supervisor struct {
	server     Server
	log        *slog.Logger
	output     *os.File // of its processes
	recordFile string   // the file for a process's trace
	http       *http.Client
	socket     *os.File // of the clients, where versions hand over; nil: not had yet

	mu      sync.Mutex
	status  Status
	changed chan struct{} // closed and replaced when the status changes
	wake    chan struct{} // a version may be wanted
}

func newSupervisor(s Server, version, trace string, out *os.File, log *slog.Logger) *supervisor {
	return &supervisor{
		server:     s,
		log:        log.With("server", s.Name),
		recordFile: trace,
		output:     out,
		changed:    make(chan struct{}),
		wake:       make(chan struct{}, 1),
		http:       &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		status: Status{
			Name:          s.Name,
			Zone:          s.Zone,
			Type:          s.Type,
			Cell:          s.Cell,
			Address:       s.Address,
			Handover:      s.Handover,
			WantedVersion: version,
			Version:       version,
			Reason:        "it has not been started",
		},
	}
}

// Status is the server as it is now, and a channel that is closed when that changes.
func (k *supervisor) current() (Status, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status, k.changed
}

func (k *supervisor) updateStatus(change func(*Status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.status
	if change(&k.status); k.status != before {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// setDesired has another version run, or the same go on.
func (k *supervisor) setDesired(o DesiredState) {
	k.updateStatus(func(s *Status) { s.WantedVersion, s.KeepDraining = o.Version, o.KeepDraining })
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run keeps the process until ctx ends. The process goes on then.
func (k *supervisor) run(ctx context.Context) {
	rest := minRestartBackoff
	for ctx.Err() == nil {
		status, _ := k.current()
		version := status.WantedVersion
		if version == status.RejectedVersion {
			version = status.Version // that ran, and ended since
		}
		began := time.Now()
		told, err := k.runProcess(ctx, version)
		if ctx.Err() != nil || told {
			rest = minRestartBackoff
			k.updateStatus(func(s *Status) { s.Restarts = 0 })
			continue
		}
		k.log.Error("process ended unexpectedly", "version", version, "after", time.Since(began), "err", err)
		k.updateStatus(
			func(s *Status) { s.Restarts, s.Reason = s.Restarts+1, fmt.Sprintf("its process ended: %v", err) },
		)
		if time.Since(began) > stableRunTime {
			rest = minRestartBackoff
		}
		k.sleep(ctx, rest)
		rest = min(2*rest, maxRestartBackoff)
	}
}

// sleep waits, or until another version is wanted.
func (k *supervisor) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// runProcess runs one process to its end: its own, or the one that it is told to come to.
// At the end of the agent it is left running, for the agent's successor.
func (k *supervisor) runProcess(ctx context.Context, version string) (told bool, err error) {
	p, err := k.adoptOrStart(version)
	if err != nil {
		return false, err
	}
	defer func() { p.close() }()
	k.publishProcess(p)
	looking, stop := context.WithCancel(ctx)
	defer func() { stop() }()
	var looks sync.WaitGroup
	looks.Go(func() { k.checkReadiness(looking, p.ControlIndex) })
	for over := false; !over; {
		if s, _ := k.current(); s.WantedVersion != p.Version && k.server.Handover {
			if s.WantedVersion != s.RejectedVersion {
				if next := k.upgrade(ctx, p, s.WantedVersion); next != nil {
					stop()
					looks.Wait()
					if err := k.stopProcess(p); err != nil { // it has handed off; the next one goes on all the same
						k.log.Debug("the previous process ended with an error", "version", p.Version, "err", err)
					}
					p.close()
					p = next
					k.publishProcess(p)
					looking, stop = context.WithCancel(ctx)
					looks.Go(func() { k.checkReadiness(looking, p.ControlIndex) })
				}
				continue
			}
		} else if s.WantedVersion != p.Version {
			stop()
			looks.Wait()
			told, err = true, k.stopProcess(p)
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
		k.updateStatus(func(s *Status) { s.Running, s.Ready, s.Reason = false, false, "its process has ended" })
	}
	return told, err
}

// adoptOrStart takes up the process that an earlier agent left, or starts one.
func (k *supervisor) adoptOrStart(version string) (*process, error) {
	p, err := adopt(k.recordFile)
	if err != nil {
		k.log.Warn("adopting an earlier process failed", "err", err)
	}
	if p != nil {
		k.log.Info("taken up", "version", p.Version, "pid", p.PID)
		return p, nil
	}
	return k.start(nil, version, 0, k.recordFile)
}

// start starts a process. beside is the one that runs already, if one does.
func (k *supervisor) start(beside *process, version string, control int, trace string) (*process, error) {
	args, dir := k.server.command(version)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, k.output, k.output
	if k.server.Handover {
		if err := k.open(beside); err != nil {
			return nil, err
		}
		cmd.ExtraFiles = []*os.File{k.socket}
		cmd.Env = append(os.Environ(), "GW_ACCEPT_FD=3", "GW_CONTROL="+k.server.Control[control])
	}
	p, err := startProcess(cmd, version, control, trace)
	if err == nil {
		k.log.Info("started", "version", version, "pid", p.PID)
	}
	return p, err
}

// publishProcess puts a process into the status.
func (k *supervisor) publishProcess(p *process) {
	k.updateStatus(func(s *Status) {
		s.Version, s.Running, s.Ready, s.Reason, s.StartedAtMS, s.RejectedVersion = p.Version, true, false, "it does not answer yet", p.StartedAtMS, ""
		if k.server.Handover {
			s.Control = k.server.Control[p.ControlIndex]
		}
	})
}

// stopProcess tells a process to end, and kills it after its grace.
func (k *supervisor) stopProcess(p *process) error {
	k.updateStatus(func(s *Status) { s.Ready, s.Reason = false, "it is told to end" })
	if err := p.signal(syscall.SIGTERM); err != nil {
		return <-p.ended // it has ended just now
	}
	t := time.NewTimer(k.server.grace())
	defer t.Stop()
	select {
	case err := <-p.ended:
		return err
	case <-t.C:
		k.log.Warn("process does not end, killing it", "pid", p.PID, "grace", k.server.grace())
		besteffort.Signal(p.signal(syscall.SIGKILL))
		return <-p.ended
	}
}

// checkReadiness asks the server again and again whether it is ready.
func (k *supervisor) checkReadiness(ctx context.Context, control int) {
	for ctx.Err() == nil {
		err := k.probeReady(ctx, control)
		if ctx.Err() != nil {
			return
		}
		k.updateStatus(func(s *Status) {
			if s.Ready = err == nil; err != nil {
				s.Reason = err.Error()
			} else {
				s.Reason = ""
			}
		})
		backoff.Sleep(ctx, readyInterval)
	}
}

func (k *supervisor) probeReady(ctx context.Context, control int) error {
	address := k.server.Address
	if k.server.Handover {
		address = k.server.Control[control]
	}
	if k.server.Ready == "" {
		c, err := (&net.Dialer{Timeout: readyTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			besteffort.Close(c)
		}
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+k.server.Ready, nil)
	if err != nil {
		return err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return err
	}
	besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", k.server.Ready, resp.Status)
	}
	return nil
}
