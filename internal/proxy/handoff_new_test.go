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

// runOldProcess plays a process that serves: script handles the first connection at the handoff socket.
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

// TestNewProcessServesWhateverTheOldProcessDoes: invalid, missing or partial answers of the old process don't
// keep the new process from serving.
func TestNewProcessServesWhateverTheOldProcessDoes(t *testing.T) {
	const state = `{"v":1,"kind":"state","names":{"s-0":7},"learned":{"Servers":[{"ID":7},{"ID":8}]}}`
	for _, c := range []struct {
		name   string
		script func(handoffPeer)
	}{
		{"gone", func(handoffPeer) {}},
		{"noise", func(o handoffPeer) { o.send(t, "noise") }},
		{"another version", func(o handoffPeer) { o.send(t, `{"v":2,"kind":"state"}`) }},
		{"refuses", func(o handoffPeer) { o.send(t, `{"kind":"refused"}`) }},
		{"endless line", func(o handoffPeer) {
			for besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough))); ; {
				if _, err := o.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}},
		{"odd state", func(o handoffPeer) {
			o.send(t, `{"v":1,"kind":"state","learned":{"Mean":-1},"bans":[""]}`)
			o.receive(t, kindReady)
		}},
		{"gone before it lets go", func(o handoffPeer) { o.send(t, state); o.receive(t, kindReady) }},
		{"lets go without the peers' socket", func(o handoffPeer) {
			o.send(t, state)
			o.receive(t, kindReady)
			o.send(t, `{"kind":"yours"}`)
			_, _ = io.Copy(io.Discard, o)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := handoffDir(t)
			over := make(chan struct{})
			runOldProcess(t, dir, func(o handoffPeer) {
				defer close(over)
				if line, err := o.read.ReadString('\n'); err != nil || line != helloLine+"\n" {
					t.Errorf("hello is %q, %v", line, err)
				}
				c.script(o)
			})
			n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
			if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
				t.Errorf("answer %+v", a)
			}
			n.stopAndWait(t)
			wait(t, over, "the old process")
		})
	}
}

// TestMaintenanceIsRestoredAndCallsAreForwarded: the old process's maintenance is in force before the first
// list, and later maintenance calls are forwarded to the old process while it runs.
func TestMaintenanceIsRestoredAndCallsAreForwarded(t *testing.T) {
	dir := handoffDir(t)
	calls := make(chan handoffMessage, 1)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.read.ReadString('\n')
		o.send(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.receive(t, kindReady)
		o.send(t, `{"kind":"yours"}`)
		m := o.receive(t, kindCall)
		o.send(t, fmt.Sprintf(`{"kind":"done","number":%d}`, m.Number))
		calls <- m
		_, _ = io.Copy(io.Discard, o)
	})
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 503 {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if err := n.requestMaintenance(context.Background(), "s-0", false); err != nil {
		t.Error(err)
	}
	if m := wait(t, calls, "the call at the old process"); m.Backend != "s-0" || m.On {
		t.Errorf("the old process received %+v", m)
	}
	if held := n.pool.hasBarred(newEndpointIDs().idOf("s-0")); held {
		t.Error("the maintenance is still in force")
	}
	n.stopAndWait(t)
}
