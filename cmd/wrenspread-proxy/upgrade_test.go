package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
)

// TestUpgradeFinishesOpenRequests: the previous process answers its requests in flight, and the new process
// serves all further requests.
func TestUpgradeFinishesOpenRequests(t *testing.T) {
	p := newPlatform(t)
	old := p.start(t)
	old.waitReady(t)
	p.wantServed(t, "before")
	hold := make(chan struct{})
	open := p.holdRequest(t, hold)
	next := p.start(t)
	next.waitReady(t)
	old.waitLogged(t, "handing over")
	if status, _, _ := sendRequest("GET", "http://"+old.control+"/healthcheck", nil); status != 503 {
		t.Errorf("health check of the previous process: status %d, want 503", status)
	}
	p.wantServed(t, "after")
	if status, _, _ := sendRequest("GET", "http://"+p.address+"/health/ready", nil); status != 200 {
		t.Errorf("the proxy is not ready: status %d", status)
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

// TestMaintenanceLastsOverUpgrades: a backend stays in maintenance over two upgrades. While two processes are
// running, a maintenance call to either one takes effect in both.
func TestMaintenanceLastsOverUpgrades(t *testing.T) {
	p := newPlatform(t)
	refused := func(when string) {
		t.Helper()
		if status, _, _ := p.request("banned"); status != 503 {
			t.Errorf("%s: status %d, want 503", when, status)
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
	for until := time.Now().Add(hangTimeout); ; time.Sleep(5 * time.Millisecond) { // the backend is cold at first
		if status, _, _ := p.request("back"); status == 200 {
			break
		} else if time.Now().After(until) {
			t.Fatal("the backend is not used again")
		}
	}
	second.operate(t, "/backends/s/maint")
	refused("after a call to the previous process")
}

// TestUnusableDescriptorFallsBackToAddress: if GW_ACCEPT_FD can't be used, the proxy listens at its
// configured address.
func TestUnusableDescriptorFallsBackToAddress(t *testing.T) {
	for _, fd := range []string{"three", "-1", "77"} {
		p := newPlatform(t)
		besteffort.Close(p.socket)
		address, free, err := link.Reserve() // no other process gets the address until it is freed
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
