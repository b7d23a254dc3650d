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
	listReads      = 10 // number of reads of the complete list over which a figure is averaged
	fewWatchers    = 30
	renewingAgents = 200
	renewalTime    = 4 * time.Second // length of the measurement of renewals
	renewedTTL     = registry.MaxTTL // so that only this measurement sets the rate of renewals
)

// Entries measures one replica by the number of entries in its list.
func (l *RegistryRun) Entries(ctx context.Context, sizes []int) error {
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

// measureEntries measures changes of a list with the given number of entries, and reads of the complete list.
func (l *RegistryRun) measureEntries(
	ctx context.Context,
	set *replicas.Set,
	k *client.Client,
	entries int,
) (map[string]float64, error) {
	list, err := k.CurrentList(ctx)
	if err != nil {
		return nil, err
	}
	pid, addresses := set.All[0].Proc().Pid, []string{set.All[0].Address()}
	watchers, err := l.startWatchers(ctx, addresses, fewWatchers, fewWatchers, list.Index)
	if err != nil {
		return nil, err
	}
	defer watchers.close()
	begun, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	for i := range changesPerFigure {
		r, err := registerRestart(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		if err := watchers.await(ctx, fewWatchers, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		list.Index = r.Version
	}
	changed, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	// New nodes read the list one after the other. The replica encodes it for the first of them, and answers
	// the others from a cache.
	for range listReads {
		reader, err := l.startWatchers(ctx, addresses, 1, 1, list.Index)
		if err != nil {
			return nil, err
		}
		reader.close()
	}
	read, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	work, lists := changed.minus(begun), read.minus(changed)
	return map[string]float64{
		"change_cpu_s": seconds(work.replica.CPU) / changesPerFigure,
		"change_bytes": work.replica.Written / changesPerFigure,
		"whole_cpu_s": seconds(
			lists.replica.CPU,
		) / listReads,
		"whole_bytes":  lists.self.Read / listReads,
		"reader_cpu_s": seconds(lists.self.CPU) / listReads,
		"memory_bytes": read.replica.RSS,
	}, nil
}

// Renewals measures the leader by the rate of renewals, in renewals a second. As with agents, each call
// renews the lease of one server.
func (l *RegistryRun) Renewals(ctx context.Context, rates []int) error {
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

// measureRenewals runs hollow agents that together make rate renewals a second. Each agent renews its own
// server on its own connection.
func measureRenewals(
	ctx context.Context, set *replicas.Set, k *client.Client, rate int) (map[string]float64, error) {
	var g errgroup.Group
	agents := make([]*client.Client, renewingAgents)
	for i := range agents {
		agent, err := client.New(client.Config{Addresses: []string{set.All[0].Address()}})
		if err != nil {
			return nil, err
		}
		defer agent.Close()
		agents[i] = agent
		g.Go(func() error {
			_, err := agent.Register(
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
	agentInterval := time.Duration(renewingAgents) * time.Second / time.Duration(rate)
	var made atomic.Int64
	var renewing sync.WaitGroup
	errs := make([]error, renewingAgents)
	for i, agent := range agents {
		renewing.Go(func() {
			for due := start.Add(agentInterval * time.Duration(i) / renewingAgents); due.Before(
				start.Add(renewalTime),
			); due = due.Add(agentInterval) {
				backoff.Sleep(ctx, time.Until(due))
				if _, errs[i] = agent.Renew(ctx, []string{fmt.Sprint("l", i)}); errs[i] != nil {
					return
				}
				made.Add(1)
			}
		})
	}
	renewing.Wait()
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
		"cores":       seconds(work.replica.CPU) / took,
		"cpu_s":       seconds(work.replica.CPU) / n,
		"bytes_in":    work.replica.Read / n,
		"bytes_out":   work.replica.Written / n,
		"agent_cpu_s": seconds(work.self.CPU) / n,
	}, nil
}
