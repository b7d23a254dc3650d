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

// process is a running process of a server. Either it is a child of this agent, or a previous agent started
// it and this agent has adopted it.
type process struct {
	ProcessRecord
	pidfd int        // file descriptor of the process; signals sent by it can't reach another process
	ended chan error // receives one value when the process ends: its exit error, or nil
}

// ProcessRecord is what an agent stores about a process that it started, so that the next agent can adopt it.
type ProcessRecord struct {
	PID          int    `json:"pid"`
	StartTicks   uint64 `json:"start"` // kernel's ticks from boot to the start; another process may get the PID
	Version      string `json:"version"`
	StartedAtMS  int64  `json:"since_ms"`
	ControlIndex int    `json:"control,omitempty"` // index of the process's address in Server.Control
}

const (
	maxRecordFileBytes = 4 << 10
	exitPollInterval   = 500 * time.Millisecond // timeout of one poll for the end of an adopted process
)

// startProcess starts a command and stores its record in a file. It kills the process if that fails.
func startProcess(cmd *exec.Cmd, version string, control int, recordFile string) (*process, error) {
	// The process gets a group of its own, so that a signal to the agent's group does not reach it.
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
	err := p.openPidfd()
	if err == nil {
		err = p.writeRecord(recordFile)
	}
	if err != nil {
		besteffort.Signal(cmd.Process.Kill())
		_ = cmd.Wait() // the process was killed; err has the reason
		p.close()
		return nil, err
	}
	go func() { p.ended <- cmd.Wait() }()
	return p, nil
}

// openPidfd reads the start time of the process and opens its pidfd.
func (p *process) openPidfd() (err error) {
	if p.StartTicks, err = processStartTicks(p.PID); err != nil {
		return err
	}
	p.pidfd, err = unix.PidfdOpen(p.PID, 0)
	if err != nil {
		p.pidfd = 0
		return fmt.Errorf("process %d: %w", p.PID, err)
	}
	return nil
}

// writeRecord stores the record of the process in a file.
func (p *process) writeRecord(recordFile string) error {
	raw, err := json.Marshal(p.ProcessRecord)
	if err == nil {
		err = checksumfile.Write(recordFile, raw)
	}
	if err != nil {
		return fmt.Errorf("keeping the trace of process %d: %w", p.PID, err)
	}
	return nil
}

// adopt returns the process that a previous agent started, by its record. It returns nil if there is no
// record or the process has ended.
func adopt(recordFile string) (*process, error) {
	raw, err := checksumfile.Read(recordFile, maxRecordFileBytes)
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
	recordedTicks := p.StartTicks
	if err := p.openPidfd(); err != nil || p.StartTicks != recordedTicks {
		p.close()
		return nil, nil
	}
	go p.await()
	return p, nil
}

// await waits for the end of a process that is not a child, and reports it to p.ended.
func (p *process) await() {
	for {
		n, err := unix.Poll(
			[]unix.PollFd{{Fd: int32(p.pidfd), Events: unix.POLLIN}},
			int(exitPollInterval/time.Millisecond),
		)
		if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			p.ended <- errors.New("it has ended, and was no child of this agent")
			return
		}
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error { return unix.PidfdSendSignal(p.pidfd, s, nil, 0) }

// close closes the pidfd. The process keeps running.
func (p *process) close() {
	if p.pidfd > 0 {
		_ = unix.Close(p.pidfd) // closing a pidfd writes nothing, so an error loses nothing
	}
}

// processStartTicks returns when a process was started, in the kernel's ticks since boot.
func processStartTicks(pid int) (uint64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := bytes.Cut(raw[bytes.LastIndexByte(raw, ')')+1:], []byte(" "))
	fields := bytes.Fields(rest)
	const startField = 19 // the 22nd field of the line, and the 20th after the process's name
	if !ok || len(fields) <= startField {
		return 0, fmt.Errorf("process %d: its state can't be read", pid)
	}
	return strconv.ParseUint(string(fields[startField]), 10, 64)
}
