package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
)

// process is a server's process: a child of this agent, or one that an agent
// before it started and that outlived it.
type process struct {
	ProcessRecord
	fd    int // pidfd, so that a signal can't reach another process
	ended chan error
}

// ProcessRecord is what an agent keeps of a process that it started.
type ProcessRecord struct {
	PID          int    `json:"pid"`
	StartTicks   uint64 `json:"start"` // in the kernel's ticks since boot: a number may be used again
	Version      string `json:"version"`
	StartedAtMS  int64  `json:"since_ms"`
	ControlIndex int    `json:"control,omitempty"` // which of the control addresses it has
}

const (
	maxRecordFile    = 4 << 10
	exitPollInterval = 500 * time.Millisecond
)

// startProcess starts a command and stores its record in a file.
func startProcess(cmd *exec.Cmd, version string, control int, trace string) (*process, error) {
	// a signal to the agent's group is not one to its servers
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{
		ProcessRecord: ProcessRecord{
			PID:          cmd.Process.Pid,
			Version:      version,
			StartedAtMS:  time.Now().UnixMilli(),
			ControlIndex: control,
		},
		ended: make(chan error, 1),
	}
	err := p.open()
	if err == nil {
		err = p.writeRecord(trace)
	}
	if err != nil {
		besteffort.Signal(cmd.Process.Kill())
		_ = cmd.Wait() // it was killed; the error that led to this is returned
		p.close()
		return nil, err
	}
	go func() { p.ended <- cmd.Wait() }()
	return p, nil
}

func (p *process) open() (err error) {
	if p.StartTicks, err = processStartTicks(p.PID); err != nil {
		return err
	}
	p.fd, err = unix.PidfdOpen(p.PID, 0)
	if err != nil {
		p.fd = 0
		return fmt.Errorf("process %d: %w", p.PID, err)
	}
	return nil
}

func (p *process) writeRecord(trace string) error {
	raw, err := json.Marshal(p.ProcessRecord)
	if err == nil {
		err = checksumfile.Write(trace, raw)
	}
	if err != nil {
		return fmt.Errorf("keeping the trace of process %d: %w", p.PID, err)
	}
	return nil
}

// adopt finds the process of an earlier agent by its record; nil where it has ended.
func adopt(trace string) (*process, error) {
	raw, err := checksumfile.Read(trace, maxRecordFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	p := &process{ended: make(chan error, 1)}
	if err == nil {
		err = json.Unmarshal(raw, &p.ProcessRecord)
	}
	if err != nil {
		return nil, fmt.Errorf("the trace of a process: %w", err)
	}
	was := p.StartTicks
	if err := p.open(); err != nil || p.StartTicks != was {
		p.close()
		return nil, nil
	}
	go p.await()
	return p, nil
}

// await waits for the end of a process that is not a child.
func (p *process) await() {
	for {
		n, err := unix.Poll(
			[]unix.PollFd{{Fd: int32(p.fd), Events: unix.POLLIN}},
			int(exitPollInterval/time.Millisecond),
		)
		if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			p.ended <- errors.New("it has ended, and was no child of this agent")
			return
		}
	}
}

func (p *process) signal(s syscall.Signal) error { return unix.PidfdSendSignal(p.fd, s, nil, 0) }

func (p *process) close() {
	if p.fd > 0 {
		_ = unix.Close(p.fd) // a pidfd has nothing to lose
	}
}

// processStartTicks reads when a process was started.
func processStartTicks(pid int) (uint64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := bytes.Cut(raw[bytes.LastIndexByte(raw, ')')+1:], []byte(" "))
	fields := bytes.Fields(rest)
	const start = 19 // the 22nd of all, and the 20th after the name
	if !ok || len(fields) <= start {
		return 0, fmt.Errorf("process %d: its state can't be read", pid)
	}
	return strconv.ParseUint(string(fields[start]), 10, 64)
}
