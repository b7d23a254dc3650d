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
	readers    = 10 // complete lists that a figure is taken over
	few        = 30 // watchers
	agents     = 200
	renewTime  = 4 * time.Second
	renewedTTL = registry.MaxTTL // so that the rate is this measurement's alone
)

// Entries measures one replica by the entries of its list.
func (l *Lists) Entries(ctx context.Context, sizes []int) error {
	return l.points(
		ctx,
		"entries",
		"entries",
		sizes,
		map[string]int{"watchers": few},
		l.Say,
		func(n int) (f map[string]float64, err error) {
			err = l.fresh(ctx, n, func(set *replicas.Set, k *client.Client) error {
				f, err = l.sized(ctx, set, k, n)
				return err
			})
			return f, err
		},
	)
}

// sized measures changes and complete lists of a list of so many.
func (l *Lists) sized(
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
	c, err := l.gather(ctx, addresses, few, few, now.Index)
	if err != nil {
		return nil, err
	}
	defer c.end()
	begun, err := both(pid)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		r, err := change(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		if err := c.await(ctx, few, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		now.Index = r.Version
	}
	told, err := both(pid)
	if err != nil {
		return nil, err
	}
	// one after the other, as new nodes: the list is made for the first and kept for the rest
	for range readers {
		one, err := l.gather(ctx, addresses, 1, 1, now.Index)
		if err != nil {
			return nil, err
		}
		one.end()
	}
	read, err := both(pid)
	if err != nil {
		return nil, err
	}
	work, whole := told.minus(begun), read.minus(told)
	return map[string]float64{
		"change_cpu_s": seconds(work.service.CPU) / changes,
		"change_bytes": work.service.Written / changes,
		"whole_cpu_s": seconds(
			whole.service.CPU,
		) / readers,
		"whole_bytes":  whole.own.Read / readers,
		"reader_cpu_s": seconds(whole.own.CPU) / readers,
		"memory_bytes": read.service.RSS,
	}, nil
}

// Renewals measures the leader by how many renewals a second come, one server a call as agents make them.
func (l *Lists) Renewals(ctx context.Context, rates []int) error {
	return l.points(
		ctx,
		"renewals",
		"renewals",
		rates,
		nil,
		l.Say,
		func(n int) (f map[string]float64, err error) {
			err = l.fresh(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				f, err = renewed(ctx, set, k, n)
				return err
			})
			return f, err
		},
	)
}

// renewed has hollow agents renew at a rate, each its own servers on its own connection.
func renewed(ctx context.Context, set *replicas.Set, k *client.Client, rate int) (map[string]float64, error) {
	var g errgroup.Group
	all := make([]*client.Client, agents)
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
	begun, err := both(pid)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	each := time.Duration(agents) * time.Second / time.Duration(rate)
	var made atomic.Int64
	var working sync.WaitGroup
	errs := make([]error, agents)
	for i, one := range all {
		working.Go(func() {
			for at := start.Add(each * time.Duration(i) / agents); at.Before(start.Add(renewTime)); at = at.Add(each) {
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
	ended, err := both(pid)
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
