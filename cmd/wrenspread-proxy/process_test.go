package main

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
)

// process is one process of the proxy.
type process struct {
	*exec.Cmd
	control  string      // address for operators
	logLines chan string // of its log
	ended    chan error  // receives the result of Wait
}

// start starts a process with the platform's configuration.
func (p *platform) start(t *testing.T, env ...string) *process {
	t.Helper()
	return p.startWith(t, nil, env...)
}

// startWith starts a process with some keys of its configuration changed; a key with the value nil is
// removed.
func (p *platform) startWith(t *testing.T, changed map[string]any, env ...string) *process {
	t.Helper()
	control := labtest.Address(t) // reserved: no other process may get the port before this one binds it
	changed = maps.Clone(changed)
	if changed == nil {
		changed = map[string]any{}
	}
	changed["control"] = control
	cmd, _ := programCommand(t, p.configWith(t, changed))
	cmd.ExtraFiles = []*os.File{p.socket}
	if p.stdin != nil {
		cmd.Stdin = p.stdin
	}
	cmd.Env = append(append(cmd.Env, "GW_ACCEPT_FD=3", "TMPDIR="+p.dir), env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c := &process{Cmd: cmd, control: control, logLines: make(chan string, 1000), ended: make(chan error, 1)}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			c.logLines <- lines.Text()
		}
		close(c.logLines)
		c.ended <- cmd.Wait()
	}()
	t.Cleanup(func() { besteffort.Signal(cmd.Process.Kill()) })
	return c
}

// configWith returns the platform's configuration with some keys changed; a key with the value nil is removed.
func (p *platform) configWith(t *testing.T, changed map[string]any) string {
	t.Helper()
	config := map[string]any{"name": "n0", "listen": p.address, "discovery": p.discovery, "seed": "1f",
		"peer_listen": p.peerListen, "peers": []string{p.peerListen, "127.0.0.1:9"},
		"settings": map[string]any{"balancers": 2, "caps": map[string]any{"peers": true, "max_attempts": 3,
			"connect_timeout_ns": hangTimeout}, "invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3},
			"classes": []any{map[string]any{"name": "a", "effect": "retryable", "aim_ns": hangTimeout, "give_up_ns": 2 * hangTimeout}}},
		"known": map[string]any{"index": 0}}
	for key, value := range changed {
		if config[key] = value; value == nil {
			delete(config, key)
		}
	}
	raw, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// sendRequest sends one request. The status is 0 if there is no response.
func sendRequest(method, url string, header map[string]string) (status int, body string, closing bool) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		panic(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: false}, Timeout: hangTimeout}).Do(req)
	if err != nil {
		return 0, "", false
	}
	defer besteffort.Close(resp.Body)
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Close
}

// waitReady waits until the process's health check succeeds.
func (c *process) waitReady(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(hangTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if status, _, _ := sendRequest("GET", "http://"+c.control+"/healthcheck", nil); status == 200 {
			return
		}
	}
	t.Fatal("the process does not get ready")
}

// waitLogged waits for a line of the log that contains text.
func (c *process) waitLogged(t *testing.T, text string) {
	t.Helper()
	limit := time.After(hangTimeout)
	for {
		select {
		case line, ok := <-c.logLines:
			if !ok {
				t.Fatalf("the process ended and never logged %q", text)
			}
			if strings.Contains(line, text) {
				return
			}
		case <-limit:
			t.Fatalf("the process never logged %q", text)
		}
	}
}

// waitEnd waits until the process has ended with status 0.
func (c *process) waitEnd(t *testing.T) {
	t.Helper()
	go func() { // read the log so that writing it does not block the process
		for range c.logLines {
		}
	}()
	select {
	case err := <-c.ended:
		if err != nil {
			t.Errorf("the process ends with %v", err)
		}
	case <-time.After(hangTimeout):
		t.Fatal("the process does not end")
	}
}

// operate makes an operator's call at the control address.
func (c *process) operate(t *testing.T, call string) {
	t.Helper()
	if status, _, _ := sendRequest("POST", "http://"+c.control+call, nil); status != 200 {
		t.Errorf("%s: %d", call, status)
	}
}
