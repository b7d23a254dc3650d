package agent

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"wrenspread/internal/besteffort"
)

// adoptOrStart adopts the process that an earlier agent left running, or starts one.
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

// start starts a process; beside is the one that runs already, or nil.
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
		s.Version = p.Version
		s.Running = true
		s.Ready = false
		s.Reason = "it does not answer yet"
		s.StartedAtMS = p.StartedAtMS
		s.RejectedVersion = ""
		if k.server.Handover {
			s.Control = k.server.Control[p.ControlIndex]
		}
	})
}

// stopProcess sends SIGTERM to a process, and SIGKILL after its grace.
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
