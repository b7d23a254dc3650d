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

// rewrite changes a key in the configuration file of a running process.
func (c *process) rewrite(t *testing.T, key string, value any) {
	t.Helper()
	var path string
	for _, v := range c.Env {
		if after, ok := strings.CutPrefix(v, "GW_CONFIG="); ok {
			path = after // the last value of a variable is the one in force
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

// TestSIGHUPIsAppliedWhileDraining: after SIGTERM a process still sends attempts of the requests in flight to
// servers, so it has to follow a new discovery. A second SIGTERM changes nothing.
func TestSIGHUPIsAppliedWhileDraining(t *testing.T) {
	p := newPlatform(t)
	c := p.start(t)
	c.waitReady(t)
	hold, called := make(chan struct{}), make(chan struct{}, 100)
	open := p.holdRequest(t, hold)
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	for until := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		if status, _, _ := sendRequest("GET", "http://"+c.control+"/healthcheck", nil); status == http.StatusServiceUnavailable {
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
	case <-time.After(hangTimeout):
		t.Error("the new discovery is not called")
	}
	signal(syscall.SIGTERM)
	close(hold)
	if got := <-open; got != "200 open true\n" {
		t.Errorf("the open request: %q", got)
	}
	c.waitEnd(t)
}

// TestLastOfManySIGHUPsIsApplied: signals may be dropped when many arrive, but the configuration that the
// file has at the last signal is applied.
func TestLastOfManySIGHUPsIsApplied(t *testing.T) {
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
	case <-time.After(hangTimeout):
		t.Error("the new discovery is not called")
	}
	besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
	c.waitEnd(t)
}

// TestSignalAtExitKeepsStatusZero: a signal that arrives after main has returned does not make the process
// fail.
func TestSignalAtExitKeepsStatusZero(t *testing.T) {
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
	c.waitLogged(t, "the program has run")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		if err := c.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	besteffort.Close(release)
	c.waitEnd(t)
}

// TestSignalsAfterSIGTERMEndNoRequest: neither a second SIGTERM nor a new configuration ends the requests in
// flight. A process that gets SIGTERM before it is ready ends, and the previous process continues to serve.
func TestSignalsAfterSIGTERMEndNoRequest(t *testing.T) {
	furtherSignals := []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP}
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
	open := p.holdRequest(t, hold)
	unready := p.startWith(t, map[string]any{"discovery": "127.0.0.1:9"}) // there is no answer, so the process does not get ready
	c.waitLogged(t, "new process connected")
	signal(unready, syscall.SIGTERM)
	signal(unready, furtherSignals...)
	unready.waitEnd(t)
	p.wantServed(t, "meanwhile")
	signal(c, syscall.SIGTERM)
	signal(c, furtherSignals...)
	close(hold)
	if got := <-open; got != "200 open true\n" && got != "200 open false\n" { // answered before or after the first signal was handled
		t.Errorf("the open request: %q", got)
	}
	c.waitEnd(t)
}
