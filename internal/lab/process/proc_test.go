package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

const hangTimeout = 30 * time.Second // longer than any step takes unless it hangs

// TestMain runs the tests or, if PROC_TEST is set, the process that a test has started. PROC_TEST selects
// what this process does.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST") {
	case "ignore-sigterm":
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("ignoring SIGTERM")
		time.Sleep(hangTimeout)
	case "flood-log":
		line := strings.Repeat("x", 1023)
		for range 2 * MaxLog / 1024 {
			fmt.Fprintln(os.Stderr, line)
		}
	case "lab": // starts a process, as a lab does; the test kills the lab
		g := NewGroup(must(history.New("")))
		p := must(g.Start(testSpec(os.Getenv("PROC_DIR"), "sleep")))
		fmt.Println(p.Pid)
		time.Sleep(hangTimeout)
	case "sleep":
		time.Sleep(hangTimeout)
	default:
		os.Exit(m.Run())
	}
}

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func testSpec(dir, role string) Spec {
	return Spec{Name: role, Command: []string{os.Args[0]}, Env: []string{"PROC_TEST=" + role}, Dir: dir, FDs: 64}
}

// countExits returns the number of exits, and the number of events that are marked as bad.
func countExits(l *history.Log) (exits, bad int) {
	for _, e := range l.Events() {
		if e.How == "exit" {
			exits++
		}
		if e.Bad {
			bad++
		}
	}
	return exits, bad
}

// startTestProcess starts a process with the given role, and returns it with its group, history and log file.
func startTestProcess(t *testing.T, role string) (*Group, *history.Log, *Proc, string) {
	t.Helper()
	l, dir := must(history.New("")), t.TempDir()
	g := NewGroup(l)
	t.Cleanup(func() { g.Close(time.Millisecond) })
	p, err := g.Start(testSpec(dir, role))
	if err != nil {
		t.Fatal(err)
	}
	return g, l, p, filepath.Join(dir, "log")
}

// TestProcessThatIgnoresSigtermIsKilledAndRecorded: a process that ignores SIGTERM is killed after the
// patience, and the history records that its end was not as ordered.
func TestProcessThatIgnoresSigtermIsKilledAndRecorded(t *testing.T) {
	g, l, p, log := startTestProcess(t, "ignore-sigterm")
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		if b, _ := os.ReadFile(log); len(b) > 0 {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("the process writes no output")
		}
	}
	g.Close(50 * time.Millisecond)
	if exits, bad := countExits(l); p.Running() || exits != 1 || bad == 0 {
		t.Errorf("the process runs: %v; %d exits, %d bad events", p.Running(), exits, bad)
	}
	if _, err := g.Start(testSpec(t.TempDir(), "sleep")); err == nil {
		t.Error("a closed group starts a process")
	}
}

// TestCloseEndsAStoppedProcess: Close also ends a process that SIGSTOP has stopped.
func TestCloseEndsAStoppedProcess(t *testing.T) {
	g, _, p, _ := startTestProcess(t, "sleep")
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	g.Close(time.Millisecond)
	if p.Running() {
		t.Error("the stopped process still runs after Close")
	}
}

// TestOnlyAnUnorderedEndIsRecordedAsBad: an exit without an order is recorded as bad, an ordered kill is not.
func TestOnlyAnUnorderedEndIsRecordedAsBad(t *testing.T) {
	_, l, p, _ := startTestProcess(t, "sleep")
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	<-p.Exited()
	if exits, bad := countExits(l); exits != 1 || bad != 0 {
		t.Errorf("%d exits, %d bad events; want one exit and no bad event", exits, bad)
	}
	_, l, p, _ = startTestProcess(t, "flood-log")
	<-p.Exited()
	if _, bad := countExits(l); bad != 1 {
		t.Errorf("an exit without an order is not recorded as one bad event")
	}
}

// TestFloodedLogIsCutAndDoesNotBlockTheProcess: output beyond MaxLog is discarded, and the process is not
// blocked.
func TestFloodedLogIsCutAndDoesNotBlockTheProcess(t *testing.T) {
	_, _, p, log := startTestProcess(t, "flood-log")
	<-p.Exited()
	b, err := os.ReadFile(log)
	if err != nil || len(b) < MaxLog || len(b) > MaxLog+200 || !strings.Contains(string(b[MaxLog:]), "passed over") {
		t.Errorf("the log has %d bytes, want %d and a line on the discarded ones; error %v", len(b), MaxLog, err)
	}
}

func TestWaitReadyFailsWhenTheProcessEnds(t *testing.T) {
	_, _, p, _ := startTestProcess(t, "flood-log")
	if err := p.WaitReady(context.Background(), "http://127.0.0.1:1/"); err == nil || !strings.Contains(err.Error(), "ended before") {
		t.Errorf("WaitReady of a process that ends returned %v", err)
	}
}

// TestProcessesEndWhenTheLabIsKilled: the processes of a lab end even when the lab is killed.
func TestProcessesEndWhenTheLabIsKilled(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PROC_TEST=lab", "PROC_DIR="+t.TempDir())
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(out)
	line, err := in.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := UseOf(pid); err != nil {
		t.Fatalf("read resource use of the process that the lab started: %v", err)
	}
	besteffort.Signal(cmd.Process.Kill())
	_, _ = io.Copy(io.Discard, in)
	_ = cmd.Wait()
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		if !alive(pid) {
			return
		}
		if time.Now().After(deadline) {
			besteffort.Signal(syscall.Kill(pid, syscall.SIGKILL))
			t.Fatal("a process of a killed lab still runs")
		}
	}
}

// alive reports whether a process runs. A zombie does not run.
func alive(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return false
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(b), ") Z ")
}
