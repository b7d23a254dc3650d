package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/lab/scale"
	"wrenspread/internal/proxy"
)

// runProxy runs a node in this test's own binary until SIGTERM. The variable GW_CONFIG names its
// configuration.
func runProxy() error {
	cfg, err := proxy.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	clients, err := net.Listen("tcp4", cfg.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	n := proxy.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	go n.ServeControl(ctx, cfg.Control)
	return n.Run(ctx, clients)
}

// TestLatencyForwardsEachRequestOnceOnReusedConnections checks that requests pass through the node to the
// registered servers, with at most 1.2 attempts each, and that at most half of them need a new connection.
func TestLatencyForwardsEachRequestOnceOnReusedConnections(t *testing.T) {
	const servers = 12
	l := scale.Latency{RegistryRun: registryMeasurement(t), NodeCommand: []string{os.Args[0], "node"},
		RequestRate: 200, Length: time.Second, ServersPerNode: servers, Utilization: 0.01}
	if err := l.Measure(t.Context(), []int{servers}); err != nil {
		t.Fatal(err)
	}
	sent := recordedMedians(t, l.RegistryRun, "requests")[0] + recordedMedians(t, l.RegistryRun, "failed")[0]
	for name, bounds := range map[string][2]float64{
		"known":       {servers, servers},
		"attempts":    {1, 1.2},
		"made_share":  {0, 0.5},
		"requests":    {0.9 * sent, sent},
		"added_p50_s": {0, 10}, // the figure is recorded
		"in_p50_s":    {0, 10},
		"out_p50_s":   {0, 10},
	} {
		if got := recordedMedians(t, l.RegistryRun, name)[0]; got < bounds[0] || got > bounds[1] {
			t.Errorf("%s is %v, want %v to %v", name, got, bounds[0], bounds[1])
		}
	}
}
