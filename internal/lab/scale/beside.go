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

// Beside runs hollow nodes as Hollow does, from one number on. Where every is not 0 one of them restarts in
// it, in turn.
func Beside(ctx context.Context, dir string, first, nodes int, every time.Duration) error {
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
				stop() // as in Hollow
			}
		})
	}
	for i := 0; every > 0 && backoff.Sleep(ctx, every); i++ {
		select {
		case turns[i%nodes] <- struct{}{}:
		default: // it has not ended its previous generation yet
		}
	}
	all.Wait()
	return errors.Join(errs...)
}

// oneLife runs a node until ctx ends or its turn comes.
func oneLife(ctx context.Context, config string, turn <-chan struct{}) error {
	cfg, err := proxy.LoadConfig(config)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(ctx)
	defer end()
	n := proxy.New(cfg, slog.New(slog.DiscardHandler))
	var beside sync.WaitGroup
	beside.Go(func() { n.ServeControl(life, cfg.Control) })
	beside.Go(func() {
		select {
		case <-turn:
			end()
		case <-life.Done():
		}
	})
	err = n.Run(life, &silent{closed: make(chan struct{})})
	end()
	beside.Wait()
	return err
}
