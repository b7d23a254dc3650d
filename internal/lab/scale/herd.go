package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"wrenspread/internal/lab/quorum"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry/client"
)

// Cold has n watchers without a cached list connect at once.
func (l *Lists) Cold(ctx context.Context, sizes []int, entries int) error {
	return l.points(ctx, "cold", "watchers", sizes, nil, l.Report, func(n int) (f map[string]float64, err error) {
		err = l.withReplica(ctx, entries, func(set *replicas.Set, k *client.Client) error {
			now, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			begun, err := useOfBoth(set.All[0].Proc().Pid)
			if err != nil {
				return err
			}
			start := time.Now()
			c, err := l.startWatchers(ctx, []string{set.All[0].Address()}, n, n, now.Index)
			if err != nil {
				return err
			}
			defer c.close()
			took := c.since(start, "")
			ended, err := useOfBoth(set.All[0].Proc().Pid)
			work := ended.minus(begun)
			f = map[string]float64{
				"entries":            float64(entries),
				"half_s":             took[n/2],
				"most99_s":           took[n*99/100],
				"last_s":             took[n-1],
				"replica_cpu_s":      seconds(work.service.CPU),
				"replica_bytes_out":  work.service.Written,
				"replica_bytes_held": ended.service.RSS,
				"watcher_cpu_s":      seconds(work.own.CPU) / float64(n),
			}
			return err
		})
		return f, err
	})
}

// Lost kills the leader of three replicas while watchers follow all three, and then makes a change.
func (l *Lists) Lost(ctx context.Context, sizes []int, entries int) error {
	return l.points(ctx, "lost", "watchers", sizes, nil, l.Report, func(n int) (f map[string]float64, err error) {
		l.runNumber++
		o := quorum.Options{
			Seed:     1,
			Replicas: 3,
			Dir:      filepath.Join(l.Dir, fmt.Sprint("list", l.runNumber)),
			Command:  l.Program,
			Env:      l.Env,
		}
		err = quorum.WithReplicas(ctx, o, func(set *replicas.Set, k *client.Client) error {
			if err := quorum.Fill(ctx, k, entries); err != nil {
				return err
			}
			now, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			var addresses []string
			for _, r := range set.All {
				addresses = append(addresses, r.Address())
			}
			c, err := l.startWatchers(ctx, addresses, watchersAtOnce, n, now.Index)
			if err != nil {
				return err
			}
			defer c.close()
			leader, err := quorum.Leading(ctx, set, k)
			if err != nil {
				return err
			}
			killed := time.Now()
			if err := leader.Kill(); err != nil {
				return err
			}
			r, err := registerRestart(ctx, k, 0, entries)
			if err != nil {
				return err
			}
			acknowledged := time.Now()
			if err := c.await(ctx, n, r.Version, entryName(0)); err != nil {
				return err
			}
			took := c.since(acknowledged, entryName(0))
			f = map[string]float64{
				"entries":   float64(entries),
				"written_s": seconds(acknowledged.Sub(killed)),
				"half_s":    took[n/2],
				"most99_s":  took[n*99/100],
				"last_s":    took[n-1],
			}
			return nil
		})
		return f, err
	})
}
