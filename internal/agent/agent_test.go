package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/registry"
)

// TestMain lets the test's own binary run as a server, which answers with its version. A server of version
// "bad" ends at once.
func TestMain(m *testing.M) {
	if version := os.Getenv("AGENT_TEST_VERSION"); version != "" {
		if version == "bad" {
			os.Exit(3)
		}
		http.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(fmt.Fprint(w, version)) })
		if os.Getenv("GW_ACCEPT_FD") == "3" {
			serveInheritedSocket(version)
		}
		_ = http.ListenAndServe(os.Getenv("AGENT_TEST_ADDRESS"), nil)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestServerIsRestartedReplacedAndAdopted: the agent starts and registers a server, and starts it again after
// it was killed. It replaces the server's version on request, and rejects a request with an older fencing
// token. The next agent adopts the running process. While the server has a version whose process ends at once,
// it is not in the list; a further request returns it to the first version.
func TestServerIsRestartedReplacedAndAdopted(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	service, registryClient := labtest.StartRegistry(t)
	ctx, cancel := context.WithTimeout(context.Background(), labtest.HangTimeout)
	defer cancel()
	c := Default()
	c.Machine, c.Listen, c.Registry, c.Folder, c.TTL = "m", labtest.Address(t), []string{service}, t.TempDir(), 2*time.Second
	address := labtest.Address(t)
	c.Servers = []Server{{Name: "s", Address: address, Version: "v1", Ready: "/", Grace: time.Second, Command: []string{"/usr/bin/env", "AGENT_TEST_VERSION={version}", "AGENT_TEST_ADDRESS=" + address, os.Args[0]}}}
	startAgent := func() func() { return labtest.Start(t, func(ctx context.Context) error { return Run(ctx, c, quiet) }) }
	registered := func() string {
		list, err := registryClient.CurrentList(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list.Endpoints {
			return e.Status + " " + e.Version
		}
		return "nothing"
	}
	caller := Client{HTTP: http.DefaultClient}
	status := func() Status {
		s, _ := caller.Status(ctx, c.Listen, "s") // the zero Status while the agent is not running
		return s
	}
	order := func(o DesiredState, fence uint64) error {
		_, err := caller.SetDesiredState(ctx, c.Listen, "s", o, registry.FencingToken{Lease: "release/x", Number: fence})
		return err
	}
	stop := startAgent()
	labtest.Await(t, "the first version", func() bool { return registered() == "ready v1" })
	first, err := adopt(filepath.Join(c.Folder, "s.process"))
	if err != nil || first == nil {
		t.Fatal(first, err)
	}
	besteffort.Signal(first.signal(syscall.SIGKILL))
	labtest.Await(t, "the restart after a kill", func() bool { s := status(); return s.Ready && s.Restarts == 1 })

	if err := order(DesiredState{Version: "v2", KeepDraining: true}, 5); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the second version", func() bool { s := status(); return s.Ready && s.Version == "v2" && registered() == "draining v2" })
	if err := order(DesiredState{Version: "v1"}, 4); err == nil || !strings.Contains(err.Error(), "another holds the duty") {
		t.Errorf("order with an older fencing token: %v, want a rejection", err)
	}
	before := status()
	stop()
	stop = startAgent()
	labtest.Await(t, "the same process with the next agent", func() bool { s := status(); return s.Ready && s.StartedAtMS == before.StartedAtMS && s.Version == "v2" })
	if err := order(DesiredState{Version: "v1"}, 4); err == nil {
		t.Error("the next agent accepts an older fencing token")
	}
	if err := order(DesiredState{Version: "bad"}, 6); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the removal of a server that does not run", func() bool { return registered() == "nothing" && status().Restarts > 0 })
	if err := order(DesiredState{Version: "v1"}, 7); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the first version again", func() bool { return registered() == "ready v1" })
	stop()
	last, err := adopt(filepath.Join(c.Folder, "s.process"))
	if err != nil || last == nil {
		t.Fatal(last, err)
	}
	besteffort.Signal(last.signal(syscall.SIGKILL))
	besteffort.Ended(<-last.ended)
}

// serveInheritedSocket runs a server that takes over the clients' socket. On SIGTERM it answers the requests of
// all accepted connections and then ends. A server of version "never-ready" never gets ready.
func serveInheritedSocket(version string) {
	if version != "never-ready" {
		go func() { _ = http.ListenAndServe(os.Getenv("GW_CONTROL"), nil) }()
	}
	ln, err := net.FileListener(os.NewFile(3, "clients"))
	if err != nil {
		os.Exit(1)
	}
	var openConnections sync.WaitGroup
	srv := &http.Server{ConnState: func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			openConnections.Add(1)
		case http.StateClosed:
			openConnections.Done()
		}
	}}
	srv.SetKeepAlivesEnabled(false)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	served := make(chan bool)
	go func() { _ = srv.Serve(ln); close(served) }()
	<-ctx.Done()
	besteffort.Close(ln)
	<-served
	openConnections.Wait() // Shutdown would close connections that were accepted and not read yet
	os.Exit(0)
}

// TestUpgradeByHandoffLosesNoRequest upgrades a server by handoff under load. No request may fail, and a
// version whose process ends before it is ready is rejected. The next agent, which duplicates the socket of the
// running process, can upgrade the server, too.
func TestUpgradeByHandoffLosesNoRequest(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	c := Default()
	address := labtest.Address(t)
	c.Machine, c.Listen, c.Registry, c.Folder = "m", labtest.Address(t), []string{"127.0.0.1:1"}, t.TempDir()
	c.Servers = []Server{{Name: "n", Address: address, Version: "v1", Ready: "/", Grace: 5 * time.Second, Handoff: true, Unlisted: true, Control: []string{labtest.Address(t), labtest.Address(t)},
		Command: []string{"/usr/bin/env", "AGENT_TEST_VERSION={version}", os.Args[0]}}}
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), labtest.HangTimeout)
	defer cancel()
	caller := Client{HTTP: http.DefaultClient}
	status := func() Status {
		s, _ := caller.Status(ctx, c.Listen, "n")
		return s
	}
	fence := uint64(0)
	order := func(version string) {
		t.Helper()
		fence++
		if _, err := caller.SetDesiredState(ctx, c.Listen, "n", DesiredState{Version: version}, registry.FencingToken{Lease: "release/x", Number: fence}); err != nil {
			t.Fatal(err)
		}
	}
	startAgent := func() func() { return labtest.Start(t, func(ctx context.Context) error { return Run(ctx, c, quiet) }) }
	stop := startAgent()
	labtest.Await(t, "the first version", func() bool { s := status(); return s.Ready && s.Version == "v1" })
	lostRequests := make(chan int)
	loading, stopLoad := context.WithCancel(ctx)
	go func() {
		failed := 0
		h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		for loading.Err() == nil {
			resp, err := h.Get("http://" + address)
			if err != nil {
				failed++
				continue
			}
			besteffort.Close(resp.Body)
		}
		lostRequests <- failed
	}()
	order("v2")
	labtest.Await(t, "the second version", func() bool {
		s := status()
		return s.Ready && s.Version == "v2" && s.Control == c.Servers[0].Control[1]
	})
	order("bad")
	labtest.Await(t, "the rejection of a version that ends", func() bool { s := status(); return s.RejectedVersion == "bad" && s.Version == "v2" })
	stop()
	stop = startAgent()
	labtest.Await(t, "the same process with the next agent", func() bool { s := status(); return s.Ready && s.Version == "v2" })
	order("v3")
	labtest.Await(t, "the third version", func() bool { s := status(); return s.Ready && s.Version == "v3" })
	stopLoad()
	if n := <-lostRequests; n > 0 {
		t.Errorf("%d requests failed during the upgrades", n)
	}
	stop()
	last, err := adopt(filepath.Join(c.Folder, "n.process"))
	if err != nil || last == nil {
		t.Fatal(last, err)
	}
	besteffort.Signal(last.signal(syscall.SIGKILL))
	besteffort.Ended(<-last.ended)
}
