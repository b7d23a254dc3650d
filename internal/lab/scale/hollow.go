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

// gcPercent is that of a node with the usual memory, by cmd/wrenspread-proxy.
const gcPercent = 300

// silent is a clients' listener to which nobody comes.
type silent struct {
	closed chan struct{}
	once   sync.Once
}

func (l *silent) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *silent) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *silent) Addr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Hollow runs so many nodes of the program in this process until ctx ends: all of a node but its clients'
// listener and, per process, the runtime and the text of the program. Their files are n0.json and so on in
// dir.
func Hollow(ctx context.Context, dir string, nodes int) error {
	return hollow(ctx, dir, nodes, func(int) slog.Handler { return slog.DiscardHandler })
}

// hollow is Hollow with logs.
func hollow(ctx context.Context, dir string, nodes int, log func(i int) slog.Handler) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	errs := make([]error, nodes)
	for i := range nodes {
		cfg, err := proxy.LoadConfig(configOf(dir, i))
		if err != nil {
			return err
		}
		n := proxy.New(cfg, slog.New(log(i)))
		all.Go(func() { n.ServeControl(ctx, cfg.Control) })
		all.Go(func() {
			if errs[i] = n.Run(ctx, &silent{closed: make(chan struct{})}); errs[i] != nil {
				stop() // one that can't run ends the others: it would be counted as one that costs nothing
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func configOf(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("n%d.json", i)) }
