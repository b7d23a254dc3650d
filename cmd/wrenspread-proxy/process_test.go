package main

import (
	"bufio"
	"encoding/json"
	"io"
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
	control string
	said    chan string
	ended   chan error
}

func (p *platform) start(t *testing.T, env ...string) *process {
	t.Helper()
	return p.startWith(t, nil, env...)
}

// startWith starts a process with some keys of its configuration changed; nil takes a key out.
func (p *platform) startWith(t *testing.T, changed map[string]any, env ...string) *process {
	t.Helper()
	control := labtest.Address(t) // kept for this process: another must not be given the port before it binds it
	config := map[string]any{"name": "n0", "listen": p.address, "discovery": p.discovery, "seed": "1f", "control": control,
		"peer_listen": p.peerListen, "peers": []string{p.peerListen, "127.0.0.1:9"},
		"settings": map[string]any{"balancers": 2, "caps": map[string]any{"peers": true, "max_attempts": 3,
			"connect_timeout_ns": enough}, "invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3},
			"classes": []any{map[string]any{"name": "a", "effect": "retryable", "aim_ns": enough, "give_up_ns": 2 * enough}}},
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
	cmd, _ := program(t, string(raw))
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
	c := &process{Cmd: cmd, control: control, said: make(chan string, 1000), ended: make(chan error, 1)}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			c.said <- lines.Text()
		}
		close(c.said)
		c.ended <- cmd.Wait()
	}()
	t.Cleanup(func() { besteffort.Signal(cmd.Process.Kill()) })
	return c
}

// ask makes one call, and gives 0 for one that comes to nothing.
func ask(method, url string, header map[string]string) (status int, body string, closing bool) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		panic(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: false}, Timeout: enough}).Do(req)
	if err != nil {
		return 0, "", false
	}
	defer besteffort.Close(resp.Body)
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Close
}

func (c *process) waitReady(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(enough); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if status, _, _ := ask("GET", "http://"+c.control+"/healthcheck", nil); status == 200 {
			return
		}
	}
	t.Fatal("the process does not get ready")
}

func (c *process) waitSaid(t *testing.T, text string) {
	t.Helper()
	limit := time.After(enough)
	for {
		select {
		case line, ok := <-c.said:
			if !ok {
				t.Fatalf("it ended and never said %q", text)
			}
			if strings.Contains(line, text) {
				return
			}
		case <-limit:
			t.Fatalf("it never said %q", text)
		}
	}
}

func (c *process) waitEnd(t *testing.T) {
	t.Helper()
	go func() { // so that its log holds nobody up
		for range c.said {
		}
	}()
	select {
	case err := <-c.ended:
		if err != nil {
			t.Errorf("the process ends with %v", err)
		}
	case <-time.After(enough):
		t.Fatal("the process does not end")
	}
}

func (c *process) operate(t *testing.T, call string) {
	t.Helper()
	if status, _, _ := ask("POST", "http://"+c.control+call, nil); status != 200 {
		t.Errorf("%s: %d", call, status)
	}
}
