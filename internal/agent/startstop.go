package agent

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"wrenspread/internal/besteffort"
)

// adoptOrStart adopts the process that a previous agent left running. If there is none, it starts version.
func (k *supervisor) adoptOrStart(version string) (*process, error) {
	p, err := adopt(k.recordFile)
	if err != nil {
		k.log.Warn("adopting the process of a previous agent failed", "err", err)
	}
	if p != nil {
		k.log.Info("process adopted", "version", p.Version, "pid", p.PID)
		return p, nil
	}
	return k.start(nil, version, 0, k.recordFile)
}

// start starts a process of a version at the control address of index control. running is the process that is
// running already, or nil.
func (k *supervisor) start(
	running *process, version string, control int, recordFile string,
) (*process, error) {
	args, dir := k.server.command(version)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, k.output, k.output
	if k.server.Handoff {
		if err := k.openSocket(running); err != nil {
			return nil, err
		}
		cmd.ExtraFiles = []*os.File{k.socket}
		cmd.Env = append(os.Environ(), "GW_ACCEPT_FD=3", "GW_CONTROL="+k.server.Control[control])
	}
	p, err := startProcess(cmd, version, control, recordFile)
	if err == nil {
		k.log.Info("process started", "version", version, "pid", p.PID)
	}
	return p, err
}

// publishProcess records a process in the status as running and not ready yet.
func (k *supervisor) publishProcess(p *process) {
	k.updateStatus(func(s *Status) {
		s.Version = p.Version
		s.Running = true
		s.Ready = false
		s.Reason = "it does not answer yet"
		s.StartedAtMS = p.StartedAtMS
		s.RejectedVersion = ""
		if k.server.Handoff {
			s.Control = k.server.Control[p.ControlIndex]
		}
	})
}

// stopProcess sends SIGTERM to a process, and SIGKILL after the server's grace. It waits for the end of the
// process and returns its result.
func (k *supervisor) stopProcess(p *process) error {
	k.updateStatus(func(s *Status) { s.Ready, s.Reason = false, "it is told to end" })
	if err := p.signal(syscall.SIGTERM); err != nil {
		return <-p.ended // the process has just ended
	}
	t := time.NewTimer(k.server.grace())
	defer t.Stop()
	select {
	case err := <-p.ended:
		return err
	case <-t.C:
		k.log.Warn("process did not end within its grace, killing it", "pid", p.PID, "grace", k.server.grace())
		besteffort.Signal(p.signal(syscall.SIGKILL))
		return <-p.ended
	}
}
