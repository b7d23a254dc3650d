package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"runtime/debug"
	"sync"

	"wrenspread/internal/proxy"
)

// gcPercent is the garbage collector's target that cmd/wrenspread-proxy sets for a node with the usual
// memory.
const gcPercent = 300

// idleListener stands in for a node's listener for clients; no client connects to it.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *idleListener) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *idleListener) Addr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// RunHollow runs hollow nodes in this process until ctx ends. A hollow node is a complete node without a
// listener for clients, and without a process of its own: all hollow nodes share the Go runtime and the
// program's code. The configurations of the nodes are the files n0.json, n1.json and so on in dir.
func RunHollow(ctx context.Context, dir string, nodes int) error {
	return runHollow(ctx, dir, nodes, func(int) slog.Handler { return slog.DiscardHandler })
}

// runHollow runs hollow nodes as RunHollow does. The function log returns the log handler of the i-th node.
func runHollow(ctx context.Context, dir string, nodes int, log func(i int) slog.Handler) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var nodeRuns sync.WaitGroup
	errs := make([]error, nodes)
	for i := range nodes {
		cfg, err := proxy.LoadConfig(configFile(dir, i))
		if err != nil {
			return err
		}
		n := proxy.New(cfg, slog.New(log(i)))
		nodeRuns.Go(func() { n.ServeControl(ctx, cfg.Control) })
		nodeRuns.Go(func() {
			if errs[i] = n.Run(ctx, &idleListener{closed: make(chan struct{})}); errs[i] != nil {
				stop() // a node that cannot run ends the others; otherwise it would be counted as a node without cost
			}
		})
	}
	nodeRuns.Wait()
	return errors.Join(errs...)
}

func configFile(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("n%d.json", i)) }
