package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestProcessOutlivesTheReaderOfItsLog guards against a process that ends because its log can't be written.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	p := newPlatform(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd, config := programCommand(t, p.configWith(t, nil))
	cmd.ExtraFiles = []*os.File{p.socket}
	cmd.Env = append(cmd.Env, "GW_ACCEPT_FD=3", "TMPDIR="+p.dir)
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Signal(cmd.Process.Kill()); besteffort.Ended(cmd.Wait()) })
	besteffort.Close(writer)
	for until := time.Now().Add(hangTimeout); ; time.Sleep(5 * time.Millisecond) {
		if status, _, _ := p.request("before"); status == 200 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the process does not get ready")
		}
	}
	besteffort.Close(reader)
	if err := os.WriteFile(config, []byte("{"), 0o600); err != nil { // so that each signal is logged
		t.Fatal(err)
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.wantServed(t, "after")
}
