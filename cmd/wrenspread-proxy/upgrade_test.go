package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
)

// TestUpgrade: what is open at the old process is answered there, and the new one takes what comes.
func TestUpgrade(t *testing.T) {
	p := newPlatform(t)
	old := p.start(t)
	old.waitReady(t)
	p.wantServed(t, "before")
	hold := make(chan struct{})
	open := p.waitOpen(t, hold)
	next := p.start(t)
	next.waitReady(t)
	old.waitSaid(t, "handing over")
	if status, _, _ := ask("GET", "http://"+old.control+"/healthcheck", nil); status != 503 {
		t.Errorf("the old process says it is ready: %d", status)
	}
	p.wantServed(t, "after")
	if status, _, _ := ask("GET", "http://"+p.address+"/health/ready", nil); status != 200 {
		t.Errorf("the node is not ready: %d", status)
	}
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(hold)
	if got := <-open; got != "200 open true\n" {
		t.Errorf("the open request: %q", got)
	}
	old.waitEnd(t)
	p.wantServed(t, "later")
	if err := next.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	next.waitEnd(t)
}

// TestBanOverUpgrades: it holds over two of them, and over both processes of one, whichever is called.
func TestBanOverUpgrades(t *testing.T) {
	p := newPlatform(t)
	refused := func(when string) {
		t.Helper()
		if status, _, _ := p.request("banned"); status != 503 {
			t.Errorf("%s: %d, want a refusal", when, status)
		}
	}
	first := p.start(t)
	first.waitReady(t)
	first.operate(t, "/backends/s/maint")
	second := p.start(t)
	second.waitReady(t)
	refused("after the first upgrade")
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	first.waitEnd(t)
	third := p.start(t)
	third.waitReady(t)
	refused("after the second upgrade")
	second.operate(t, "/backends/s/ready")
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) { // it is cold
		if status, _, _ := p.request("back"); status == 200 {
			break
		} else if time.Now().After(until) {
			t.Fatal("the backend is not used again")
		}
	}
	second.operate(t, "/backends/s/maint")
	refused("told by way of the old process")
}

// TestUnusableDescriptor: the proxy serves at its address all the same.
func TestUnusableDescriptor(t *testing.T) {
	for _, fd := range []string{"three", "-1", "77"} {
		p := newPlatform(t)
		besteffort.Close(p.socket)
		address, free, err := link.Reserve() // nobody else can take it meanwhile
		if err != nil {
			t.Fatal(err)
		}
		defer free()
		p.address = address
		null, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		p.socket = null
		c := p.start(t, "GW_ACCEPT_FD="+fd)
		c.waitReady(t)
		p.wantServed(t, "q")
	}
}
