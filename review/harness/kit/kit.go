// Package kit has the stand-ins that the cases share: backends, discovery, the platform that starts proxies,
// and clients. All of them speak HTTP/1.1 as PROTOCOL-wrenspread.md and DAYS.md describe it.
package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Exit statuses of a case.
const (
	Held    = 0
	Broken  = 1
	Unrun   = 2
	timeout = 10 * time.Second
)

// Case is one run of a case.
type Case struct {
	Root    string // of the repository
	Dir     string // temporary folder
	Trouble bool

	mu     sync.Mutex
	record *os.File
	start  time.Time
	procs  []*Proxy
	run    string // the deploy file's command
}

// Begin reads the environment that run.sh sets: ROOT, RECORD and TROUBLE.
func Begin() *Case {
	c := &Case{Root: os.Getenv("ROOT"), Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Println("could not run:", err)
		os.Exit(Unrun)
	}
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		c.Fail("temporary folder: %v", err)
	}
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy/balancer.toml"))
	if err != nil {
		c.Fail("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		c.Fail("the deploy file has no run command")
	}
	c.run = string(m[1])
	time.AfterFunc(110*time.Second, func() { c.Fail("the case takes too long") })
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record != nil {
		fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends the case as one that could not run.
func (c *Case) Fail(format string, args ...any) {
	c.Say("could not run: "+format, args...)
	c.End(Unrun)
}

// Must ends the case if err is not nil.
func (c *Case) Must(err error, what string) {
	if err != nil {
		c.Fail("%s: %v", what, err)
	}
}

// End ends all processes and exits.
func (c *Case) End(status int) {
	for _, p := range c.procs {
		p.Kill()
	}
	if c.Dir != "" {
		_ = os.RemoveAll(c.Dir)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Close()
	os.Exit(status)
}

// FreePort returns an address on the loopback interface that was free just now.
func (c *Case) FreePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "free port")
	defer ln.Close()
	return ln.Addr().String()
}

// Proxy is a process of a proxy or of another program of the project.
type Proxy struct {
	c       *Case
	Name    string
	Control string
	Cmd     *exec.Cmd
	Ended   chan struct{}
}

// StartProxy starts the deploy file's run command with a configuration file. clients is the listening socket
// that the platform holds, or nil. tmp is the process's TMPDIR.
func (c *Case) StartProxy(name, config, control, tmp string, clients *os.File) *Proxy {
	p := &Proxy{c: c, Name: name, Control: control, Ended: make(chan struct{})}
	p.Cmd = exec.Command("/bin/sh", "-c", c.run)
	p.Cmd.Dir = c.Root
	p.Cmd.Env = []string{"PATH=/usr/bin:/bin", "GW_CONFIG=" + config, "GW_CONTROL=" + control, "TMPDIR=" + tmp}
	if clients != nil {
		p.Cmd.ExtraFiles = []*os.File{clients}
		p.Cmd.Env = append(p.Cmd.Env, "GW_ACCEPT_FD=3")
	}
	p.start()
	return p
}

// StartProgram starts one of the project's other programs, from the folder bin.
func (c *Case) StartProgram(name, program string, args ...string) *Proxy {
	p := &Proxy{c: c, Name: name, Ended: make(chan struct{})}
	p.Cmd = exec.Command(filepath.Join(c.Root, "bin", program), args...)
	p.Cmd.Dir = c.Dir
	p.Cmd.Env = []string{"PATH=/usr/bin:/bin", "TMPDIR=" + c.Dir}
	p.start()
	return p
}

// start starts the process and copies its output to the record.
func (p *Proxy) start() {
	c := p.c
	r, w, err := os.Pipe()
	c.Must(err, "pipe")
	p.Cmd.Stdout, p.Cmd.Stderr = w, w
	p.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() { // the kernel ends the process with the thread that started it, so this thread stays
		runtime.LockOSThread()
		started <- p.Cmd.Start()
		select {}
	}()
	c.Must(<-started, "start "+p.Name)
	w.Close()
	c.Log("platform: started %s, pid %d", p.Name, p.Cmd.Process.Pid)
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := r.Read(buf)
			for _, line := range bytes.Split(bytes.TrimSpace(buf[:n]), []byte("\n")) {
				if len(line) > 0 {
					c.Log("log of %s: %s", p.Name, line)
				}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		err := p.Cmd.Wait()
		c.Log("platform: %s ended: %v", p.Name, err)
		close(p.Ended)
	}()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
}

// Signal sends a signal.
func (p *Proxy) Signal(s syscall.Signal) {
	p.c.Log("platform: %v to %s", s, p.Name)
	_ = p.Cmd.Process.Signal(s)
}

// Kill ends the process.
func (p *Proxy) Kill() {
	_ = p.Cmd.Process.Kill()
	select {
	case <-p.Ended:
	case <-time.After(timeout):
	}
}

// Call makes an operator's call and returns its status, or 0.
func (p *Proxy) Call(method, path string, header ...string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.Control+path, nil)
	if err != nil {
		return 0
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// AwaitReady waits until the process says yes on its control address.
func (p *Proxy) AwaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.Call("GET", "/healthcheck") == 200 {
			p.c.Log("operator: %s says yes", p.Name)
			return true
		}
	}
	return false
}

// Entry is an entry of discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Discovery is the agent on a proxy's machine.
type Discovery struct {
	c       *Case
	Address string
	mu      sync.Mutex
	index   int
	entries []Entry
	changes map[int]Entry
	changed chan struct{}
	silent  bool
	delay   time.Duration        // of every answer
	open    int                  // calls in progress
	gaveUp  time.Time            // when a caller last gave up a call
	told    map[string]time.Time // when the status of a name was first written to a caller, by name and status
}

// NewDiscovery starts discovery with a list.
func (c *Case) NewDiscovery(entries []Entry) *Discovery {
	d := &Discovery{c: c, index: 41, entries: entries, changes: map[int]Entry{}, changed: make(chan struct{}),
		told: map[string]time.Time{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "discovery")
	d.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, d) }()
	return d
}

// ServeHTTP answers the calls of PROTOCOL-wrenspread.md. While discovery is down, it is silent.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, hold := 0, 0
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	_, _ = fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
	d.mu.Lock()
	d.open++
	delay := d.delay
	d.c.Log("discovery %s: call %s", d.Address, r.URL.RawQuery)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open--
	}()
	time.Sleep(delay)
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	expired := false
	for {
		d.mu.Lock()
		changed, silent := d.changed, d.silent
		complete := from == 0
		answer := map[string]any{"index": d.index, "snapshot": complete}
		list := []Entry{}
		if complete {
			list = append(list, d.entries...)
		} else {
			for i := from + 1; i <= d.index; i++ {
				if e, ok := d.changes[i]; ok {
					list = append(list, e)
				}
			}
		}
		d.mu.Unlock()
		if !silent && (complete || expired || len(list) > 0) {
			answer["endpoints"] = list
			raw, _ := json.Marshal(answer)
			_, err := w.Write(raw)
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			d.mu.Lock()
			for _, e := range list {
				if key := e.Name + " " + e.Status; err == nil && d.told[key].IsZero() {
					d.told[key] = time.Now()
					d.c.Log("discovery: told for the first time that %s", key)
				}
			}
			d.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			d.mu.Lock()
			d.gaveUp = time.Now()
			d.mu.Unlock()
			return
		}
	}
}

// Slow makes every answer come later.
func (d *Discovery) Slow(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Unasked reports whether no call has been open for a while, since the last one was given up.
func (d *Discovery) Unasked(while time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open == 0 && !d.gaveUp.IsZero() && time.Since(d.gaveUp) > while
}

// Set changes an entry of the list.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.changes[d.index] = e
	for i := range d.entries {
		if d.entries[i].Name == e.Name {
			d.entries[i] = e
		}
	}
	d.c.Log("discovery: has %s %s at version %d", e.Name, e.Status, d.index)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Silence takes discovery down or brings it back. While it is down it accepts calls and answers none.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	d.c.Log("discovery: silent %v", on)
	close(d.changed)
	d.changed = make(chan struct{})
}

// Told returns when discovery first told a status of a name.
func (d *Discovery) Told(name, status string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[name+" "+status]
}

// List returns the present list in discovery's form.
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"index": d.index, "snapshot": true, "endpoints": append([]Entry{}, d.entries...)}
}

// Ask sends one request and returns its status and body. A zero status means that no whole answer came.
func Ask(client *http.Client, method, url, id, class, key string, deadline time.Duration, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "app.svc"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Tenant", "kalahari-core")
	req.Header.Set("X-Deadline", fmt.Sprintf("%.3f", deadline.Seconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, raw, nil
}

// Unacknowledged returns how many bytes written to a connection have not reached the other machine, as far as
// the kernel knows.
func Unacknowledged(conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	n := int32(-1)
	_ = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	})
	return int(n)
}
