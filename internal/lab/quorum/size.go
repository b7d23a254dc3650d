package quorum

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/lab/process"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// fillConcurrency is the number of concurrent writes while a list is filled.
const fillConcurrency = 64

// Fill registers n entries.
func Fill(ctx context.Context, registryClient *client.Client, n int) error {
	var g errgroup.Group
	g.SetLimit(fillConcurrency)
	for i := range n {
		g.Go(func() error {
			e := registry.Endpoint{
				Name:    fmt.Sprintf("s-%08x", i),
				Address: fmt.Sprintf("10.1.%d.%d:5000", i>>8&255, i&255),
				Zone:    "a",
				Type:    "m2",
				Cell:    i % 7,
				Status:  registry.Ready,
				Weight:  1,
			}
			_, err := registryClient.Register(ctx, e, 0, nil)
			return err
		})
	}
	return g.Wait()
}

// Size is the cost of a list with a number of entries for a single replica.
type Size struct {
	Entries int
	Fill    time.Duration // time to register all entries, fillConcurrency at a time
	Start   time.Duration // time from the start of the process, with the data on disk, until it is ready
	Disk    int64         // bytes of the data folder
	RSS     int64         // bytes after the start
	Change  time.Duration // CPU time of the replica per change, with one watcher
}

// MeasureSize measures the cost of a list with the given number of entries.
func MeasureSize(ctx context.Context, o Options, entries int) (size Size, err error) {
	o.Replicas, size.Entries = 1, entries
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		start := time.Now()
		if err := Fill(ctx, registryClient, entries); err != nil {
			return err
		}
		size.Fill = time.Since(start)
		r := c.replicas.All[0]
		if err := r.Proc().Term(shutdownTimeout); err != nil {
			return err
		}
		size.Disk = folderSize(filepath.Join(o.Dir, r.Name))
		start = time.Now()
		if err := c.replicas.Start(r); err != nil {
			return err
		}
		if err := c.replicas.AwaitReady(ctx); err != nil {
			return err
		}
		size.Start = time.Since(start)
		before, err := process.UseOf(r.Proc().Pid)
		if err != nil {
			return err
		}
		size.RSS = before.RSS
		watchCtx, stop := context.WithCancel(ctx)
		var running sync.WaitGroup
		running.Go(func() { registryClient.Follow(watchCtx) })
		defer running.Wait()
		defer stop()
		const changes = 200
		for i := range changes {
			if _, err := writeChange(ctx, registryClient, i); err != nil {
				return err
			}
		}
		after, err := process.UseOf(r.Proc().Pid)
		size.Change = (after.CPU - before.CPU) / changes
		return err
	})
	return size, err
}

// folderSize returns the sum of the sizes of all files under dir, in bytes.
func folderSize(dir string) (size int64) {
	_ = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				size += info.Size()
			}
		}
		return nil
	})
	return size
}

// Rates holds the numbers of writes and renewals that the replicas carry out per second.
type Rates struct {
	Callers int
	Writes  float64 // writes per second; each goes through the raft log
	Renewed float64 // renewed entries per second; each call renews namesPerRenewal entries
}

const (
	rateWindow      = 3 * time.Second
	namesPerRenewal = 20 // an agent renews this many backends, those of its machine
)

// MeasureRates measures the rates of writes and of renewals with a number of concurrent callers.
func MeasureRates(ctx context.Context, o Options, callers int) (rates Rates, err error) {
	rates.Callers = callers
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		var names []string
		for i := range namesPerRenewal {
			names = append(names, fmt.Sprint("l", i))
			if _, err := registryClient.Register(
				ctx,
				registry.Endpoint{Name: names[i], Address: "127.0.0.1:1", Status: registry.Ready},
				registry.MaxTTL,
				nil,
			); err != nil {
				return err
			}
		}
		var calls atomic.Int64
		rates.Writes = callRate(callers, func(int) error {
			_, err := writeChange(ctx, registryClient, int(calls.Add(1)))
			return err
		})
		rates.Renewed = namesPerRenewal * callRate(callers, func(int) error {
			_, err := registryClient.Renew(ctx, names)
			return err
		})
		return nil
	})
	return rates, err
}

// callRate returns the number of successful calls per second of a number of concurrent callers.
func callRate(callers int, call func(caller int) error) float64 {
	var calls atomic.Int64
	var running sync.WaitGroup
	deadline := time.Now().Add(rateWindow)
	for i := range callers {
		running.Go(func() {
			for time.Now().Before(deadline) {
				if call(i) == nil {
					calls.Add(1)
				}
			}
		})
	}
	running.Wait()
	return float64(calls.Load()) / rateWindow.Seconds()
}

// Arrival registers servers while clients start to follow the list. It returns the time until the list of
// every client has every server.
func Arrival(ctx context.Context, o Options, servers, clients int) (took time.Duration, err error) {
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		ctx, cancel := context.WithTimeout(ctx, readyTimeout)
		defer cancel()
		var running sync.WaitGroup
		defer running.Wait()
		followCtx, stop := context.WithCancel(ctx)
		defer stop()
		var addresses []string
		for _, r := range c.replicas.All {
			addresses = append(addresses, r.Address())
		}
		start := time.Now()
		fillDone := make(chan error, 1)
		go func() { fillDone <- Fill(ctx, registryClient, servers) }()
		var g errgroup.Group
		for range clients {
			listClient, err := client.New(client.Config{Addresses: addresses})
			if err != nil {
				return err
			}
			running.Go(func() { listClient.Follow(followCtx); listClient.Close() })
			g.Go(func() error {
				for {
					changed := listClient.Changed()
					if v, _ := listClient.List(); len(v.Endpoints) == servers {
						return nil
					}
					select {
					case <-changed:
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			})
		}
		err := g.Wait()
		took = time.Since(start)
		if e := <-fillDone; err == nil {
			err = e
		}
		return err
	})
	return took, err
}
