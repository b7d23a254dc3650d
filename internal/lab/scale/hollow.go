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
	"time"

	"indigotack/internal/node"
	"indigotack/internal/pause"
)

// gcPercent is that of a node with the usual memory, by cmd/indigotack.
const gcPercent = 300

// silent is a clients' listener to which nobody comes.
type silent struct {
	closed chan struct{}
	once   sync.Once
}

func (l *silent) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *silent) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *silent) Addr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Hollow runs nodes of the program in this process until ctx ends: all of a node but its clients' listener and, per
// process, the runtime and the text of the program. Their files are nFIRST.json and so on in dir. Where every is not 0
// one of them restarts in it, in turn.
func Hollow(ctx context.Context, dir string, first, nodes int, every time.Duration) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	errs := make([]error, nodes)
	turns := make([]chan struct{}, nodes)
	for i := range nodes {
		turns[i] = make(chan struct{}, 1)
		all.Go(func() {
			for ctx.Err() == nil && errs[i] == nil {
				errs[i] = oneLife(ctx, configOf(dir, first+i), turns[i])
			}
			if errs[i] != nil {
				stop() // one that can't run ends the others: it would be counted as one that costs nothing
			}
		})
	}
	for i := 0; every > 0 && pause.For(ctx, every); i++ {
		select {
		case turns[i%nodes] <- struct{}{}:
		default: // it has not ended its former life yet
		}
	}
	all.Wait()
	return errors.Join(errs...)
}

// oneLife runs a node until ctx ends or its turn comes.
func oneLife(ctx context.Context, config string, turn <-chan struct{}) error {
	cfg, err := node.LoadConfig(config)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(ctx)
	defer end()
	n := node.New(cfg, slog.New(slog.DiscardHandler))
	var control sync.WaitGroup
	control.Go(func() { n.ServeControl(life, cfg.Control) })
	control.Go(func() {
		select {
		case <-turn:
			end()
		case <-life.Done():
		}
	})
	err = n.Run(life, &silent{closed: make(chan struct{})})
	end()
	control.Wait()
	return err
}

func configOf(dir string, i int) string { return filepath.Join(dir, fmt.Sprintf("n%d.json", i)) }
