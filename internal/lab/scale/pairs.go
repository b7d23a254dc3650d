package scale

import (
	"context"
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	tenantsAtOnce = 50 // tenants ordered together: the registry holds at most 1,000 records
	pairChanges   = 5  // number of tenants that are added one at a time
)

// Pairs holds the parameters of a measurement by two kinds of sizes together. Its nodes are hollow and run in
// one process.
type Pairs struct{ Nodes }

// Backends measures nodes and their replica, by the numbers of nodes and backends.
func (p *Pairs) Backends(ctx context.Context, nodes, backends []int) error {
	return p.recordGrid(nodes, "backends", "pairs", func(n int, add func(int, map[string]float64)) error {
		for _, b := range backends {
			size := Sizes{Nodes: n, Backends: b}
			err := p.withNodes(ctx, size, func(r rig) error {
				before, err := useOf(r.replica.Pid)
				if err != nil {
					return err
				}
				f, err := p.measureUse(ctx, r)
				if err != nil {
					return err
				}
				after, err := useOf(r.replica.Pid)
				work, took := after.minus(before), 2*p.RestTime.Seconds()
				f["replica_cores"], f["replica_bytes_out_per_s"], f["replica_memory_bytes"] = seconds(
					work.CPU,
				)/took, work.Written/took, after.RSS
				add(b, f)
				return err
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// recordGrid calls measure with each number of nodes. It records the figures that measure adds for each size
// of the kind otherSize.
func (p *Pairs) recordGrid(
	nodes []int,
	otherSize, measurement string,
	measure func(n int, add func(size int, f map[string]float64)) error,
) error {
	return p.record(measurement, func() (points []Point, err error) {
		for _, n := range nodes {
			values := map[int]map[string][]float64{}
			for range p.Repeat {
				err := measure(n, func(size int, f map[string]float64) {
					if values[size] == nil {
						values[size] = map[string][]float64{}
					}
					for name, v := range f {
						values[size][name] = append(values[size][name], v)
					}
				})
				if err != nil {
					return nil, fmt.Errorf("with %d nodes: %w", n, err)
				}
			}
			for _, size := range sortedKeys(values) {
				point := Point{
					Sizes:   map[string]int{"nodes": n, otherSize: size, "part": subsetFlag(p.Subsets)},
					Figures: map[string]Spread{},
				}
				for name, v := range values[size] {
					point.Figures[name] = spreadOf(v)
				}
				p.Report(point)
				points = append(points, point)
			}
		}
		return points, nil
	})
}

// Tenants measures the CPU time, memory and traffic of the nodes and of the registry replica, at rest and
// while tenants are added, for each pair of a number of nodes and a number of tenants. Each number of nodes
// is set up once per repetition, and a controller adds tenants to its catalogue up to each number in turn.
// tenants must not be empty, and each number must exceed the one before by at least pairChanges, which a
// measurement adds itself.
func (p *Pairs) Tenants(ctx context.Context, nodes, tenants []int) error {
	return p.recordGrid(nodes, "tenants", "pairs-tenants", func(n int, add func(int, map[string]float64)) error {
		return p.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
			f := Propagation{RegistryRun: p.RegistryRun,
				ChangesPerKind: tenants[len(tenants)-1] + pairChanges*len(tenants)}
			if err := f.storeInitialState(ctx, k); err != nil {
				return err
			}
			dir, err := os.MkdirTemp(p.Dir, "pairs")
			if err != nil {
				return err
			}
			defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
			controls, unreserve, err := writeNodeConfigsWithPolicy(dir, n, set.All[0].Address(), p.Subsets, true)
			defer unreserve()
			if err != nil {
				return err
			}
			controllerCtx, stop := context.WithCancel(ctx)
			ended := make(chan error, 1)
			go func() { ended <- runTenantController(controllerCtx, k) }()
			defer func() { stop(); besteffort.Ended(<-ended) }()
			log, err := history.New("")
			if err != nil {
				return err
			}
			group := process.NewGroup(log)
			defer group.Close(stopTimeout)
			r := rig{Sizes: Sizes{Nodes: n}, k: k, replica: set.All[0].Proc(), controls: controls}
			if r.nodes, err = p.startNodes(ctx, group, dir, controls); err != nil {
				return err
			}
			for existing, i := 0, 0; i < len(tenants); i++ {
				if err := r.addTenants(ctx, existing, tenants[i]); err != nil {
					return err
				}
				figures, err := p.measureTenants(ctx, r, tenants[i])
				if err != nil {
					return err
				}
				add(tenants[i], figures)
				existing = tenants[i] + pairChanges
			}
			return nil
		})
	})
}

// addTenants submits orders that add the tenants from number have up to number want, and waits until every
// node knows them.
func (r rig) addTenants(ctx context.Context, have, want int) error {
	for ; have < want; have += tenantsAtOnce {
		var g errgroup.Group
		for i := have; i < min(want, have+tenantsAtOnce); i++ {
			g.Go(func() error { return orderTenant(ctx, r.k, i) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
		if err := r.awaitStat(ctx, "tenants.known", min(want, have+tenantsAtOnce)); err != nil {
			return err
		}
	}
	return nil
}

// orderTenant submits the order that adds the i-th tenant.
func orderTenant(ctx context.Context, k *client.Client, i int) error {
	spec := tenantSpec(i)
	submitted, err := tenant.SubmitOrder(
		ctx,
		k,
		spec.Names[0],
		tenant.Order{ID: fmt.Sprint("scale-", i), Op: tenant.OrderAdd, Spec: spec},
	)
	if err == nil && !submitted {
		err = fmt.Errorf("submit an order for tenant %s: another order is pending", spec.Names[0])
	}
	return err
}

// measureTenants measures the resources that the nodes and the replica use at rest, and while tenants are
// added one after another. The catalogue has have tenants before.
func (p *Pairs) measureTenants(ctx context.Context, r rig, have int) (map[string]float64, error) {
	var uses [3]struct{ nodes, replica use }
	sample := func(i int) (err error) {
		if uses[i].nodes, err = useOfAll(r.nodes); err != nil {
			return err
		}
		uses[i].replica, err = useOf(r.replica.Pid)
		return err
	}
	backoff.Sleep(ctx, time.Second) // until the last tenant is served
	if err := sample(0); err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, p.RestTime)
	if err := sample(1); err != nil {
		return nil, err
	}
	began := time.Now()
	for i := range pairChanges {
		if err := r.addTenants(ctx, have+i, have+i+1); err != nil {
			return nil, err
		}
	}
	backoff.Sleep(ctx, time.Second)
	took := time.Since(began)
	if err := sample(2); err != nil {
		return nil, err
	}
	rest, work, nodeCount := uses[1].nodes.minus(uses[0].nodes), uses[2].nodes.minus(uses[1].nodes),
		float64(r.Nodes)
	restReplica, workReplica := uses[1].replica.minus(uses[0].replica), uses[2].replica.minus(uses[1].replica)
	durationRatio := seconds(took) / p.RestTime.Seconds()
	perChange := func(work, rest float64) float64 { return max(0, work-rest*durationRatio) / pairChanges }
	return map[string]float64{
		"rest_cores":   seconds(rest.CPU) / p.RestTime.Seconds() / nodeCount,
		"memory_bytes": uses[2].nodes.RSS / nodeCount,
		"change_cpu_s": perChange(
			seconds(work.CPU),
			seconds(rest.CPU),
		) / nodeCount,
		"change_bytes_in":      perChange(work.Read, rest.Read) / nodeCount,
		"replica_memory_bytes": uses[2].replica.RSS,
		"replica_change_cpu_s": perChange(seconds(workReplica.CPU), seconds(restReplica.CPU)),
		"replica_change_bytes_out": perChange(
			workReplica.Written,
			restReplica.Written,
		),
		"known_s": seconds(took-time.Second) / pairChanges,
	}, nil
}
