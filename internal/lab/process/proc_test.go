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

const enough = 30 * time.Second // only a hang takes so long

// TestMain plays the processes that the tests start.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST") {
	case "deaf": // ignores SIGTERM
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("deaf")
		time.Sleep(enough)
	case "flood":
		line := strings.Repeat("x", 1023)
		for range 2 * MaxLog / 1024 {
			fmt.Fprintln(os.Stderr, line)
		}
	case "owner": // a lab that is killed
		g := NewGroup(must(history.New("")))
		p := must(g.Start(spec(os.Getenv("PROC_DIR"), "sleep")))
		fmt.Println(p.Pid)
		time.Sleep(enough)
	case "sleep":
		time.Sleep(enough)
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

func spec(dir, what string) Spec {
	return Spec{Name: what, Command: []string{os.Args[0]}, Env: []string{"PROC_TEST=" + what}, Dir: dir, FDs: 64}
}

// exits gives the events on ends that were not as ordered.
func exits(l *history.Log) (all, bad int) {
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

func start(t *testing.T, what string) (*Group, *history.Log, *Proc, string) {
	t.Helper()
	l, dir := must(history.New("")), t.TempDir()
	g := NewGroup(l)
	t.Cleanup(func() { g.Close(time.Millisecond) })
	p, err := g.Start(spec(dir, what))
	if err != nil {
		t.Fatal(err)
	}
	return g, l, p, filepath.Join(dir, "log")
}

// TestDeafProcess: one that ignores SIGTERM is killed in the end, and told of.
func TestDeafProcess(t *testing.T) {
	g, l, p, log := start(t, "deaf")
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		if b, _ := os.ReadFile(log); len(b) > 0 {
			break
		} else if time.Now().After(until) {
			t.Fatal("it says nothing")
		}
	}
	g.Close(50 * time.Millisecond)
	if all, bad := exits(l); p.Running() || all != 1 || bad == 0 {
		t.Errorf("it runs: %v; %d ends, %d not as ordered", p.Running(), all, bad)
	}
	if _, err := g.Start(spec(t.TempDir(), "sleep")); err == nil {
		t.Error("a group that has ended starts a process")
	}
}

// TestStoppedProcess: one that stands still ends all the same.
func TestStoppedProcess(t *testing.T) {
	g, _, p, _ := start(t, "sleep")
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	g.Close(time.Millisecond)
	if p.Running() {
		t.Error("it still runs")
	}
}

// TestOrderedKill: an end by order is no fault, one by itself is.
func TestOrderedKill(t *testing.T) {
	_, l, p, _ := start(t, "sleep")
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	<-p.Exited()
	if all, bad := exits(l); all != 1 || bad != 0 {
		t.Errorf("%d ends, %d not as ordered", all, bad)
	}
	_, l, p, _ = start(t, "flood")
	<-p.Exited()
	if _, bad := exits(l); bad != 1 {
		t.Errorf("an end by itself counts as ordered")
	}
}

// TestFlood: a log that floods is cut, and holds nobody up.
func TestFlood(t *testing.T) {
	_, _, p, log := start(t, "flood")
	<-p.Exited()
	b, err := os.ReadFile(log)
	if err != nil || len(b) < MaxLog || len(b) > MaxLog+200 || !strings.Contains(string(b[MaxLog:]), "passed over") {
		t.Errorf("%d bytes are kept of twice %d, %v", len(b), MaxLog, err)
	}
}

func TestNotReady(t *testing.T) {
	_, _, p, _ := start(t, "flood")
	if err := p.WaitReady(context.Background(), "http://127.0.0.1:1/"); err == nil || !strings.Contains(err.Error(), "ended before") {
		t.Errorf("a process that ends is waited for: %v", err)
	}
}

// TestKilledOwner: what a lab started ends with it, however it ends.
func TestKilledOwner(t *testing.T) {
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
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		if !alive(pid) {
			return
		}
		if time.Now().After(until) {
			besteffort.Signal(syscall.Kill(pid, syscall.SIGKILL))
			t.Fatal("what a killed lab had started still runs")
		}
	}
}

// alive tells whether a process runs; one that waits to be reaped does not.
func alive(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return false
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(b), ") Z ")
}
