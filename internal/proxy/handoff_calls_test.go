package proxy

import (
	"context"
	"io"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestMaintenanceCallDuringStateTransferComesAfterTheState: an operator calls while the old process is about
// to send its state. The new process receives the call after the state, which may be older than the call.
func TestMaintenanceCallDuringStateTransferComesAfterTheState(t *testing.T) {
	dir := handoffDir(t)
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	if err := n.requestMaintenance(context.Background(), "s-0", true); err != nil {
		t.Fatal(err)
	}
	loopBlocked, release := make(chan struct{}), make(chan struct{})
	n.post(func() { close(loopBlocked); <-release })
	<-loopBlocked // the loop is blocked, so the state is not sent yet
	fullLimit := n.maxBackendConns()
	newProcess := dialHandoff(t, dir)
	newProcess.send(t, helloLine)
	for until := time.Now().Add(enough); n.maxBackendConns() == fullLimit; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the link to the new process is not added")
		}
	}
	forwarded := make(chan struct{})
	go func() { defer close(forwarded); n.forwardMaintenance(nil, "s-0", false) }() // as requestMaintenance does after a call
	n.handoffLinks.mu.Lock()
	l := n.handoffLinks.successor
	n.handoffLinks.mu.Unlock()
	if l.mu.TryLock() { // the call can be sent before the state, which the next receive reports
		l.mu.Unlock()
		newProcess.receive(t, kindState)
	}
	close(release)
	if m := newProcess.receive(t, kindState); len(m.InMaintenance) != 1 {
		t.Errorf("the state is %+v", m)
	}
	if m := newProcess.receive(t, kindCall); m.Backend != "s-0" || m.On {
		t.Errorf("the call is %+v", m)
	}
	besteffort.Close(newProcess)
	wait(t, forwarded, "the call's end")
}

// TestLinkIsAddedBeforeMaintenanceIsRestored: the link to the old process is added before any maintenance is
// in force in the new one, so that no call takes effect without being forwarded.
func TestLinkIsAddedBeforeMaintenanceIsRestored(t *testing.T) {
	dir := handoffDir(t)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.read.ReadString('\n')
		o.send(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.receive(t, kindReady)
		o.send(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	restoredBeforeLink := make(chan bool, 1)
	n := startNodeWith(t, func(n *Server) {
		n.EnableHandoff(dir)
		n.OnOverlap = func(on bool) {
			if on {
				n.do(func() { restoredBeforeLink <- n.inMaintenance["s-0"] })
			}
		}
	}, serving(t))
	if wait(t, restoredBeforeLink, "the link to the old process to be added") {
		t.Error("maintenance is in force before the link to the old process is added")
	}
	n.stopAndWait(t)
}
