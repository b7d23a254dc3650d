package main

import (
	"os"
	"syscall"
	"testing"
)

// TestSignalsAfterSIGTERM: neither a second one nor a new configuration ends what is open. A process that is to end
// before it is ready leaves the node to the one that serves.
func TestSignalsAfterSIGTERM(t *testing.T) {
	after := []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP}
	signal := func(c *process, signals ...os.Signal) {
		t.Helper()
		for _, s := range signals {
			if err := c.Process.Signal(s); err != nil {
				t.Errorf("%v: %v", s, err)
			}
		}
	}
	p := newPlatform(t)
	c := p.start(t)
	c.waitReady(t)
	hold := make(chan struct{})
	open := p.waitOpen(t, hold)
	early := p.startWith(t, map[string]any{"discovery": "127.0.0.1:9"}) // no list comes
	c.waitSaid(t, "a new process is here")
	signal(early, syscall.SIGTERM)
	signal(early, after...)
	early.waitEnd(t)
	p.wantServed(t, "meanwhile")
	signal(c, syscall.SIGTERM)
	signal(c, after...)
	close(hold)
	if got := <-open; got != "200 open true\n" && got != "200 open false\n" { // answered before or after the first signal is heard
		t.Errorf("the open request: %q", got)
	}
	c.waitEnd(t)
}
