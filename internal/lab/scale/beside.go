package scale

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/proxy"
)

// RestartingHollow runs hollow nodes as Hollow does; first is the number of the first node. If every is not 0, the
// nodes restart in turn, one after each interval of that length.
func RestartingHollow(ctx context.Context, dir string, first, nodes int, every time.Duration) error {
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
				errs[i] = runUntilTurn(ctx, configFile(dir, first+i), turns[i])
			}
			if errs[i] != nil {
				stop() // as in runHollow: a node that cannot run ends the others
			}
		})
	}
	for i := 0; every > 0 && backoff.Sleep(ctx, every); i++ {
		select {
		case turns[i%nodes] <- struct{}{}:
		default: // the node has not yet ended for its previous restart
		}
	}
	all.Wait()
	return errors.Join(errs...)
}

// runUntilTurn runs a node until ctx ends or its turn to restart comes.
func runUntilTurn(ctx context.Context, config string, turn <-chan struct{}) error {
	cfg, err := proxy.LoadConfig(config)
	if err != nil {
		return err
	}
	running, end := context.WithCancel(ctx)
	defer end()
	n := proxy.New(cfg, slog.New(slog.DiscardHandler))
	var tasks sync.WaitGroup
	tasks.Go(func() { n.ServeControl(running, cfg.Control) })
	tasks.Go(func() {
		select {
		case <-turn:
			end()
		case <-running.Done():
		}
	})
	err = n.Run(running, &idleListener{closed: make(chan struct{})})
	end()
	tasks.Wait()
	return err
}
