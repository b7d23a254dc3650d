package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
)

// leastMemoryMB and mostDescriptors are the limits that the operators' pages name: the least memory and the
// most descriptors of a node.
const (
	leastMemoryMB   = 32
	mostDescriptors = 1024
)

// builtProgram returns the path of the program, built as the deploy file says: the race detector of the tests
// would multiply its memory.
var builtProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "proxy")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "wrenspread-proxy")
	cmd := exec.Command("go", "build", "-buildvcs=false", "-ldflags=-linkmode=external", "-o", path, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w: %s", err, out)
	}
	return path, nil
})

// limitedProxy is a proxy that runs as on a node with little memory, and the servers that it uses.
type limitedProxy struct {
	t          *testing.T
	address    string
	socket     *os.File // the clients' socket, which processes inherit
	bindItself bool     // processes open the clients' socket themselves
	folder     string
	backend    *crowdBackend
	config     map[string]any

	mu        sync.Mutex
	processes []*limitedProcess
}

// limitedProcess is one process of a limitedProxy.
type limitedProcess struct {
	cmd     *exec.Cmd
	control string
	log     string // path
	ended   chan struct{}
	killed  bool // by the test

	startedAt, killedAt time.Time // killedAt: with SIGKILL, by the test
}

// newLimitedProxy returns a proxy with limits whose clients' socket is open; no process runs yet.
func newLimitedProxy(t *testing.T, memoryMB, descriptors int) *limitedProxy {
	t.Helper()
	p := &limitedProxy{t: t, backend: newCrowdBackend(t)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = ln.Addr().String()
	if p.socket, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	besteffort.Close(ln)
	t.Cleanup(func() { besteffort.Close(p.socket) })
	if p.folder, err = os.MkdirTemp("", "crowd"); err != nil { // the path of t.TempDir is too long for a socket
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Cleanup(os.RemoveAll(p.folder)) })
	p.config = map[string]any{
		"name": "n0", "listen": p.address, "discovery": p.discovery(), "seed": "1f",
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": descriptors},
		"known":  map[string]any{"index": 0},
		"settings": map[string]any{
			"balancers":  1,
			"caps":       map[string]any{"max_attempts": 3, "connect_timeout_ns": 250 * time.Millisecond},
			"invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3},
			"classes": []any{
				crowdClass("read", "retryable"), crowdClass("write", "fragile"), crowdClass("keyed", "dedup"),
			},
		},
	}
	return p
}

// bindThemselves makes the processes open the clients' socket themselves, so that it ends with them.
func (p *limitedProxy) bindThemselves() {
	p.bindItself = true
	besteffort.Close(p.socket)
}

// crowdClass returns the settings of a class.
func crowdClass(name, effect string) map[string]any {
	return map[string]any{"name": name, "effect": effect, "importance": 1, "key_scope": "all",
		"dedup_window_ns": 5 * time.Second, "aim_ns": time.Second / 2, "give_up_ns": crowdDeadline}
}

// discovery serves a list with several endpoints, all of them the crowd's backend.
func (p *limitedProxy) discovery() string {
	var endpoints []string
	for i := range 8 {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"s%d","address":%q,"status":"ready"}`, i, p.backend.addresses[i]))
	}
	list := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(endpoints, ","))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from := r.URL.Query().Get("from"); from != "" && from != "0" {
			<-r.Context().Done()
			return
		}
		besteffort.Output(fmt.Fprint(w, list))
	}))
	p.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// start starts a process, and waits until it is ready.
func (p *limitedProxy) start() *limitedProcess {
	p.t.Helper()
	process := p.launch()
	for until := time.Now().Add(hangTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if status, _, _ := sendRequest("GET", "http://"+process.control+"/healthcheck", nil); status == http.StatusOK {
			return process
		}
	}
	p.t.Fatalf("the process does not get ready:\n%s", process.logged())
	return nil
}

// launch starts a process.
func (p *limitedProxy) launch() *limitedProcess {
	p.t.Helper()
	program, err := builtProgram()
	if err != nil {
		p.t.Fatal(err)
	}
	process := &limitedProcess{control: labtest.Address(p.t), ended: make(chan struct{})}
	process.log = filepath.Join(p.folder, fmt.Sprintf("log-%d", len(p.all())))
	p.config["control"] = process.control
	raw, err := json.Marshal(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	path := filepath.Join(p.folder, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		p.t.Fatal(err)
	}
	logFile, err := os.Create(process.log)
	if err != nil {
		p.t.Fatal(err)
	}
	defer besteffort.Close(logFile)
	process.cmd = exec.Command(program)
	process.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+p.folder, "GOMAXPROCS=1")
	process.cmd.Stderr = logFile
	if !p.bindItself {
		process.cmd.Env = append(process.cmd.Env, "GW_ACCEPT_FD=3")
		process.cmd.ExtraFiles = []*os.File{p.socket}
	}
	if err := process.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	process.startedAt = time.Now()
	go func() { defer close(process.ended); besteffort.Ended(process.cmd.Wait()) }()
	p.t.Cleanup(func() { process.kill(); <-process.ended })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = append(p.processes, process)
	return process
}

// all returns all processes so far.
func (p *limitedProxy) all() []*limitedProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.processes)
}

func (c *limitedProcess) kill() {
	c.killed = true
	if c.killedAt.IsZero() {
		c.killedAt = time.Now()
	}
	besteffort.Signal(c.cmd.Process.Kill())
}

func (c *limitedProcess) terminate() {
	c.killed = true
	besteffort.Signal(c.cmd.Process.Signal(syscall.SIGTERM))
}

// hasEnded reports whether the process has ended.
func (c *limitedProcess) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// logged returns the last part of the process's log.
func (c *limitedProcess) logged() string {
	raw, _ := os.ReadFile(c.log)
	return string(raw[max(0, len(raw)-4000):])
}

// statusKB returns a figure of the process's memory in kB; 0 if the process has ended.
func (c *limitedProcess) statusKB(key string) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, key+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	return 0
}
