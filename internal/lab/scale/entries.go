package scale

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

const (
	listReads      = 10 // complete lists over which a figure is averaged
	fewWatchers    = 30
	renewingAgents = 200
	renewalTime    = 4 * time.Second
	renewedTTL     = registry.MaxTTL // so that only this measurement sets the rate of renewals
)

// Entries measures one replica by the number of entries in its list.
func (l *Lists) Entries(ctx context.Context, sizes []int) error {
	return l.points(
		ctx,
		"entries",
		"entries",
		sizes,
		map[string]int{"watchers": fewWatchers},
		l.Report,
		func(n int) (f map[string]float64, err error) {
			err = l.withReplica(ctx, n, func(set *replicas.Set, k *client.Client) error {
				f, err = l.measureEntries(ctx, set, k, n)
				return err
			})
			return f, err
		},
	)
}

// measureEntries measures changes and reads of the complete list, of a list with the given number of
// entries.
func (l *Lists) measureEntries(
	ctx context.Context,
	set *replicas.Set,
	k *client.Client,
	entries int,
) (map[string]float64, error) {
	now, err := k.CurrentList(ctx)
	if err != nil {
		return nil, err
	}
	pid, addresses := set.All[0].Proc().Pid, []string{set.All[0].Address()}
	c, err := l.startWatchers(ctx, addresses, fewWatchers, fewWatchers, now.Index)
	if err != nil {
		return nil, err
	}
	defer c.close()
	begun, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	for i := range changesPerFigure {
		r, err := registerRestart(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		if err := c.await(ctx, fewWatchers, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		now.Index = r.Version
	}
	changed, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	// New nodes read one after the other: the replica encodes the list for the first and caches it for the rest.
	for range listReads {
		one, err := l.startWatchers(ctx, addresses, 1, 1, now.Index)
		if err != nil {
			return nil, err
		}
		one.close()
	}
	read, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	work, lists := changed.minus(begun), read.minus(changed)
	return map[string]float64{
		"change_cpu_s": seconds(work.service.CPU) / changesPerFigure,
		"change_bytes": work.service.Written / changesPerFigure,
		"whole_cpu_s": seconds(
			lists.service.CPU,
		) / listReads,
		"whole_bytes":  lists.own.Read / listReads,
		"reader_cpu_s": seconds(lists.own.CPU) / listReads,
		"memory_bytes": read.service.RSS,
	}, nil
}

// Renewals measures the leader by the renewals a second; as with agents, each call renews one server.
func (l *Lists) Renewals(ctx context.Context, rates []int) error {
	return l.points(
		ctx,
		"renewals",
		"renewals",
		rates,
		nil,
		l.Report,
		func(n int) (f map[string]float64, err error) {
			err = l.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				f, err = measureRenewals(ctx, set, k, n)
				return err
			})
			return f, err
		},
	)
}

// measureRenewals has hollow agents renew at a rate a second, each its own server on its own connection.
func measureRenewals(ctx context.Context, set *replicas.Set, k *client.Client, rate int) (map[string]float64, error) {
	var g errgroup.Group
	all := make([]*client.Client, renewingAgents)
	for i := range all {
		one, err := client.New(client.Config{Addresses: []string{set.All[0].Address()}})
		if err != nil {
			return nil, err
		}
		defer one.Close()
		all[i] = one
		g.Go(func() error {
			_, err := one.Register(
				ctx,
				registry.Endpoint{Name: fmt.Sprint("l", i), Address: "127.0.0.1:1", Status: registry.Ready},
				renewedTTL,
				nil,
			)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	pid := set.All[0].Proc().Pid
	begun, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	each := time.Duration(renewingAgents) * time.Second / time.Duration(rate)
	var made atomic.Int64
	var working sync.WaitGroup
	errs := make([]error, renewingAgents)
	for i, one := range all {
		working.Go(func() {
			for at := start.Add(each * time.Duration(i) / renewingAgents); at.Before(
				start.Add(renewalTime),
			); at = at.Add(each) {
				backoff.Sleep(ctx, time.Until(at))
				if _, errs[i] = one.Renew(ctx, []string{fmt.Sprint("l", i)}); errs[i] != nil {
					return
				}
				made.Add(1)
			}
		})
	}
	working.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	took := time.Since(start).Seconds()
	ended, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	work, n := ended.minus(begun), float64(made.Load())
	return map[string]float64{
		"made_per_s":  n / took,
		"cores":       seconds(work.service.CPU) / took,
		"cpu_s":       seconds(work.service.CPU) / n,
		"bytes_in":    work.service.Read / n,
		"bytes_out":   work.service.Written / n,
		"agent_cpu_s": seconds(work.own.CPU) / n,
	}, nil
}
