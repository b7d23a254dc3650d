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

// TestMain lets this test's own binary be a server: it answers with its version,
// and one whose version is bad ends at once.
func TestMain(m *testing.M) {
	if version := os.Getenv("AGENT_TEST_VERSION"); version != "" {
		if version == "bad" {
			os.Exit(3)
		}
		http.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(fmt.Fprint(w, version)) })
		if os.Getenv("GW_ACCEPT_FD") == "3" {
			handOver(version)
		}
		_ = http.ListenAndServe(os.Getenv("AGENT_TEST_ADDRESS"), nil)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestLifeOfAServer: it is started and listed; killed, it is started again; it is
// replaced under a fencing token, and not by an earlier holder; it outlives its agent; a
// version that does not run leaves the list and can be taken back.
func TestLifeOfAServer(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	service, k := labtest.List(t)
	ctx, cancel := context.WithTimeout(context.Background(), labtest.Enough)
	defer cancel()
	c := Default()
	c.Machine, c.Listen, c.List, c.Folder, c.TTL = "m", labtest.Address(t), []string{service}, t.TempDir(), 2*time.Second
	at := labtest.Address(t)
	c.Servers = []Server{{Name: "s", Address: at, Version: "v1", Ready: "/", Grace: time.Second, Command: []string{"/usr/bin/env", "AGENT_TEST_VERSION={version}", "AGENT_TEST_ADDRESS=" + at, os.Args[0]}}}
	begin := func() func() { return labtest.Run(t, func(ctx context.Context) error { return Run(ctx, c, quiet) }) }
	listed := func() string {
		a, err := k.CurrentList(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range a.Endpoints {
			return e.Status + " " + e.Version
		}
		return "nothing"
	}
	call := Caller{HTTP: http.DefaultClient}
	status := func() Status {
		s, _ := call.Status(ctx, c.Listen, "s") // an agent that is not there yet has none
		return s
	}
	order := func(o DesiredState, fence uint64) error {
		_, err := call.Order(ctx, c.Listen, "s", o, registry.FencingToken{Lease: "release/x", Number: fence})
		return err
	}
	stop := begin()
	labtest.Await(t, "the first version", func() bool { return listed() == "ready v1" })
	first, err := adopt(filepath.Join(c.Folder, "s.process"))
	if err != nil || first == nil {
		t.Fatal(first, err)
	}
	besteffort.Signal(first.signal(syscall.SIGKILL))
	labtest.Await(t, "its next process", func() bool { s := status(); return s.Ready && s.Restarts == 1 })

	if err := order(DesiredState{Version: "v2", KeepDraining: true}, 5); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the second version", func() bool { s := status(); return s.Ready && s.Version == "v2" && listed() == "draining v2" })
	if err := order(DesiredState{Version: "v1"}, 4); err == nil || !strings.Contains(err.Error(), "another holds the duty") {
		t.Errorf("an earlier holder's order: %v", err)
	}
	before := status()
	stop()
	stop = begin()
	labtest.Await(t, "the same process with the next agent", func() bool { s := status(); return s.Ready && s.StartedAtMS == before.StartedAtMS && s.Version == "v2" })
	if err := order(DesiredState{Version: "v1"}, 4); err == nil {
		t.Error("the next agent takes an earlier holder's order")
	}
	if err := order(DesiredState{Version: "bad"}, 6); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the list without it", func() bool { return listed() == "nothing" && status().Restarts > 0 })
	if err := order(DesiredState{Version: "v1"}, 7); err != nil {
		t.Fatal(err)
	}
	labtest.Await(t, "the first version again", func() bool { return listed() == "ready v1" })
	stop()
	last, err := adopt(filepath.Join(c.Folder, "s.process"))
	if err != nil || last == nil {
		t.Fatal(last, err)
	}
	besteffort.Signal(last.signal(syscall.SIGKILL))
	besteffort.Ended(<-last.ended)
}

// handOver is a server that takes the clients' socket over, and ends in order. One
// whose version is mute never gets ready.
func handOver(version string) {
	if version != "mute" {
		go func() { _ = http.ListenAndServe(os.Getenv("GW_CONTROL"), nil) }()
	}
	ln, err := net.FileListener(os.NewFile(3, "clients"))
	if err != nil {
		os.Exit(1)
	}
	var open sync.WaitGroup
	srv := &http.Server{ConnState: func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Done()
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
	open.Wait() // Shutdown would drop what was accepted and not read
	os.Exit(0)
}

// TestHandover: a version that hands over is replaced without a request lost, by one
// that is ready; one that ends, or never gets ready, changes nothing; also by the next
// agent, which gets the socket from the process.
func TestHandover(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	c := Default()
	at := labtest.Address(t)
	c.Machine, c.Listen, c.List, c.Folder = "m", labtest.Address(t), []string{"127.0.0.1:1"}, t.TempDir()
	c.Servers = []Server{{Name: "n", Address: at, Version: "v1", Ready: "/", Grace: 5 * time.Second, Handover: true, Unlisted: true, Control: []string{labtest.Address(t), labtest.Address(t)},
		Command: []string{"/usr/bin/env", "AGENT_TEST_VERSION={version}", os.Args[0]}}}
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), labtest.Enough)
	defer cancel()
	call := Caller{HTTP: http.DefaultClient}
	status := func() Status {
		s, _ := call.Status(ctx, c.Listen, "n")
		return s
	}
	fence := uint64(0)
	order := func(version string) {
		t.Helper()
		fence++
		if _, err := call.Order(ctx, c.Listen, "n", DesiredState{Version: version}, registry.FencingToken{Lease: "release/x", Number: fence}); err != nil {
			t.Fatal(err)
		}
	}
	begin := func() func() { return labtest.Run(t, func(ctx context.Context) error { return Run(ctx, c, quiet) }) }
	stop := begin()
	labtest.Await(t, "the first version", func() bool { s := status(); return s.Ready && s.Version == "v1" })
	lost := make(chan int)
	asking, halt := context.WithCancel(ctx)
	go func() {
		n := 0
		h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		for asking.Err() == nil {
			resp, err := h.Get("http://" + at)
			if err != nil {
				n++
				continue
			}
			besteffort.Close(resp.Body)
		}
		lost <- n
	}()
	order("v2")
	labtest.Await(t, "the second version", func() bool {
		s := status()
		return s.Ready && s.Version == "v2" && s.Control == c.Servers[0].Control[1]
	})
	order("bad")
	labtest.Await(t, "the refusal of one that ends", func() bool { s := status(); return s.RejectedVersion == "bad" && s.Version == "v2" })
	stop()
	stop = begin()
	labtest.Await(t, "the same process with the next agent", func() bool { s := status(); return s.Ready && s.Version == "v2" })
	order("v3")
	labtest.Await(t, "the third version", func() bool { s := status(); return s.Ready && s.Version == "v3" })
	halt()
	if n := <-lost; n > 0 {
		t.Errorf("%d requests were lost", n)
	}
	stop()
	last, err := adopt(filepath.Join(c.Folder, "n.process"))
	if err != nil || last == nil {
		t.Fatal(last, err)
	}
	besteffort.Signal(last.signal(syscall.SIGKILL))
	besteffort.Ended(<-last.ended)
}
