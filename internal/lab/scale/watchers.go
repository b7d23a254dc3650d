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
	fleetNodes = 4300 // that watchers of parts believe in

	holdOfNode     = 5 * time.Second // of a watch, as a node has it
	changes        = 20              // that a figure is taken over
	settleTime     = time.Minute     // for all watchers to have a version: only a hang takes so long
	arriveTogether = 200             // watchers that come at once
)

// Lists says against which programs the registry's part is measured.
type Lists struct {
	Run
	Dir     string        // for what the programs keep
	Program []string      // wrenspread-registry
	Env     []string      // of it
	Parts   bool          // watchers follow the parts of so many nodes as the plan has, each its own
	Rest    time.Duration // for which nothing happens, and then changes come to nodes
	Say     func(Point)
	number  int
}

// fresh is one replica that is alone, on an empty folder.
func (l *Lists) fresh(
	ctx context.Context,
	entries int,
	do func(set *replicas.Set, k *client.Client) error,
) error {
	l.number++
	o := quorum.Options{
		Seed:     1,
		Replicas: 1,
		Dir:      filepath.Join(l.Dir, fmt.Sprint("list", l.number)),
		Command:  l.Program,
		Env:      l.Env,
	}
	return quorum.Measure(ctx, o, func(set *replicas.Set, k *client.Client) error {
		if err := quorum.Fill(ctx, k, entries); err != nil {
			return err
		}
		return do(set, k)
	})
}

// change is one change of an entry that every watcher gets: it restarts.
func change(ctx context.Context, k *client.Client, i, entries int) (registry.Result, error) {
	return k.Register(ctx, entryOf(i%entries), 0, nil)
}

// entryOf is a server of a drawn list that has just started.
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

// entryName is that of quorum.Fill.
func entryName(i int) string { return fmt.Sprintf("s-%08x", i) }

// crowd is hollow watchers in one process: the client of a node without the rest of it.
type crowd struct {
	all    []*client.Client
	have   []atomic.Uint64 // the version that each has
	when   []atomic.Int64  // it came, in ns since begun
	begun  time.Time
	part   []atomic.Pointer[registry.Subset] // that each follows; nil: all
	follow sync.WaitGroup
	stop   context.CancelFunc
}

// gather starts watchers, some together, and waits until all have a version.
func (l *Lists) gather(
	ctx context.Context,
	addresses []string,
	together, n int,
	version uint64,
) (*crowd, error) {
	following, stop := context.WithCancel(ctx)
	c := &crowd{
		all:   make([]*client.Client, n),
		have:  make([]atomic.Uint64, n),
		when:  make([]atomic.Int64, n),
		part:  make([]atomic.Pointer[registry.Subset], n),
		begun: time.Now(),
		stop:  stop,
	}
	for i := range n {
		conf := client.Config{Addresses: addresses, Hold: holdOfNode, OnChange: func(a registry.ListResponse) {
			c.when[i].Store(int64(time.Since(c.begun)))
			if part, err := registry.ParseSubset(a.Subset); err == nil {
				c.part[i].Store(&part)
			}
			c.have[i].Store(a.Index)
		}}
		if l.Parts {
			conf.ChooseSubset = func(has registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
				return has.Next(i, fleetNodes, total, entries, []registry.Placement{{}})
			}
		}
		k, err := client.New(conf)
		if err != nil {
			c.end()
			return nil, err
		}
		c.all[i] = k
		c.follow.Go(func() { k.Follow(following); k.Close() })
		if i%together == together-1 || i == n-1 {
			if err := c.await(ctx, i+1, version, ""); err != nil {
				c.end()
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *crowd) end() {
	c.stop()
	c.follow.Wait()
}

// concerned reports whether a watcher is to hear of an entry: of each, unless it follows a part.
func (c *crowd) concerned(i int, entry string) bool {
	part := c.part[i].Load()
	return part == nil || entry == "" || part.Contains(registry.Position(entry))
}

// await waits until the first so many have a version, those that it concerns where it is of an entry.
func (c *crowd) await(ctx context.Context, first int, version uint64, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for i := range first {
		if !c.concerned(i, entry) {
			continue
		}
		for c.have[i].Load() < version {
			if !backoff.Sleep(ctx, time.Millisecond) {
				return fmt.Errorf(
					"watcher %d of %d stays at version %d, not %d: %w",
					i,
					len(c.all),
					c.have[i].Load(),
					version,
					ctx.Err(),
				)
			}
		}
	}
	return nil
}

// since gives the times from a moment until each that an entry concerns had its present version, in order.
func (c *crowd) since(t time.Time, entry string) (all []float64) {
	for i := range c.when {
		if !c.concerned(i, entry) {
			continue
		}
		all = append(all, seconds(time.Duration(c.when[i].Load())-t.Sub(c.begun)))
	}
	slices.Sort(all)
	return all
}

// Watchers measures a change and the rest between changes by how many watch one replica.
func (l *Lists) Watchers(ctx context.Context, sizes []int, entries int) error {
	return l.points(
		ctx,
		"watchers",
		"watchers",
		sizes,
		map[string]int{"entries": entries},
		l.Say,
		func(n int) (f map[string]float64, err error) {
			err = l.fresh(ctx, entries, func(set *replicas.Set, k *client.Client) error {
				f, err = l.watched(ctx, set, k, n, entries)
				return err
			})
			return f, err
		},
	)
}

// watched measures one replica with so many watchers.
func (l *Lists) watched(
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
	c, err := l.gather(ctx, []string{set.All[0].Address()}, arriveTogether, n, now.Index)
	if err != nil {
		return nil, err
	}
	defer c.end()
	var median, most99, last []float64
	begun, err := both(pid)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		r, err := change(ctx, k, i, entries)
		if err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		if err := c.await(ctx, n, r.Version, entryName(i%entries)); err != nil {
			return nil, err
		}
		took := c.since(acknowledged, entryName(i%entries))
		if n := len(took); n > 0 { // else it concerns nobody here
			median, most99, last = append(median, took[n/2]), append(most99, took[n*99/100]), append(last, took[n-1])
		}
	}
	told, err := both(pid)
	if err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, l.Rest)
	rested, err := both(pid)
	if err != nil {
		return nil, err
	}
	work, rest := told.minus(begun), rested.minus(told)
	each, whole := float64(n), l.Rest.Seconds()
	return map[string]float64{
		"change_cpu_s":             seconds(work.service.CPU) / changes,
		"change_bytes":             work.service.Written / changes,
		"watcher_change_bytes_in":  work.own.Read / changes / each,
		"watcher_change_bytes_out": work.own.Written / changes / each,
		"watcher_change_cpu_s":     seconds(work.own.CPU) / changes / each,
		"rest_cores": seconds(
			rest.service.CPU,
		) / whole,
		"rest_bytes_out":         rest.service.Written / whole,
		"rest_bytes_in":          rest.service.Read / whole,
		"watcher_rest_bytes_in":  rest.own.Read / whole / each,
		"watcher_rest_bytes_out": rest.own.Written / whole / each,
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

// pair is what a replica and this process, with its hollow parts, have used.
type pair struct{ service, own use }

func both(pid int) (p pair, err error) {
	if p.service, err = useOf(pid); err != nil {
		return p, err
	}
	p.own, err = ownUse()
	return p, err
}

func (p pair) minus(q pair) pair { return pair{p.service.minus(q.service), p.own.minus(q.own)} }
