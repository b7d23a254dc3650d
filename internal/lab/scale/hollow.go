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

// idleListener is a listener for clients to which no client connects.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *idleListener) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *idleListener) Addr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Hollow runs the given number of hollow nodes in this process until ctx ends. A hollow node is a complete
// node without its clients' listener; the runtime and the program's text exist once for the process. The
// nodes' configurations are n0.json and so on in dir.
func Hollow(ctx context.Context, dir string, nodes int) error {
	return runHollow(ctx, dir, nodes, func(int) slog.Handler { return slog.DiscardHandler })
}

// runHollow does the same as Hollow, and takes the handler of each node's log.
func runHollow(ctx context.Context, dir string, nodes int, log func(i int) slog.Handler) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	errs := make([]error, nodes)
	for i := range nodes {
		cfg, err := proxy.LoadConfig(configFile(dir, i))
		if err != nil {
			return err
		}
		n := proxy.New(cfg, slog.New(log(i)))
		all.Go(func() { n.ServeControl(ctx, cfg.Control) })
		all.Go(func() {
			if errs[i] = n.Run(ctx, &idleListener{closed: make(chan struct{})}); errs[i] != nil {
				stop() // a node that cannot run ends the others: else it would count as a node without cost
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func configFile(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("n%d.json", i)) }
