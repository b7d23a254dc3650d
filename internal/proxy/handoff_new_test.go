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

// oldProcess plays a process that serves: it hears hello, and goes on with script.
func oldProcess(t *testing.T, dir string, script func(other)) {
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
		script(other{c.(*net.UnixConn), bufio.NewReader(c)})
	}()
	t.Cleanup(func() { besteffort.Close(ln); <-ended })
}

// TestOldProcessFails: whatever it says or leaves out, the new one serves.
func TestOldProcessFails(t *testing.T) {
	const state = `{"v":1,"kind":"state","names":{"s-0":7},"learned":{"Servers":[{"ID":7},{"ID":8}]}}`
	for _, c := range []struct {
		name   string
		script func(other)
	}{
		{"gone", func(other) {}},
		{"noise", func(o other) { o.say(t, "noise") }},
		{"another version", func(o other) { o.say(t, `{"v":2,"kind":"state"}`) }},
		{"refuses", func(o other) { o.say(t, `{"kind":"refused"}`) }},
		{"endless line", func(o other) {
			for besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough))); ; {
				if _, err := o.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}},
		{"odd state", func(o other) {
			o.say(t, `{"v":1,"kind":"state","learned":{"Mean":-1},"bans":[""]}`)
			o.hear(t, kindReady)
		}},
		{"gone before it lets go", func(o other) { o.say(t, state); o.hear(t, kindReady) }},
		{"lets go without the peers' socket", func(o other) {
			o.say(t, state)
			o.hear(t, kindReady)
			o.say(t, `{"kind":"yours"}`)
			_, _ = io.Copy(io.Discard, o)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := meetingPlace(t)
			over := make(chan struct{})
			oldProcess(t, dir, func(o other) {
				defer close(over)
				if line, err := o.read.ReadString('\n'); err != nil || line != hello+"\n" {
					t.Errorf("hello is %q, %v", line, err)
				}
				c.script(o)
			})
			n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
			if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
				t.Errorf("answer %+v", a)
			}
			n.stopNow(t)
			wait(t, over, "the old process")
		})
	}
}

// TestBansAreTakenOver before any list, and calls go to whoever else serves.
func TestBansAreTakenOver(t *testing.T) {
	dir := meetingPlace(t)
	calls := make(chan handoffMessage, 1)
	oldProcess(t, dir, func(o other) {
		_, _ = o.read.ReadString('\n')
		o.say(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.hear(t, kindReady)
		o.say(t, `{"kind":"yours"}`)
		m := o.hear(t, kindCall)
		o.say(t, fmt.Sprintf(`{"kind":"done","number":%d}`, m.Number))
		calls <- m
		_, _ = io.Copy(io.Discard, o)
	})
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 503 {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if err := n.requestMaintenance(context.Background(), "s-0", false); err != nil {
		t.Error(err)
	}
	if m := wait(t, calls, "the call at the old process"); m.Backend != "s-0" || m.On {
		t.Errorf("it hears %+v", m)
	}
	if held := n.pool.isHeld(newEndpointIDs().idOf("s-0")); held {
		t.Error("the ban is still in force")
	}
	n.stopNow(t)
}
