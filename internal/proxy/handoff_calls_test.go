package proxy

import (
	"context"
	"io"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestMaintenanceCallDuringStateTransferComesAfterTheState: a maintenance call is made while the old process is
// about to send its state, which may not contain the call's effect. The new process receives the call after the
// state, so that the state does not undo the call.
func TestMaintenanceCallDuringStateTransferComesAfterTheState(t *testing.T) {
	dir := handoffDir(t)
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	if err := srv.requestMaintenance(context.Background(), "s-0", true); err != nil {
		t.Fatal(err)
	}
	loopBlocked, release := make(chan struct{}), make(chan struct{})
	srv.post(func() { close(loopBlocked); <-release })
	<-loopBlocked // the loop is blocked, so the state is not sent yet
	fullLimit := srv.maxBackendConns()
	newProcess := dialHandoff(t, dir)
	newProcess.sendLine(t, helloLine)
	for until := time.Now().Add(testTimeout); srv.maxBackendConns() == fullLimit; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the link to the new process is not added")
		}
	}
	forwarded := make(chan struct{})
	go func() { defer close(forwarded); srv.forwardMaintenance(nil, "s-0", false) }() // as requestMaintenance does for an operator's call
	srv.handoffLinks.mu.Lock()
	l := srv.handoffLinks.successor
	srv.handoffLinks.mu.Unlock()
	if l.mu.TryLock() { // nothing prevents the call from being sent before the state; receive reports it if it is
		l.mu.Unlock()
		newProcess.receive(t, kindState)
	}
	close(release)
	if m := newProcess.receive(t, kindState); len(m.InMaintenance) != 1 {
		t.Errorf("the state is %+v, want one backend in maintenance", m)
	}
	if m := newProcess.receive(t, kindCall); m.Backend != "s-0" || m.On {
		t.Errorf("the call is %+v, want the end of the maintenance of s-0", m)
	}
	besteffort.Close(newProcess)
	wait(t, forwarded, "the call to end")
}

// TestLinkIsAddedBeforeMaintenanceIsRestored: the new process adds its link to the old process before it
// restores any maintenance. Otherwise a call could take effect without being forwarded.
func TestLinkIsAddedBeforeMaintenanceIsRestored(t *testing.T) {
	dir := handoffDir(t)
	runOldProcess(t, dir, func(o handoffPeer) {
		_, _ = o.reader.ReadString('\n')
		o.sendLine(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.receive(t, kindReady)
		o.sendLine(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	restoredBeforeLink := make(chan bool, 1)
	srv := startProxyWith(t, func(srv *Server) {
		srv.EnableHandoff(dir)
		alone := srv.process.Limits(false).Go
		srv.OnMemoryLimit = func(goBytes int64) {
			if goBytes < alone {
				srv.do(func() { restoredBeforeLink <- srv.inMaintenance["s-0"] })
			}
		}
	}, okServer(t))
	if wait(t, restoredBeforeLink, "the link to the old process to be added") {
		t.Error("maintenance is in force before the link to the old process is added")
	}
	srv.stopAndWait(t)
}
