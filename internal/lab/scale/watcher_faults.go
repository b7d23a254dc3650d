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

// ColdStart measures how n watchers without a cached list get the list when they connect to one replica at
// once.
func (l *RegistryRun) ColdStart(ctx context.Context, sizes []int, entries int) error {
	return l.points(ctx, "cold", "watchers", sizes, nil, l.Report, func(n int) (f map[string]float64, err error) {
		err = l.withReplica(ctx, entries, func(set *replicas.Set, k *client.Client) error {
			list, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			begun, err := useOfBoth(set.All[0].Proc().Pid)
			if err != nil {
				return err
			}
			start := time.Now()
			watchers, err := l.startWatchers(ctx, []string{set.All[0].Address()}, n, n, list.Index)
			if err != nil {
				return err
			}
			defer watchers.close()
			took := watchers.delaysSince(start, "")
			ended, err := useOfBoth(set.All[0].Proc().Pid)
			work := ended.minus(begun)
			f = map[string]float64{
				"entries":            float64(entries),
				"half_s":             took[n/2],
				"most99_s":           took[n*99/100],
				"last_s":             took[n-1],
				"replica_cpu_s":      seconds(work.replica.CPU),
				"replica_bytes_out":  work.replica.Written,
				"replica_bytes_held": ended.replica.RSS,
				"watcher_cpu_s":      seconds(work.self.CPU) / float64(n),
			}
			return err
		})
		return f, err
	})
}

// LeaderLoss kills the leader of three replicas while watchers follow all three replicas, then changes an
// entry and measures when the change is acknowledged and when the watchers have it.
func (l *RegistryRun) LeaderLoss(ctx context.Context, sizes []int, entries int) error {
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
			list, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			var addresses []string
			for _, r := range set.All {
				addresses = append(addresses, r.Address())
			}
			watchers, err := l.startWatchers(ctx, addresses, watchersAtOnce, n, list.Index)
			if err != nil {
				return err
			}
			defer watchers.close()
			leader, err := quorum.AwaitLeader(ctx, set, k)
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
			if err := watchers.await(ctx, n, r.Version, entryName(0)); err != nil {
				return err
			}
			took := watchers.delaysSince(acknowledged, entryName(0))
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
