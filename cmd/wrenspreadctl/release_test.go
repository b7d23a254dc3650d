package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/agent"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/release"
)

// TestMain runs the test binary as wrenspreadctl, or as a server that answers with its version, if a test has
// started it for that.
func TestMain(m *testing.M) {
	if version := os.Getenv("RELEASE_TEST_VERSION"); version != "" {
		http.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(fmt.Fprint(w, version)) })
		_ = http.ListenAndServe(os.Getenv("RELEASE_TEST_ADDRESS"), nil)
		os.Exit(1)
	}
	if os.Getenv("WRENSPREADCTL_AS_PROGRAM") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// site is a registry, an agent with three servers, and a substitute for a proxy. The substitute counts each
// server's responses. It counts the responses of servers with the version "bad" as failures.
type site struct {
	t           *testing.T
	registry    string
	client      *client.Client
	proxy       string
	addresses   map[string]string // servers' addresses, by name
	folder      string
	mu          sync.Mutex
	maintenance map[string]bool // by server
	requests    map[string]int  // requests, by server
	failed      map[string]int
}

// newSite starts a site that ends with the test.
func newSite(t *testing.T) *site {
	quiet := slog.New(slog.DiscardHandler)
	s := &site{t: t, addresses: map[string]string{}, folder: t.TempDir(), maintenance: map[string]bool{}, requests: map[string]int{}, failed: map[string]int{}}
	s.registry, s.client = labtest.StartRegistry(t)
	ac := agent.Default()
	ac.Machine, ac.Listen, ac.Registry, ac.Folder = "m", labtest.Address(t), []string{s.registry}, s.folder
	for i := range 3 {
		name := fmt.Sprint("s", i)
		s.addresses[name] = labtest.Address(t)
		ac.Servers = append(ac.Servers, agent.Server{Name: name, Address: s.addresses[name], Version: "v1", Ready: "/", Grace: time.Second,
			Command: []string{"/usr/bin/env", "RELEASE_TEST_VERSION={version}", "RELEASE_TEST_ADDRESS=" + s.addresses[name], os.Args[0]}})
	}
	t.Cleanup(s.endServers)
	t.Cleanup(labtest.Start(t, func(ctx context.Context) error { return agent.Run(ctx, ac, quiet) }))
	node := httptest.NewServer(http.HandlerFunc(s.serveProxy))
	t.Cleanup(node.Close)
	s.proxy = node.Listener.Addr().String()
	t.Cleanup(labtest.Start(t, s.load))
	return s
}

// endServers kills the servers' processes, which keep running after the agent's end.
func (s *site) endServers() {
	for name := range s.addresses {
		raw, err := os.ReadFile(filepath.Join(s.folder, name+".process"))
		var pid int
		if _, text, ok := bytes.Cut(raw, []byte("\n")); err == nil && ok {
			if _, err := fmt.Sscanf(string(text), `{"pid":%d`, &pid); err == nil && pid > 0 {
				besteffort.Signal(syscall.Kill(pid, syscall.SIGKILL))
			}
		}
	}
}

// serveProxy serves the proxy's statistics and its maintenance calls.
func (s *site) serveProxy(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/stats" {
		for name, n := range s.requests {
			besteffort.Output(fmt.Fprintf(w, "app.backends.%s.succeeded:%d|c\napp.backends.%s.failed:%d|c\n", name, n-s.failed[name], name, s.failed[name]))
		}
		return
	}
	name, call, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/backends/"), "/")
	s.maintenance[name] = call == "maint"
}

// load sends requests to all servers that are not in maintenance, until ctx ends.
func (s *site) load(ctx context.Context) error {
	h := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for name, address := range s.addresses {
			s.mu.Lock()
			inMaintenance := s.maintenance[name]
			s.mu.Unlock()
			if inMaintenance {
				continue
			}
			body := ""
			if resp, err := h.Get("http://" + address); err == nil {
				raw, _ := io.ReadAll(resp.Body)
				besteffort.Close(resp.Body)
				body = string(raw)
			}
			s.mu.Lock()
			if s.requests[name]++; body == "" || body == "bad" {
				s.failed[name]++
			}
			s.mu.Unlock()
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// run runs wrenspreadctl in this process, and returns its output.
func (s *site) run(args ...string) string {
	s.t.Helper()
	var out bytes.Buffer
	c := root()
	c.SetArgs(append(args, "--list", s.registry))
	c.SetOut(&out)
	if err := c.Execute(); err != nil {
		s.t.Fatalf("wrenspreadctl %s: %v", strings.Join(args, " "), err)
	}
	return out.String()
}

// startController starts a process that runs a release's controller.
func (s *site) startController(releaseName, process string) *exec.Cmd {
	file := filepath.Join(s.t.TempDir(), "conductor.toml")
	text := fmt.Sprintf("process = %q\nevery = \"50ms\"\ngrace = \"100ms\"\n[[node]]\nname = \"n0\"\ncontrol = %q\n", process, s.proxy)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "release", "conduct", releaseName, "--list", s.registry, "--config", file, "--ttl", "1s")
	cmd.Env = append(os.Environ(), "WRENSPREADCTL_AS_PROGRAM=1")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { besteffort.Signal(cmd.Process.Kill()); _ = cmd.Wait() })
	return cmd
}

// await waits until a release's state meets a condition.
func (s *site) await(name, condition string, holds func(*release.State) bool) {
	s.t.Helper()
	for until := time.Now().Add(labtest.HangTimeout); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), labtest.HangTimeout)
		state, err := release.Read(ctx, s.client, name)
		cancel()
		if err == nil && holds(state) {
			return
		}
		if time.Now().After(until) {
			s.t.Fatalf("waited in vain for %s of the release %s: %+v, %v", condition, name, state, err)
		}
	}
}

// writePlan writes a plan file and returns its path.
func (s *site) writePlan(name, from, to string) string {
	path := filepath.Join(s.t.TempDir(), name+".toml")
	text := fmt.Sprintf("name = %q\nfrom = %q\nto = %q\nsoak = \"200ms\"\nhalt = \"back\"\n[limits]\nout = 1\n[gate]\nleast = 20\nfailed = 0.2\nlate = 1.0\nmost = 0.9\n[[wave]]\ncount = 1\n[[wave]]\nshare = 1.0\n", name, from, to)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// TestReleaseSurvivesKilledControllerAndRollsBack runs releases with a real agent, servers and controller
// processes. A release whose first controller is killed is finished by the second one. A release to a version
// that fails is rolled back after its gate fails.
func TestReleaseSurvivesKilledControllerAndRollsBack(t *testing.T) {
	s := newSite(t)
	for until := time.Now().Add(labtest.HangTimeout); !strings.Contains(s.run("list", "get"), "3 entries"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the servers are not registered")
		}
	}
	good := s.writePlan("good", "v1", "v2")
	if out := s.run("release", "plan", good); !strings.Contains(out, "3 servers from v1 to v2") {
		t.Errorf("the plan is %s", out)
	}
	s.run("release", "start", good)
	first := s.startController("good", "a")
	s.await("good", "the first server", func(r *release.State) bool { released, out := r.Count(); return released+out > 0 })
	besteffort.Signal(first.Process.Kill())
	_ = first.Wait()
	s.startController("good", "b")
	s.await("good", "the end", func(r *release.State) bool { return r.Phase == release.Finished })
	if out := s.run("release", "status"); !strings.Contains(out, "3 of 3") {
		t.Errorf("the status is %s", out)
	}
	s.run("release", "start", s.writePlan("worse", "v2", "bad"))
	s.startController("worse", "a")
	s.await("worse", "the rollback", func(r *release.State) bool { return r.Phase == release.RolledBack })
	if out := s.run("release", "history", "worse"); !strings.Contains(out, "the gate of wave 1 failed") {
		t.Errorf("the history is %s", out)
	}
	if out := s.run("list", "get", "--json"); strings.Count(out, `"version": "v2"`) != 3 {
		t.Errorf("the list is %s", out)
	}
}
