package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// After a process has ended by itself, the wait before its restart is minRestartBackoff. The wait doubles
	// with each further restart, up to maxRestartBackoff.
	minRestartBackoff = 500 * time.Millisecond
	maxRestartBackoff = 30 * time.Second
	stableRunTime     = time.Minute            // a process that ran for longer resets the wait
	readyInterval     = 200 * time.Millisecond // between two readiness checks
	readyTimeout      = 2 * time.Second        // for one readiness check
)

// supervisor keeps one server's process running. It starts the wanted version, starts it again when its
// process ends by itself, and replaces it when another version is wanted.
type supervisor struct {
	server     Server
	log        *slog.Logger
	output     *os.File // standard output and error of the server's processes
	recordFile string   // path of the record of the running process
	http       *http.Client
	socket     *os.File // the clients' socket of a server with Handoff; nil: not opened yet

	mu      sync.Mutex
	status  Status
	changed chan struct{} // closed and replaced when the status changes
	wake    chan struct{} // signalled when the desired state was set
}

// newSupervisor returns a supervisor that is to run a version. Its process is not started yet.
func newSupervisor(s Server, version, recordFile string, output *os.File, log *slog.Logger) *supervisor {
	return &supervisor{
		server:     s,
		log:        log.With("server", s.Name),
		recordFile: recordFile,
		output:     output,
		changed:    make(chan struct{}),
		wake:       make(chan struct{}, 1),
		http:       &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		status: Status{
			Name:          s.Name,
			Zone:          s.Zone,
			Type:          s.Type,
			Cell:          s.Cell,
			Address:       s.Address,
			Handoff:       s.Handoff,
			WantedVersion: version,
			Version:       version,
			Reason:        "it has not been started",
		},
	}
}

// current returns the server's status, and a channel that is closed when it changes.
func (k *supervisor) current() (Status, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status, k.changed
}

// updateStatus applies change to the status, and wakes the goroutines that wait for a change if the status
// differs.
func (k *supervisor) updateStatus(change func(*Status)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.status
	if change(&k.status); k.status != before {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// setDesired sets the desired state of the server.
func (k *supervisor) setDesired(desired DesiredState) {
	k.updateStatus(func(s *Status) { s.WantedVersion, s.KeepDraining = desired.Version, desired.KeepDraining })
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run adopts or starts the server's process, and starts it again each time it ends, until ctx ends; run then
// leaves the process running for the next agent. The process has the wanted version, or the current version
// if the wanted one was rejected. After an unexpected end, run updates the status and waits, from
// minRestartBackoff up to maxRestartBackoff, twice as long each time unless the process ran for
// stableRunTime.
func (k *supervisor) run(ctx context.Context) {
	wait := minRestartBackoff
	for ctx.Err() == nil {
		status, _ := k.current()
		version := status.WantedVersion
		if version == status.RejectedVersion {
			version = status.Version // the version that is still running
		}
		began := time.Now()
		replaced, err := k.runProcess(ctx, version)
		if ctx.Err() != nil || replaced {
			wait = minRestartBackoff
			k.updateStatus(func(s *Status) { s.Restarts = 0 })
			continue
		}
		k.log.Error("process ended unexpectedly", "version", version, "after", time.Since(began), "err", err)
		k.updateStatus(
			func(s *Status) { s.Restarts, s.Reason = s.Restarts+1, fmt.Sprintf("its process ended: %v", err) },
		)
		if time.Since(began) > stableRunTime {
			wait = minRestartBackoff
		}
		k.sleep(ctx, wait)
		wait = min(2*wait, maxRestartBackoff)
	}
}

// sleep waits for d, until the desired state is set, or until ctx ends.
func (k *supervisor) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// runningProcess is the process that a supervisor is running, with the goroutine that checks its readiness.
type runningProcess struct {
	*process
	supervisor *supervisor
	stopChecks context.CancelFunc
	checks     sync.WaitGroup
}

// watchProcess publishes a process in the status, and checks its readiness until the checks are stopped.
func (k *supervisor) watchProcess(ctx context.Context, p *process) *runningProcess {
	running := &runningProcess{process: p, supervisor: k}
	k.publishProcess(p)
	ctx, running.stopChecks = context.WithCancel(ctx)
	running.checks.Go(func() { k.checkReadiness(ctx, p.ControlIndex) })
	return running
}

// unwatch stops the readiness checks and waits until they have ended.
func (r *runningProcess) unwatch() {
	r.stopChecks()
	r.checks.Wait()
}

// runProcess adopts or starts a process and returns when it has ended. replaced means that runProcess ended
// the process because another version is wanted. For a server with Handoff, runProcess does not return in
// that case, but continues with the process of the wanted version. When ctx ends, runProcess returns and
// leaves the process running for the next agent.
func (k *supervisor) runProcess(ctx context.Context, version string) (replaced bool, err error) {
	p, err := k.adoptOrStart(version)
	if err != nil {
		return false, err
	}
	running := k.watchProcess(ctx, p)
	defer func() { running.close() }()
	for finished := false; !finished; {
		status, _ := k.current()
		if status.WantedVersion != running.Version {
			if !k.server.Handoff {
				running.unwatch()
				replaced, err = true, k.stopProcess(running.process)
				break
			}
			if status.WantedVersion != status.RejectedVersion {
				running = k.upgradeRunning(ctx, running, status.WantedVersion)
				continue
			}
		}
		select {
		case err = <-running.ended:
			finished = true
		case <-k.wake:
		case <-ctx.Done():
			finished = true
		}
	}
	running.unwatch()
	if ctx.Err() == nil {
		k.updateStatus(func(s *Status) { s.Running, s.Ready, s.Reason = false, false, "its process has ended" })
	}
	return replaced, err
}

// upgradeRunning replaces a process by one of another version, and returns the new process. If the new
// version does not get ready, it returns the previous process, which is still running.
func (k *supervisor) upgradeRunning(
	ctx context.Context, running *runningProcess, version string,
) *runningProcess {
	next := k.upgrade(ctx, running.process, version)
	if next == nil {
		return running
	}
	running.unwatch()
	// The previous process has handed off, so an error at its end does not affect the next process.
	if err := k.stopProcess(running.process); err != nil {
		k.log.Debug("the previous process ended with an error", "version", running.Version, "err", err)
	}
	running.close()
	return k.watchProcess(ctx, next)
}
