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

// RunRestartingHollow runs hollow nodes as RunHollow does; their numbers start with firstNode. If
// restartInterval is not 0, the nodes restart in turn, one in each interval.
func RunRestartingHollow(
	ctx context.Context, dir string, firstNode, nodes int, restartInterval time.Duration) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var nodeRuns sync.WaitGroup
	errs := make([]error, nodes)
	restarts := make([]chan struct{}, nodes)
	for i := range nodes {
		restarts[i] = make(chan struct{}, 1)
		nodeRuns.Go(func() {
			for ctx.Err() == nil && errs[i] == nil {
				errs[i] = runUntilRestart(ctx, configFile(dir, firstNode+i), restarts[i])
			}
			if errs[i] != nil {
				stop() // as in runHollow, a node that cannot run ends the others
			}
		})
	}
	for i := 0; restartInterval > 0 && backoff.Sleep(ctx, restartInterval); i++ {
		select {
		case restarts[i%nodes] <- struct{}{}:
		default: // the node has not received the previous request to restart
		}
	}
	nodeRuns.Wait()
	return errors.Join(errs...)
}

// runUntilRestart runs a node until ctx ends or its restart is requested.
func runUntilRestart(ctx context.Context, config string, restart <-chan struct{}) error {
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
		case <-restart:
			end()
		case <-running.Done():
		}
	})
	err = n.Run(running, &idleListener{closed: make(chan struct{})})
	end()
	tasks.Wait()
	return err
}
