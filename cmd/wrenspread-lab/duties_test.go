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

// TestMain lets this test's own binary run as a worker, as hollow nodes, as a proxy or as a registry replica.
func TestMain(m *testing.M) {
	if os.Getenv("WRENSPREAD_LAB_AS_PROGRAM") != "1" {
		os.Exit(m.Run())
	}
	if os.Args[1] == "duty-worker" || os.Args[1] == "scale" {
		main()
		return
	}
	program := runReplica
	if os.Args[1] == "node" {
		program = runProxy
	}
	if err := program(); err != nil {
		besteffort.Output(os.Stderr.WriteString(err.Error() + "\n"))
		os.Exit(1)
	}
}

// runReplica runs a replica of the registry, configured by the command line, until SIGTERM.
func runReplica() error {
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

// playLeaseRun plays one run of 6 s with three workers, two leases and three replicas, all in processes of
// this test's own binary.
func playLeaseRun(t *testing.T, seed uint64, workerGroup leases.PoolOptions) leases.Outcome {
	t.Helper()
	workerGroup.Workers, workerGroup.Leases, workerGroup.TTL, workerGroup.Command =
		3, 2, time.Second, []string{os.Args[0], "duty-worker"}
	o, err := leases.Play(context.Background(), leases.Options{Pool: workerGroup, Seed: seed, Replicas: 3,
		Length: 6 * time.Second, Dir: t.TempDir(),
		ReplicaCommand: []string{os.Args[0]}, Env: []string{"WRENSPREAD_LAB_AS_PROGRAM=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(o.Line())
	return o
}

// TestOneProcessHoldsALeaseWithAndWithoutFencing checks that a lease has one holder at a time, both where the
// resource checks fencing tokens (seed 2) and where only time separates the holders (seed 1).
func TestOneProcessHoldsALeaseWithAndWithoutFencing(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		o := playLeaseRun(t, seed, leases.PoolOptions{Guarded: seed%2 == 0})
		for _, b := range o.Broken {
			t.Error(b)
		}
		if o.Acts == 0 {
			t.Errorf("seed %d: no worker acted on a resource", seed)
		}
	}
}

// TestCheckFindsWorkersThatActAfterTheirLeaseEnded checks the check itself: workers that keep acting for 3 s
// after the order to stop, on a resource that does not check fencing tokens, are reported in one of nine
// runs.
func TestCheckFindsWorkersThatActAfterTheirLeaseEnded(t *testing.T) {
	for seed := uint64(17); seed < 26; seed++ {
		o := playLeaseRun(t, seed, leases.PoolOptions{OverrunAfterLoss: 3 * time.Second})
		if slices.ContainsFunc(o.Broken, func(b string) bool { return strings.Contains(b, "writes under fence") }) {
			return
		}
	}
	t.Error("nine runs with workers that act after their lease ended: no write under an old fence was reported")
}
