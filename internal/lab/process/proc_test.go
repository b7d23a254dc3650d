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

// TestMain runs the tests, or the process that a test starts, which PROC_TEST selects.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST") {
	case "deaf": // ignores SIGTERM
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("deaf")
		time.Sleep(hangTimeout)
	case "flood":
		line := strings.Repeat("x", 1023)
		for range 2 * MaxLog / 1024 {
			fmt.Fprintln(os.Stderr, line)
		}
	case "owner": // a lab, which the test kills
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

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func testSpec(dir, what string) Spec {
	return Spec{Name: what, Command: []string{os.Args[0]}, Env: []string{"PROC_TEST=" + what}, Dir: dir, FDs: 64}
}

// countExits returns the number of exits, and of events that were not as ordered.
func countExits(l *history.Log) (all, bad int) {
	for _, e := range l.Events() {
		if e.How == "exit" {
			all++
		}
		if e.Bad {
			bad++
		}
	}
	return all, bad
}

func startTestProcess(t *testing.T, what string) (*Group, *history.Log, *Proc, string) {
	t.Helper()
	l, dir := must(history.New("")), t.TempDir()
	g := NewGroup(l)
	t.Cleanup(func() { g.Close(time.Millisecond) })
	p, err := g.Start(testSpec(dir, what))
	if err != nil {
		t.Fatal(err)
	}
	return g, l, p, filepath.Join(dir, "log")
}

// TestProcessThatIgnoresSigtermIsKilledAndRecorded: a process that ignores SIGTERM is killed after the
// patience, and the history records that its end was not as ordered.
func TestProcessThatIgnoresSigtermIsKilledAndRecorded(t *testing.T) {
	g, l, p, log := startTestProcess(t, "deaf")
	for until := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		if b, _ := os.ReadFile(log); len(b) > 0 {
			break
		} else if time.Now().After(until) {
			t.Fatal("the process writes no output")
		}
	}
	g.Close(50 * time.Millisecond)
	if all, bad := countExits(l); p.Running() || all != 1 || bad == 0 {
		t.Errorf("the process runs: %v; %d ends, %d not as ordered", p.Running(), all, bad)
	}
	if _, err := g.Start(testSpec(t.TempDir(), "sleep")); err == nil {
		t.Error("a closed group starts a process")
	}
}

// TestCloseEndsAStoppedProcess: a process stopped by SIGSTOP ends too.
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

// TestOnlyAnUnorderedEndIsRecordedAsBad: an ordered kill is not recorded as bad, an exit without an order is.
func TestOnlyAnUnorderedEndIsRecordedAsBad(t *testing.T) {
	_, l, p, _ := startTestProcess(t, "sleep")
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	<-p.Exited()
	if all, bad := countExits(l); all != 1 || bad != 0 {
		t.Errorf("%d ends, %d not as ordered", all, bad)
	}
	_, l, p, _ = startTestProcess(t, "flood")
	<-p.Exited()
	if _, bad := countExits(l); bad != 1 {
		t.Errorf("an end by itself counts as ordered")
	}
}

// TestFloodedLogIsCutAndDoesNotBlockTheProcess: output beyond MaxLog is discarded, and the process is not
// blocked.
func TestFloodedLogIsCutAndDoesNotBlockTheProcess(t *testing.T) {
	_, _, p, log := startTestProcess(t, "flood")
	<-p.Exited()
	b, err := os.ReadFile(log)
	if err != nil || len(b) < MaxLog || len(b) > MaxLog+200 || !strings.Contains(string(b[MaxLog:]), "passed over") {
		t.Errorf("%d bytes are kept of twice %d, %v", len(b), MaxLog, err)
	}
}

func TestWaitReadyFailsWhenTheProcessEnds(t *testing.T) {
	_, _, p, _ := startTestProcess(t, "flood")
	if err := p.WaitReady(context.Background(), "http://127.0.0.1:1/"); err == nil || !strings.Contains(err.Error(), "ended before") {
		t.Errorf("WaitReady of a process that ends returns %v", err)
	}
}

// TestProcessesEndWhenTheLabIsKilled: the processes of a lab end even when the lab is killed.
func TestProcessesEndWhenTheLabIsKilled(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PROC_TEST=owner", "PROC_DIR="+t.TempDir())
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
		t.Fatalf("the process does not run: %v", err)
	}
	besteffort.Signal(cmd.Process.Kill())
	_, _ = io.Copy(io.Discard, in)
	_ = cmd.Wait()
	for until := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		if !alive(pid) {
			return
		}
		if time.Now().After(until) {
			besteffort.Signal(syscall.Kill(pid, syscall.SIGKILL))
			t.Fatal("a process of a killed lab still runs")
		}
	}
}

// alive reports whether a process runs; a zombie does not.
func alive(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return false
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(b), ") Z ")
}
