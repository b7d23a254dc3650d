package proxy

import (
	"context"
	"io"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestCallBesideTheState: an operator calls while the old process is about to say what it knows. The new one hears
// of the call behind the state, which may be from before it.
func TestCallBesideTheState(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	if err := n.requestMaintenance(context.Background(), "s-0", true); err != nil {
		t.Fatal(err)
	}
	held, release := make(chan struct{}), make(chan struct{})
	n.post(func() { close(held); <-release })
	<-held // the loop says nothing of what it knows
	full := n.mayOpen()
	o := meet(t, dir)
	o.say(t, hello)
	for until := time.Now().Add(enough); n.mayOpen() == full; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the new process is not joined")
		}
	}
	forwarded := make(chan struct{})
	go func() { defer close(forwarded); n.forwardMaintenance(nil, "s-0", false) }() // as a call does that is in force
	n.handoffLinks.mu.Lock()
	l := n.handoffLinks.successor
	n.handoffLinks.mu.Unlock()
	if l.mu.TryLock() { // nothing holds it back
		l.mu.Unlock()
		o.hear(t, kindState)
	}
	close(release)
	if m := o.hear(t, kindState); len(m.InMaintenance) != 1 {
		t.Errorf("the state is %+v", m)
	}
	if m := o.hear(t, kindCall); m.Backend != "s-0" || m.On {
		t.Errorf("the call is %+v", m)
	}
	besteffort.Close(o)
	wait(t, forwarded, "the call's end")
}

// TestJoinedBeforeBansHold: once a call can be in force in a new process, the old one is told of it.
func TestJoinedBeforeBansHold(t *testing.T) {
	dir := meetingPlace(t)
	oldProcess(t, dir, func(o other) {
		_, _ = o.read.ReadString('\n')
		o.say(t, `{"v":1,"kind":"state","bans":["s-0"]}`)
		o.hear(t, kindReady)
		o.say(t, `{"kind":"yours"}`)
		_, _ = io.Copy(io.Discard, o)
	})
	early := make(chan bool, 1)
	n := startNodeWith(t, func(n *Server) {
		n.TakeOver(dir)
		n.Overlap = func(on bool) {
			if on {
				n.do(func() { early <- n.inMaintenance["s-0"] })
			}
		}
	}, serving(t))
	if wait(t, early, "the old process to be joined") {
		t.Error("bans hold before the old process is joined")
	}
	n.stopNow(t)
}
