package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// rewrite changes a key of the configuration file of a process that runs.
func (c *process) rewrite(t *testing.T, key string, value any) {
	t.Helper()
	var path string
	for _, v := range c.Env {
		if after, ok := strings.CutPrefix(v, "GW_CONFIG="); ok {
			path = after // the last one holds
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	config := map[string]any{}
	if err := json.Unmarshal(raw, &config); err != nil {
		t.Fatal(err)
	}
	config[key] = value
	if raw, err = json.Marshal(config); err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestSIGHUPWhileItEnds: a process that has got SIGTERM sends what is open to servers still, so it follows discovery.
// A second SIGTERM changes nothing.
func TestSIGHUPWhileItEnds(t *testing.T) {
	p := newPlatform(t)
	c := p.start(t)
	c.waitReady(t)
	hold, called := make(chan struct{}), make(chan struct{}, 100)
	open := p.waitOpen(t, hold)
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		if status, _, _ := ask("GET", "http://"+c.control+"/healthcheck", nil); status == http.StatusServiceUnavailable {
			break
		} else if time.Now().After(until) {
			t.Fatal("the process does not drain")
		}
	}
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(next.Close)
	c.rewrite(t, "discovery", next.Listener.Addr().String())
	signal(syscall.SIGHUP)
	select {
	case <-called:
	case <-time.After(enough):
		t.Error("the new discovery is not called")
	}
	signal(syscall.SIGTERM)
	close(hold)
	if got := <-open; got != "200 open true\n" {
		t.Errorf("the open request: %q", got)
	}
	c.waitEnd(t)
}

// TestSIGHUPStorm: however many signals are dropped, what the file says at the last one holds.
func TestSIGHUPStorm(t *testing.T) {
	p := newPlatform(t)
	c := p.start(t)
	c.waitReady(t)
	called := make(chan struct{}, 100)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(next.Close)
	for i := range 200 {
		if i == 199 {
			c.rewrite(t, "discovery", next.Listener.Addr().String())
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-called:
	case <-time.After(enough):
		t.Error("the new discovery is not called")
	}
	besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
	c.waitEnd(t)
}

// TestSIGTERMAtTheLastLine does not make a process fail that has finished all it had.
func TestSIGTERMAtTheLastLine(t *testing.T) {
	p := newPlatform(t)
	hold, release, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(hold)
	defer besteffort.Close(release)
	p.stdin = hold
	c := p.start(t, "WRENSPREAD_PROXY_HELD=1")
	c.waitReady(t)
	besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
	c.waitSaid(t, "the program has run")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	besteffort.Close(release)
	c.waitEnd(t)
}

// TestSignalsAfterSIGTERM: neither a second one nor a new configuration ends what is open. A process that is to end
// before it is ready leaves the proxy to the one that serves.
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
	c.waitSaid(t, "new process connected")
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
