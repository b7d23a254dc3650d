// Package kit starts the project's proxy as a separate process and plays the parties around it: backends,
// discovery, the platform and clients. It uses loopback addresses and the real clock only.
package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Trouble reports whether the disruption of the case is to happen: not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Case is one run of a case: its record, its temporary folder and the processes that it has started.
type Case struct {
	Root   string // of the repository
	Folder string // temporary
	start  time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Main runs a case. folder is the folder of the case, relative to the repository's root. play returns what
// broke the rule, each in a line; an error means that the case could not run.
func Main(folder string, play func(c *Case) (broken []string, err error)) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(NoRun)
	}
	record, err := os.Create(filepath.Join(root, folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(NoRun)
	}
	temp, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(NoRun)
	}
	c := &Case{Root: root, Folder: temp, start: time.Now(), record: record}
	c.Log("trouble: %v", Trouble())
	timer := time.AfterFunc(115*time.Second, func() {
		c.Log("result: could not run: over 115 s")
		c.endAll()
		fmt.Println("could not run: over 115 s")
		os.Exit(NoRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.endAll()
		os.Exit(NoRun)
	}()
	broken, err := c.playSafely(play)
	timer.Stop()
	c.endAll()
	code := Held
	switch {
	case err != nil:
		c.Log("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		code = NoRun
	case len(broken) > 0:
		for _, line := range broken {
			c.Log("BROKEN %s", line)
		}
		c.Log("result: rule broken, %d times", len(broken))
		fmt.Printf("rule broken, %d times; the first: %s\n", len(broken), broken[0])
		code = Broken
	default:
		c.Log("result: rule held")
		fmt.Println("rule held")
	}
	_ = record.Close()
	_ = os.RemoveAll(temp)
	os.Exit(code)
}

// playSafely turns a panic of a case into an error, so that its processes are ended.
func (c *Case) playSafely(play func(c *Case) ([]string, error)) (broken []string, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return play(c)
}

// Log writes a line to the record, with the time since the start in seconds.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%9.4f ", time.Since(c.start).Seconds())
	_, _ = fmt.Fprintf(c.record, format+"\n", args...)
}

// Since returns a time as seconds since the start of the case.
func (c *Case) Since(t time.Time) float64 { return t.Sub(c.start).Seconds() }

func (c *Case) endAll() {
	c.mu.Lock()
	nodes := append([]*Node(nil), c.nodes...)
	c.mu.Unlock()
	for _, n := range nodes {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.ended
		c.Log("%s ended: %v", n.name, n.cmd.ProcessState)
	}
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// Node is one process of the proxy.
type Node struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// NodeConfig is the configuration of a node, as in the page on deployment.
type NodeConfig struct {
	Name       string         `json:"name"`
	Listen     string         `json:"listen"`
	Discovery  string         `json:"discovery"`
	Control    string         `json:"control,omitempty"`
	Seed       string         `json:"seed"`
	Limits     map[string]any `json:"limits"`
	PeerListen string         `json:"peer_listen,omitempty"`
	Peers      []string       `json:"peers,omitempty"`
	Known      ListAnswer     `json:"known"`
	Settings   map[string]any `json:"settings"`
}

// WriteConfig writes a configuration file to the folder of the case and returns its path.
func (c *Case) WriteConfig(cfg NodeConfig) (string, error) {
	raw, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Folder, cfg.Name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// RunCommand returns the command `run` of the deploy file.
func (c *Case) RunCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if m == nil {
		return "", fmt.Errorf("no run in the deploy file")
	}
	return string(m[1]), nil
}

// StartNode starts `run` of the deploy file with a configuration file and further environment variables, and
// passes it files as descriptors 3 and on.
func (c *Case) StartNode(name, config string, env []string, files ...*os.File) (*Node, error) {
	run, err := c.RunCommand()
	if err != nil {
		return nil, err
	}
	temp := filepath.Join(c.Folder, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = c.Root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + temp, "GW_CONFIG=" + config}, env...)
	cmd.ExtraFiles = files
	cmd.Stderr = &lineLogger{c: c, name: name}
	cmd.Stdout = cmd.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &Node{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(n.ended) }()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	c.Log("%s started, process %d", name, cmd.Process.Pid)
	return n, nil
}

// Signal sends a signal to the node.
func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Ended is closed when the node has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// lineLogger writes a process's output to the record.
type lineLogger struct {
	c    *Case
	name string
	rest string
}

func (l *lineLogger) Write(p []byte) (int, error) {
	l.rest += string(p)
	for {
		line, rest, found := strings.Cut(l.rest, "\n")
		if !found {
			return len(p), nil
		}
		l.rest = rest
		l.c.Log("%s says: %s", l.name, line)
	}
}

// WaitReady waits until a node answers GET path with 200, for 10 s at most.
func (c *Case) WaitReady(address, path string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := Ask(address, "GET "+path+" HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", time.Second)
		if a.Status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 10 s", address)
}

// Class is a request class of the settings.
func Class(name, effect, scope string, importance float64, aim, giveUp, window time.Duration) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "key_scope": scope, "importance": importance,
		"aim_ns": aim.Nanoseconds(), "give_up_ns": giveUp.Nanoseconds(),
		"dedup_window_ns": window.Nanoseconds(), "late_worth": 0.0, "streamed": false,
	}
}

// Settings are the settings of windhoek-main, as the page on the wire shows them.
func Settings(nodes, slot int) map[string]any {
	return map[string]any{
		"accounts": []any{
			map[string]any{"name": "kalahari-core", "fraction": 0.3, "quota_per_s": 49.0},
			map[string]any{"name": "namib-factors", "fraction": 0.25, "quota_per_s": 40.0},
		},
		"balancers": nodes,
		"caps": map[string]any{
			"cancel": true, "conn_idle_ns": 10000000000, "connect_timeout_ns": 100000000,
			"cpu_us_per_request": 0.0, "cpu_us_per_s": 8000, "max_attempts": 5,
			"max_retry_after_ns": 2000000000, "may_duplicate": false, "most_held": 20000,
			"multiplex": 1, "peers": nodes > 1, "probes": false, "retry_after": true,
		},
		"charges": map[string]any{
			"connection": 0.0, "cross_zone": 0.03, "handshake": 0.02, "late_fail": 0.08, "membership_mode": 0.0,
			"moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.04,
		},
		"classes": []any{
			Class("ledger-view", "retryable", "all", 2, 600*time.Millisecond, 1200*time.Millisecond, 5*time.Second),
			Class("aging-report", "retryable", "all", 1, 600*time.Millisecond, 3*time.Second, 5*time.Second),
			Class("payment-post", "fragile", "all", 2, 200*time.Millisecond, 600*time.Millisecond, 5*time.Second),
			Class("advance-release", "dedup", "cell", 5, 400*time.Millisecond, 1200*time.Millisecond,
				1200*time.Millisecond),
		},
		"client_habits":   map[string]any{"marks_retry": true},
		"failure_domains": []any{"klein-windhoek", "southern-ind", "okuryangava"},
		"family":          "proxy",
		"goal":            map[string]any{"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.05},
		"invariants": map[string]any{
			"answer_slack_ns": 16000000, "ask_within_ns": 10000000000, "cold_from": 0.16, "cold_ns": 23000000000,
			"drain_grace_ns": 2000000000, "overload_factor": 3.0, "tip_after_ns": 1500000000,
		},
		"kinds":            []any{"fast-single", "std-single", "slow-dual"},
		"membership_mode":  "pushed",
		"over_share_worth": 0.2,
		"report":           map[string]any{"fields": []any{}, "how": "none"},
		"slot_no":          slot,
		"specifics":        map[string]any{"warm_keys": false},
		"tick_ns":          4000000,
		"tier":             0,
		"tiers":            []any{"funding-web"},
		"weight_kind":      "none",
		"worth_by":         "work",
		"zone":             "southern-ind",
	}
}

// Limits are the limits of a node on a scored day.
func Limits() map[string]any { return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024} }
