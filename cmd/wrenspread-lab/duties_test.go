package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/config"
	"wrenspread/internal/lab/leases"
	"wrenspread/internal/registry/server"
)

// TestMain lets this test's own binary be a worker, hollow nodes, or a replica of the registry.
func TestMain(m *testing.M) {
	if os.Getenv("WRENSPREAD_LAB_AS_PROGRAM") != "1" {
		os.Exit(m.Run())
	}
	if os.Args[1] == "duty-worker" || os.Args[1] == "scale" {
		main()
		return
	}
	program := replica
	if os.Args[1] == "node" {
		program = standNode
	}
	if err := program(); err != nil {
		besteffort.Output(os.Stderr.WriteString(err.Error() + "\n"))
		os.Exit(1)
	}
}

func replica() error {
	flags := pflag.NewFlagSet("replica", pflag.ContinueOnError)
	flags.String(config.FileFlag, "", "")
	if err := flags.Parse(os.Args[1:]); err != nil {
		return err
	}
	c := server.Default()
	if err := config.Load(&c, flags); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return server.Run(ctx, c, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

func playDuties(t *testing.T, seed uint64, crew leases.CrewOptions) leases.Outcome {
	t.Helper()
	crew.Workers, crew.Duties, crew.TTL, crew.Command = 3, 2, time.Second, []string{os.Args[0], "duty-worker"}
	o, err := leases.Play(context.Background(), leases.Options{Crew: crew, Seed: seed, Replicas: 3, Length: 6 * time.Second, Dir: t.TempDir(),
		List: []string{os.Args[0]}, Env: []string{"WRENSPREAD_LAB_AS_PROGRAM=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(o.Line())
	return o
}

// TestDutiesHeld: behind a guard, and by time alone, one process holds a lease at a time.
func TestDutiesHeld(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		o := playDuties(t, seed, leases.CrewOptions{Guarded: seed%2 == 0})
		for _, b := range o.Broken {
			t.Error(b)
		}
		if o.Acts == 0 {
			t.Error("nobody acted")
		}
	}
}

// TestDeafWorkersAreFound: where work goes on after it is told to stop, and nobody checks fencing tokens, the check says so.
func TestDeafWorkersAreFound(t *testing.T) {
	for seed := uint64(17); seed < 26; seed++ {
		o := playDuties(t, seed, leases.CrewOptions{Deaf: 3 * time.Second})
		if slices.ContainsFunc(o.Broken, func(b string) bool { return strings.Contains(b, "writes under fence") }) {
			return
		}
	}
	t.Error("nothing is found in nine runs")
}
