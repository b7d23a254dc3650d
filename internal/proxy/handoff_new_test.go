package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// runOldProcess acts as the old process of a handoff: script handles the first connection to its handoff
// socket.
func runOldProcess(t *testing.T, dir string, script func(handoffPeer)) {
	t.Helper()
	ln, err := net.Listen("unix", filepath.Join(dir, handoffSocket))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		besteffort.Close(ln)
		if err != nil {
			return
		}
		defer besteffort.Close(c)
		script(handoffPeer{c.(*net.UnixConn), bufio.NewReader(c)})
	}()
	t.Cleanup(func() { besteffort.Close(ln); <-ended })
}

// TestNewProcessServesWhateverTheOldProcessDoes: the new process serves even if the old process sends invalid,
// incomplete or no messages.
func TestNewProcessServesWhateverTheOldProcessDoes(t *testing.T) {
	const state = `{"v":1,"kind":"state","names":{"s-0":7},"learned":{"Servers":[{"ID":7},{"ID":8}]}}`
	for _, c := range []struct {
		name   string
		script func(handoffPeer)
	}{
		{"closes at once", func(handoffPeer) {}},
		{"invalid message", func(o handoffPeer) { o.sendLine(t, "noise") }},
		{"unsupported version", func(o handoffPeer) { o.sendLine(t, `{"v":2,"kind":"state"}`) }},
		{"refuses", func(o handoffPeer) { o.sendLine(t, `{"kind":"refused"}`) }},
		{"endless line", func(o handoffPeer) {
			for besteffort.SocketOption(o.SetDeadline(time.Now().Add(testTimeout))); ; {
				if _, err := o.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}},
		{"invalid state", func(o handoffPeer) {
			o.sendLine(t, `{"v":1,"kind":"state","learned":{"Mean":-1},"bans":[""]}`)
			o.receive(t, kindReady)
		}},
		{"closes before it releases", func(o handoffPeer) { o.sendLine(t, state); o.receive(t, kindReady) }},
		{"releases without the peer socket", func(o handoffPeer) {
			o.sendLine(t, state)
			o.receive(t, kindReady)
			o.sendLine(t, `{"kind":"yours"}`)
			_, _ = io.Copy(io.Discard, o)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := handoffDir(t)
			scriptEnded := make(chan struct{})
			runOldProcess(t, dir, func(o handoffPeer) {
				defer close(scriptEnded)
				if line, err := o.reader.ReadString('\n'); err != nil || line != helloLine+"\n" {
					t.Errorf("first line is %q, %v, want helloLine", line, err)
				}
				c.script(o)
			})
			srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
			if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
				t.Errorf("response %+v, want 200", a)
			}
			srv.stopAndWait(t)
			wait(t, scriptEnded, "the script of the old process to end")
		})
	}
}

// TestMaintenanceIsRestoredAndCallsAreForwarded: the new process restores the old process's maintenance before
// it applies the first list, and forwards later maintenance calls to the old process while that runs.
func TestMaintenanceIsRestoredAndCallsAreForwarded(t *testing.T) {
	dir := handoffDir(t)
	calls := make(chan handoffMessage, 1)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.reader.ReadString('\n')
		o.sendLine(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.receive(t, kindReady)
		o.sendLine(t, `{"kind":"yours"}`)
		m := o.receive(t, kindCall)
		o.sendLine(t, fmt.Sprintf(`{"kind":"done","number":%d}`, m.Number))
		calls <- m
		_, _ = io.Copy(io.Discard, o)
	})
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 503 {
		t.Errorf("response %+v, want 503", a)
	}
	if err := srv.requestMaintenance(context.Background(), "s-0", false); err != nil {
		t.Error(err)
	}
	if m := wait(t, calls, "the call at the old process"); m.Backend != "s-0" || m.On {
		t.Errorf("the old process received %+v, want the end of the maintenance of s-0", m)
	}
	if barred := srv.pool.hasBarred(newEndpointIDs().idOf("s-0")); barred {
		t.Error("the maintenance is still in force")
	}
	srv.stopAndWait(t)
}
