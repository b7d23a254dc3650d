package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/quorum"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

const (
	assumedFleetNodes = 4300 // size of the fleet by which watchers choose their subsets

	watchHold        = 5 * time.Second // hold time of a watch, as at a node
	changesPerFigure = 20              // over which a figure is taken
	settleTimeout    = time.Minute     // for all watchers to have a version: only a hang takes that long
	watchersAtOnce   = 200             // watchers that connect at once
)

// Lists says with which programs the registry's part is measured.
type Lists struct {
	Run
	Dir       string        // folder for the programs' data
	Program   []string      // command of wrenspread-registry
	Env       []string      // environment of the program
	Subsets   bool          // whether each watcher follows its own subset, in a fleet of the plan's size
	RestTime  time.Duration // length of a measurement at rest, and of changes at nodes
	Report    func(Point)
	runNumber int
}

// withReplica runs do with a single replica on an empty folder, filled with the given number of entries.
func (l *Lists) withReplica(
	ctx context.Context,
	entries int,
	do func(set *replicas.Set, k *client.Client) error,
) error {
	l.runNumber++
	o := quorum.Options{
		Seed:     1,
		Replicas: 1,
		Dir:      filepath.Join(l.Dir, fmt.Sprint("list", l.runNumber)),
		Command:  l.Program,
		Env:      l.Env,
	}
	return quorum.WithReplicas(ctx, o, func(set *replicas.Set, k *client.Client) error {
		if err := quorum.Fill(ctx, k, entries); err != nil {
			return err
		}
		return do(set, k)
	})
}

// registerRestart makes one change of an entry, of which every watcher is notified: the server restarts.
func registerRestart(ctx context.Context, k *client.Client, i, entries int) (registry.Result, error) {
	return k.Register(ctx, entryOf(i%entries), 0, nil)
}

// entryOf is the n-th server of a drawn list, just started.
func entryOf(n int) registry.Endpoint {
	return registry.Endpoint{
		Name:        entryName(n),
		Address:     fmt.Sprintf("10.1.%d.%d:5000", n>>8&255, n&255),
		Zone:        zoneOf(n),
		Type:        kindOf(n),
		Cell:        n / 3,
		Status:      registry.Ready,
		Weight:      1,
		StartedAtMS: time.Now().UnixMilli(),
	}
}

// entryName is the name that quorum.Fill gives the i-th entry.
func entryName(i int) string { return fmt.Sprintf("s-%08x", i) }

// watcherGroup is hollow watchers in one process: each is the client of a node without the rest of the
// node.
type watcherGroup struct {
	clients   []*client.Client
	versions  []atomic.Uint64 // the version that each client has
	arrivedAt []atomic.Int64  // when the version arrived, in ns since begun
	begun     time.Time
	subsets   []atomic.Pointer[registry.Subset] // the subset that each client follows; nil: the complete list
	followers sync.WaitGroup
	stop      context.CancelFunc
}

// startWatchers starts n watchers, of which the number together connects at once, and waits until all have
// a version.
func (l *Lists) startWatchers(
	ctx context.Context,
	addresses []string,
	together, n int,
	version uint64,
) (*watcherGroup, error) {
	following, stop := context.WithCancel(ctx)
	c := &watcherGroup{
		clients:   make([]*client.Client, n),
		versions:  make([]atomic.Uint64, n),
		arrivedAt: make([]atomic.Int64, n),
		subsets:   make([]atomic.Pointer[registry.Subset], n),
		begun:     time.Now(),
		stop:      stop,
	}
	for i := range n {
		conf := client.Config{Addresses: addresses, Hold: watchHold, OnChange: func(a registry.ListResponse) {
			c.arrivedAt[i].Store(int64(time.Since(c.begun)))
			if part, err := registry.ParseSubset(a.Subset); err == nil {
				c.subsets[i].Store(&part)
			}
			c.versions[i].Store(a.Index)
		}}
		if l.Subsets {
			conf.ChooseSubset = func(has registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
				return has.Next(i, assumedFleetNodes, total, entries, []registry.Placement{{}})
			}
		}
		k, err := client.New(conf)
		if err != nil {
			c.close()
			return nil, err
		}
		c.clients[i] = k
		c.followers.Go(func() { k.Follow(following); k.Close() })
		if i%together == together-1 || i == n-1 {
			if err := c.await(ctx, i+1, version, ""); err != nil {
				c.close()
				return nil, err
			}
		}
	}
	return c, nil
}

// close ends all watchers.
func (c *watcherGroup) close() {
	c.stop()
	c.followers.Wait()
}

// concerns reports whether a watcher is notified of an entry: it is, unless it follows a subset without the
// entry.
func (c *watcherGroup) concerns(i int, entry string) bool {
	part := c.subsets[i].Load()
	return part == nil || entry == "" || part.Contains(registry.Position(entry))
}

// await waits until the first watchers have a version; if entry is not empty, only those that the entry
// concerns.
func (c *watcherGroup) await(ctx context.Context, first int, version uint64, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for i := range first {
		if !c.concerns(i, entry) {
			continue
		}
		for c.versions[i].Load() < version {
			if !backoff.Sleep(ctx, time.Millisecond) {
				return fmt.Errorf(
					"watcher %d of %d has version %d, want %d: %w",
					i,
					len(c.clients),
					c.versions[i].Load(),
					version,
					ctx.Err(),
				)
			}
		}
	}
	return nil
}

// since returns the times from t until each watcher that an entry concerns had its present version, sorted.
func (c *watcherGroup) since(t time.Time, entry string) (all []float64) {
	for i := range c.arrivedAt {
		if !c.concerns(i, entry) {
			continue
		}
		all = append(all, seconds(time.Duration(c.arrivedAt[i].Load())-t.Sub(c.begun)))
	}
	slices.Sort(all)
	return all
}

// Watchers measures a change, and the rest between changes, by the number of watchers of one replica.
func (l *Lists) Watchers(ctx context.Context, sizes []int, entries int) error {
	return l.points(
		ctx,
		"watchers",
		"watchers",
		sizes,
		map[string]int{"entries": entries},
		l.Report,
		func(n int) (f map[string]float64, err error) {
			err = l.withReplica(ctx, entries, func(set *replicas.Set, k *client.Client) error {
				f, err = l.measureWatchers(ctx, set, k, n, entries)
				return err
			})
			return f, err
		},
	)
}

// measureWatchers measures one replica with n watchers.
func (l *Lists) measureWatchers(
	ctx context.Context,
	set *replicas.Set,
	k *client.Client,
	n, entries int,
) (map[string]float64, error) {
	now, err := k.CurrentList(ctx)
	if err != nil {
		return nil, err
	}
	pid := set.All[0].Proc().Pid
	empty, err := useOf(pid)
	if err != nil {
		return nil, err
	}
	c, err := l.startWatchers(ctx, []string{set.All[0].Address()}, watchersAtOnce, n, now.Index)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var median, most99, last []float64
	begun, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	for i := range changesPerFigure {
		r, err := registerRestart(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		if err := c.await(ctx, n, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		took := c.since(acknowledged, entryName(i%entries))
		if n := len(took); n > 0 { // else the change concerns no watcher
			median, most99, last = append(median, took[n/2]), append(most99, took[n*99/100]), append(last, took[n-1])
		}
	}
	changed, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, l.RestTime)
	rested, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	work, rest := changed.minus(begun), rested.minus(changed)
	each, restSeconds := float64(n), l.RestTime.Seconds()
	return map[string]float64{
		"change_cpu_s":             seconds(work.service.CPU) / changesPerFigure,
		"change_bytes":             work.service.Written / changesPerFigure,
		"watcher_change_bytes_in":  work.own.Read / changesPerFigure / each,
		"watcher_change_bytes_out": work.own.Written / changesPerFigure / each,
		"watcher_change_cpu_s":     seconds(work.own.CPU) / changesPerFigure / each,
		"rest_cores": seconds(
			rest.service.CPU,
		) / restSeconds,
		"rest_bytes_out":         rest.service.Written / restSeconds,
		"rest_bytes_in":          rest.service.Read / restSeconds,
		"watcher_rest_bytes_in":  rest.own.Read / restSeconds / each,
		"watcher_rest_bytes_out": rest.own.Written / restSeconds / each,
		"memory_bytes":           rested.service.RSS - empty.RSS,
		"descriptors":            rested.service.FDs,
		"half_s": spreadOf(
			median,
		).Median,
		"most99_s":     spreadOf(most99).Median,
		"last_s":       spreadOf(last).Median,
		"last_worst_s": slices.Max(last),
	}, nil
}

// usePair is what a replica and this process, with its hollow watchers, have used.
type usePair struct{ service, own use }

func useOfBoth(pid int) (p usePair, err error) {
	if p.service, err = useOf(pid); err != nil {
		return p, err
	}
	p.own, err = ownUse()
	return p, err
}

func (p usePair) minus(q usePair) usePair {
	return usePair{p.service.minus(q.service), p.own.minus(q.own)}
}
