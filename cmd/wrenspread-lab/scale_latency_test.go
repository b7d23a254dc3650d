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

// standNode is a node in this test's own binary.
func standNode() error {
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

// TestLatencyCounted: requests go through the node to the servers listed, once each, and on connections that are mostly kept.
func TestLatencyCounted(t *testing.T) {
	const servers = 12
	l := scale.Latency{Lists: lists(t), Node: []string{os.Args[0], "node"}, Rate: 200, Length: time.Second, PerNode: servers, Use: 0.01}
	if err := l.Measure(t.Context(), []int{servers}); err != nil {
		t.Fatal(err)
	}
	sent := figureOf(t, l.Lists, "requests")[0] + figureOf(t, l.Lists, "failed")[0]
	for name, in := range map[string][2]float64{
		"known":       {servers, servers},
		"attempts":    {1, 1.2},
		"made_share":  {0, 0.5},
		"requests":    {0.9 * sent, sent},
		"added_p50_s": {0, 10}, // there is one
		"in_p50_s":    {0, 10},
		"out_p50_s":   {0, 10},
	} {
		if got := figureOf(t, l.Lists, name)[0]; got < in[0] || got > in[1] {
			t.Errorf("%s is %v, want %v to %v", name, got, in[0], in[1])
		}
	}
}
