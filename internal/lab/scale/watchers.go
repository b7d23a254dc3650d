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
	assumedFleetNodes = 4300 // fleet size by which watchers choose their subsets

	watchHold        = 5 * time.Second // time for which a replica may hold a watch; nodes use the same
	changesPerFigure = 20              // number of changes over which a figure is taken
	settleTimeout    = time.Minute     // for all watchers to have a version; only a hang takes longer
	watchersAtOnce   = 200             // number of watchers that connect together
)

// RegistryRun holds the parameters of a measurement with replicas of the registry.
type RegistryRun struct {
	Run
	Dir       string        // folder for the data of the programs
	Program   []string      // command of wrenspread-registry
	Env       []string      // environment of the program
	Subsets   bool          // whether each watcher or node follows only its own subset of the list
	RestTime  time.Duration // length of the measurement at rest, and of the measurement of changes at nodes
	Report    func(Point)
	runNumber int // number of sets of replicas started so far; each has its own folder
}

// withReplica starts a replica on an empty folder, adds the given number of entries, and calls do.
func (l *RegistryRun) withReplica(
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

// registerRestart registers a restart of the i-th server. It is a change of one entry, of which every watcher
// of the entry is notified.
func registerRestart(ctx context.Context, k *client.Client, i, entries int) (registry.Result, error) {
	return k.Register(ctx, entryOf(i%entries), 0, nil)
}

// entryOf returns the entry of the n-th server of a drawn list, which has just started.
func entryOf(n int) registry.Endpoint {
	return registry.Endpoint{
		Name:        entryName(n),
		Address:     fmt.Sprintf("10.1.%d.%d:5000", n>>8&255, n&255),
		Zone:        zoneOf(n),
		Type:        machineTypeOf(n),
		Cell:        n / 3,
		Status:      registry.Ready,
		Weight:      1,
		StartedAtMS: time.Now().UnixMilli(),
	}
}

// entryName returns the name that quorum.Fill gives to the i-th entry.
func entryName(i int) string { return fmt.Sprintf("s-%08x", i) }

// watcherGroup is a group of hollow watchers in this process. A hollow watcher is a node's client of the
// registry without the rest of the node.
type watcherGroup struct {
	clients   []*client.Client
	versions  []atomic.Uint64 // the version of the list that each client has
	arrivedAt []atomic.Int64  // when the version arrived, in ns since begun
	begun     time.Time
	subsets   []atomic.Pointer[registry.Subset] // the subset that each client follows; nil: the complete list
	followers sync.WaitGroup
	stop      context.CancelFunc
}

// startWatchers starts n watchers, of which atOnce connect together, and waits until all of them have the
// given version of the list.
func (l *RegistryRun) startWatchers(
	ctx context.Context,
	addresses []string,
	atOnce, n int,
	version uint64,
) (*watcherGroup, error) {
	following, stop := context.WithCancel(ctx)
	group := &watcherGroup{
		clients:   make([]*client.Client, n),
		versions:  make([]atomic.Uint64, n),
		arrivedAt: make([]atomic.Int64, n),
		subsets:   make([]atomic.Pointer[registry.Subset], n),
		begun:     time.Now(),
		stop:      stop,
	}
	for i := range n {
		conf := client.Config{Addresses: addresses, Hold: watchHold, OnChange: func(a registry.ListResponse) {
			group.arrivedAt[i].Store(int64(time.Since(group.begun)))
			if subset, err := registry.ParseSubset(a.Subset); err == nil {
				group.subsets[i].Store(&subset)
			}
			group.versions[i].Store(a.Index)
		}}
		if l.Subsets {
			conf.ChooseSubset = func(current registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
				return current.Next(i, assumedFleetNodes, total, entries, []registry.Placement{{}})
			}
		}
		k, err := client.New(conf)
		if err != nil {
			group.close()
			return nil, err
		}
		group.clients[i] = k
		group.followers.Go(func() { k.Follow(following); k.Close() })
		if i%atOnce == atOnce-1 || i == n-1 {
			if err := group.await(ctx, i+1, version, ""); err != nil {
				group.close()
				return nil, err
			}
		}
	}
	return group, nil
}

// close ends all watchers.
func (c *watcherGroup) close() {
	c.stop()
	c.followers.Wait()
}

// isNotifiedOf reports whether the i-th watcher is notified of a change of an entry: it is, unless it follows
// a subset without the entry. An empty entry stands for any entry.
func (c *watcherGroup) isNotifiedOf(i int, entry string) bool {
	subset := c.subsets[i].Load()
	return subset == nil || entry == "" || subset.Contains(registry.Position(entry))
}

// await waits until the first count watchers have a version. It does not wait for watchers that are not
// notified of the entry; if entry is empty, it waits for all.
func (c *watcherGroup) await(ctx context.Context, count int, version uint64, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for i := range count {
		if !c.isNotifiedOf(i, entry) {
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

// delaysSince returns the times from t until each watcher that is notified of an entry received its present
// version, sorted.
func (c *watcherGroup) delaysSince(t time.Time, entry string) (delays []float64) {
	for i := range c.arrivedAt {
		if !c.isNotifiedOf(i, entry) {
			continue
		}
		delays = append(delays, seconds(time.Duration(c.arrivedAt[i].Load())-t.Sub(c.begun)))
	}
	slices.Sort(delays)
	return delays
}

// Watchers measures one replica during changes and at rest, by the number of its watchers.
func (l *RegistryRun) Watchers(ctx context.Context, sizes []int, entries int) error {
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
func (l *RegistryRun) measureWatchers(
	ctx context.Context,
	set *replicas.Set,
	k *client.Client,
	n, entries int,
) (map[string]float64, error) {
	list, err := k.CurrentList(ctx)
	if err != nil {
		return nil, err
	}
	pid := set.All[0].Proc().Pid
	empty, err := useOf(pid)
	if err != nil {
		return nil, err
	}
	group, err := l.startWatchers(ctx, []string{set.All[0].Address()}, watchersAtOnce, n, list.Index)
	if err != nil {
		return nil, err
	}
	defer group.close()
	var medians, percentiles99, slowest []float64
	before, err := useOfBoth(pid)
	if err != nil {
		return nil, err
	}
	for i := range changesPerFigure {
		r, err := registerRestart(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		if err := group.await(ctx, n, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		took := group.delaysSince(acknowledged, entryName(i%entries))
		if n := len(took); n > 0 { // otherwise no watcher is notified of the change
			medians, percentiles99, slowest = append(medians, took[n/2]),
				append(percentiles99, took[n*99/100]), append(slowest, took[n-1])
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
	work, rest := changed.minus(before), rested.minus(changed)
	watchers, restSeconds := float64(n), l.RestTime.Seconds()
	return map[string]float64{
		"change_cpu_s":             seconds(work.replica.CPU) / changesPerFigure,
		"change_bytes":             work.replica.Written / changesPerFigure,
		"watcher_change_bytes_in":  work.self.Read / changesPerFigure / watchers,
		"watcher_change_bytes_out": work.self.Written / changesPerFigure / watchers,
		"watcher_change_cpu_s":     seconds(work.self.CPU) / changesPerFigure / watchers,
		"rest_cores": seconds(
			rest.replica.CPU,
		) / restSeconds,
		"rest_bytes_out":         rest.replica.Written / restSeconds,
		"rest_bytes_in":          rest.replica.Read / restSeconds,
		"watcher_rest_bytes_in":  rest.self.Read / restSeconds / watchers,
		"watcher_rest_bytes_out": rest.self.Written / restSeconds / watchers,
		"memory_bytes":           rested.replica.RSS - empty.RSS,
		"descriptors":            rested.replica.FDs,
		"half_s": spreadOf(
			medians,
		).Median,
		"most99_s":     spreadOf(percentiles99).Median,
		"last_s":       spreadOf(slowest).Median,
		"last_worst_s": slices.Max(slowest),
	}, nil
}

// usePair holds the resources that a replica has used, and those that this process with its hollow watchers
// has used.
type usePair struct{ replica, self use }

func useOfBoth(pid int) (p usePair, err error) {
	if p.replica, err = useOf(pid); err != nil {
		return p, err
	}
	p.self, err = ownUse()
	return p, err
}

func (p usePair) minus(q usePair) usePair {
	return usePair{p.replica.minus(q.replica), p.self.minus(q.self)}
}
