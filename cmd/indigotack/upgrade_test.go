package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const enough = 30 * time.Second // only a hang takes so long

// platform holds what outlives a process: the clients' socket, the folder, discovery and a backend.
type platform struct {
	socket     *os.File
	dir        string
	address    string // of clients
	discovery  string
	backend    string
	served     atomic.Int32
	fetches    chan bool // whole lists that were asked for
	hold       atomic.Pointer[chan struct{}]
	peerListen string
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	p := &platform{socket: f, address: ln.Addr().String(), fetches: make(chan bool, 100)}
	t.Cleanup(func() { f.Close() })
	// The usual folder of a test may have too long a name for a socket.
	if p.dir, err = os.MkdirTemp("", "up"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(p.dir) })
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.served.Add(1)
		if hold := p.hold.Load(); hold != nil {
			<-*hold
		}
		io.WriteString(w, r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(back.Close)
	p.backend = back.Listener.Addr().String()
	entries := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}`, p.backend)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" || r.URL.Query().Get("from") == "0" {
			p.fetches <- true
			io.WriteString(w, entries)
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { disc.CloseClientConnections(); disc.Close() })
	p.discovery = disc.Listener.Addr().String()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peerListen = udp.LocalAddr().String()
	udp.Close()
	return p
}

// process is one process of the node.
type process struct {
	*exec.Cmd
	control string
	said    chan string
	ended   chan error
}

func (p *platform) start(t *testing.T, env ...string) *process {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := free.Addr().String()
	free.Close()
	config := map[string]any{"name": "n0", "listen": p.address, "discovery": p.discovery, "seed": "1f", "control": control,
		"peer_listen": p.peerListen, "peers": []string{p.peerListen, "127.0.0.1:9"},
		"settings": map[string]any{"balancers": 2, "caps": map[string]any{"peers": true, "max_attempts": 3,
			"connect_timeout_ns": enough}, "invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3},
			"classes": []any{map[string]any{"name": "a", "effect": "retryable", "aim_ns": enough, "give_up_ns": 2 * enough}}},
		"known": map[string]any{"index": 0}}
	raw, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	cmd, _ := program(t, string(raw))
	cmd.ExtraFiles = []*os.File{p.socket}
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
	t.Cleanup(func() { cmd.Process.Kill() })
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
	defer resp.Body.Close()
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

func (p *platform) request(id string) (status int, body string, closing bool) {
	return ask("GET", "http://"+p.address+"/api/x", map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "30"})
}

func (p *platform) wantServed(t *testing.T, id string) {
	t.Helper()
	if status, body, closing := p.request(id); status != 200 || body != id || closing {
		t.Errorf("request %s: %d %q, told to close %v", id, status, body, closing)
	}
}

// waitOpen sends a request that stays open at the backend until hold is closed.
func (p *platform) waitOpen(t *testing.T, hold chan struct{}) (answer chan string) {
	t.Helper()
	p.hold.Store(&hold)
	before, answer := p.served.Load(), make(chan string, 1)
	go func() {
		status, body, closing := p.request("open")
		answer <- fmt.Sprintln(status, body, closing)
	}()
	for until := time.Now().Add(enough); p.served.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request does not reach the backend")
		}
	}
	p.hold.Store(nil)
	return answer
}

func (c *process) operate(t *testing.T, call string) {
	t.Helper()
	if status, _, _ := ask("POST", "http://"+c.control+call, nil); status != 200 {
		t.Errorf("%s: %d", call, status)
	}
}

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

// TestUnusableDescriptor: the node serves at its address all the same.
func TestUnusableDescriptor(t *testing.T) {
	for _, fd := range []string{"three", "-1", "77"} {
		p := newPlatform(t)
		p.socket.Close() // the address is free
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
