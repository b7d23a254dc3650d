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
func Fill(ctx context.Context, k *client.Client, n int) error {
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
			_, err := k.Register(ctx, e, 0, nil)
			return err
		})
	}
	return g.Wait()
}

// Size is the cost of a list of some size for a single replica.
type Size struct {
	Entries int
	Fill    time.Duration // to register all entries, 64 at a time
	Start   time.Duration // from the start of the process, with the data on disk, until it is ready
	Disk    int64         // bytes of the data folder
	RSS     int64         // bytes after the start
	Change  time.Duration // CPU time per change, with one watcher
}

// MeasureSize measures a list of the given number of entries.
func MeasureSize(ctx context.Context, o Options, entries int) (s Size, err error) {
	o.Replicas, s.Entries = 1, entries
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		began := time.Now()
		if err := Fill(ctx, k, entries); err != nil {
			return err
		}
		s.Fill = time.Since(began)
		r := c.set.All[0]
		if err := r.Proc().Term(shutdownTimeout); err != nil {
			return err
		}
		s.Disk = folderSize(filepath.Join(o.Dir, r.Name))
		began = time.Now()
		if err := c.set.Start(r); err != nil {
			return err
		}
		if err := c.set.Ready(ctx); err != nil {
			return err
		}
		s.Start = time.Since(began)
		before, err := process.UseOf(r.Proc().Pid)
		if err != nil {
			return err
		}
		s.RSS = before.RSS
		watching, stop := context.WithCancel(ctx)
		var watch sync.WaitGroup
		watch.Go(func() { k.Follow(watching) })
		defer watch.Wait()
		defer stop()
		const changes = 200
		for i := range changes {
			if _, err := writeChange(ctx, k, i); err != nil {
				return err
			}
		}
		after, err := process.UseOf(r.Proc().Pid)
		s.Change = (after.CPU - before.CPU) / changes
		return err
	})
	return s, err
}

// folderSize is the sum of the sizes of all files under dir, in bytes.
func folderSize(dir string) (n int64) {
	_ = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				n += info.Size()
			}
		}
		return nil
	})
	return n
}

// Rates is the number of calls that the replicas answer per second.
type Rates struct {
	Callers int
	Writes  float64 // each write goes through the raft log
	Renewed float64 // entries, namesPerRenewal in a call
}

const (
	rateWindow      = 3 * time.Second
	namesPerRenewal = 20 // as many as an agent has backends on its machine
)

// MeasureRates measures writes and renewals with a number of concurrent callers.
func MeasureRates(ctx context.Context, o Options, callers int) (r Rates, err error) {
	r.Callers = callers
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		var names []string
		for i := range namesPerRenewal {
			names = append(names, fmt.Sprint("l", i))
			if _, err := k.Register(
				ctx,
				registry.Endpoint{Name: names[i], Address: "127.0.0.1:1", Status: registry.Ready},
				registry.MaxTTL,
				nil,
			); err != nil {
				return err
			}
		}
		var n atomic.Int64
		r.Writes = callRate(callers, func(int) error {
			_, err := writeChange(ctx, k, int(n.Add(1)))
			return err
		})
		r.Renewed = namesPerRenewal * callRate(callers, func(int) error {
			_, err := k.Renew(ctx, names)
			return err
		})
		return nil
	})
	return r, err
}

// callRate returns the number of successful calls per second of a number of concurrent callers.
func callRate(callers int, call func(caller int) error) float64 {
	var n atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(rateWindow)
	for i := range callers {
		all.Go(func() {
			for time.Now().Before(until) {
				if call(i) == nil {
					n.Add(1)
				}
			}
		})
	}
	all.Wait()
	return float64(n.Load()) / rateWindow.Seconds()
}

// Arrival has servers register and clients start to follow the list at the same time. It returns the time
// until every client has every server.
func Arrival(ctx context.Context, o Options, servers, clients int) (took time.Duration, err error) {
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		ctx, cancel := context.WithTimeout(ctx, readyTimeout)
		defer cancel()
		var follow sync.WaitGroup
		defer follow.Wait()
		following, stop := context.WithCancel(ctx)
		defer stop()
		var addresses []string
		for _, r := range c.set.All {
			addresses = append(addresses, r.Address())
		}
		began := time.Now()
		filled := make(chan error, 1)
		go func() { filled <- Fill(ctx, k, servers) }()
		var g errgroup.Group
		for range clients {
			registryClient, err := client.New(client.Config{Addresses: addresses})
			if err != nil {
				return err
			}
			follow.Go(func() { registryClient.Follow(following); registryClient.Close() })
			g.Go(func() error {
				for {
					changed := registryClient.Changed()
					if v, _ := registryClient.List(); len(v.Endpoints) == servers {
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
		took = time.Since(began)
		if e := <-filled; err == nil {
			err = e
		}
		return err
	})
	return took, err
}
