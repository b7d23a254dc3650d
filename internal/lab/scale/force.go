package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/policy"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	forceEntries      = 200
	burstChanges      = 10                     // changes made at once
	conductInterval   = 200 * time.Millisecond // as in the operators' command
	catalogueInterval = 20 * time.Millisecond
)

// Force measures the time from the operator's call until a policy, a tenant or a ban is in force at the
// last of many hollow nodes in this process.
type Force struct {
	Lists
	Each    int     // number of changes of each kind
	Changes float64 // changes of the list a second meanwhile, in bursts; 0: none
	// Fleet measures, in place of tenants and bans, what the nodes use in one process, and when their views
	// of the fleet are complete.
	Fleet bool
}

// Measure measures at each number of nodes and records the results.
func (f *Force) Measure(ctx context.Context, sizes []int) error {
	what := "force"
	if f.Fleet {
		what = "fleet"
	}
	return f.points(
		ctx,
		what,
		"nodes",
		sizes,
		map[string]int{"changes": int(f.Changes + 0.5)},
		f.Report,
		func(n int) (got map[string]float64, err error) {
			err = f.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				got, err = f.measureNodes(ctx, k, set.All[0].Address(), n)
				return err
			})
			return got, err
		},
	)
}

// measureNodes runs the nodes and a controller of tenants, and makes the changes.
func (f *Force) measureNodes(
	ctx context.Context,
	k *client.Client,
	service string,
	nodes int,
) (map[string]float64, error) {
	if err := f.prepare(ctx, k); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(f.Dir, "force")
	if err != nil {
		return nil, err
	}
	defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
	controls, free, err := writeGovernedConfigs(dir, nodes, service, f.Subsets, !f.Fleet)
	defer free()
	if err != nil {
		return nil, err
	}
	got, n := map[string]float64{}, newUptakes(nodes)
	running, stop := context.WithCancelCause(ctx)
	var all errgroup.Group
	begin := func(run func() error) {
		all.Go(func() error {
			err := run()
			if running.Err() == nil {
				stop(fmt.Errorf("a node or the controller ended early: %w", err)) // ends the waits for it
			}
			return err
		})
	}
	begin(func() error { return runHollow(running, dir, nodes, n.handler) })
	if !f.Fleet {
		begin(func() error { return runTenantController(running, k) })
	}
	err = f.measureChanges(running, k, controls, free, n, got)
	if why := context.Cause(running); why != nil {
		err = why
	}
	stop(nil)
	if ended := all.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	return got, err
}

// prepare lists the servers and stores the first policy.
func (f *Force) prepare(ctx context.Context, k *client.Client) error {
	for i := range forceEntries {
		if _, err := registerRestart(ctx, k, i, forceEntries); err != nil {
			return err
		}
	}
	_, err := f.putPolicy(ctx, k, 0)
	return err
}

// measureChanges makes the changes while the nodes run, and adds its figures to got. free releases the
// sockets that reserve the nodes' addresses.
func (f *Force) measureChanges(
	ctx context.Context,
	k *client.Client,
	controls []string,
	free func(),
	n *uptakes,
	got map[string]float64,
) error {
	begun := time.Now()
	for _, at := range controls {
		if err := awaitReady(ctx, at); err != nil {
			return err
		}
	}
	got["ready_s"] = seconds(time.Since(begun))
	free() // the nodes listen on their addresses now
	if f.Fleet {
		return f.measureFleet(ctx, k, controls, n, begun, got)
	}
	used, err := ownUse()
	if err != nil {
		return err
	}
	got["memory_bytes"], got["descriptors"], got["load"] = used.RSS/float64(
		len(controls),
	), used.FDs/float64(
		len(controls),
	), machineLoad()
	busy, calm := context.WithCancel(ctx)
	changing := make(chan error, 1)
	go func() { changing <- f.changeInBursts(busy, k) }()
	var policies, tenants, bans tally
	policiesBefore, tenantsBefore := n.meanCount("policy"), n.meanCount("tenants")
	for i := range f.Each {
		if err = errors.Join(
			f.measurePolicy(ctx, k, n, i+1, &policies),
			f.measureTenant(ctx, k, n, i, &tenants),
			measureBan(ctx, controls, i, &bans),
		); err != nil {
			break
		}
	}
	calm()
	if err = errors.Join(err, <-changing); err != nil {
		return err
	}
	got["policy_taken"], got["tenant_taken"] = (n.meanCount("policy")-policiesBefore)/float64(
		f.Each,
	), (n.meanCount("tenants")-tenantsBefore)/float64(
		f.Each,
	)
	policies.addFigures("policy", got)
	tenants.addFigures("tenant", got)
	bans.addFigures("ban", got)
	return nil
}

// putPolicy stores the i-th policy table, with a limit for each tenant that is added later, and returns the
// version of its record.
func (f *Force) putPolicy(ctx context.Context, k *client.Client, i int) (version uint64, err error) {
	known, text := policy.KnownNames{}, fmt.Appendf(nil, "fleet {\n requests { rate = %d }\n", 1_000_000+i)
	for j := range f.Each {
		known.Tenants = append(known.Tenants, tenantSpec(j).Names[0])
		text = fmt.Appendf(text, " book %q {\n  requests { rate = 10 }\n }\n", known.Tenants[j])
	}
	t, err := policy.Compile("force.hcl", append(text, "}\n"...), known)
	if err != nil {
		return 0, err
	}
	raw, err := record.EncodeTable(t)
	if err != nil {
		return 0, err
	}
	r, err := k.Put(ctx, record.CurrentKey, raw, nil)
	return r.EntryVersion, err
}

// measurePolicy stores the i-th policy and adds the times from then until each node has taken it up.
func (f *Force) measurePolicy(ctx context.Context, k *client.Client, n *uptakes, i int, to *tally) error {
	version, err := f.putPolicy(ctx, k, i)
	if err != nil {
		return err
	}
	times, err := n.await(ctx, "policy", version, time.Now())
	if err == nil {
		to.add(times)
	}
	return err
}

// measureTenant adds a tenant. The tenant is in force at a node that has the catalogue in which it is
// served.
func (f *Force) measureTenant(ctx context.Context, k *client.Client, n *uptakes, i int, to *tally) error {
	if err := orderTenant(ctx, k, i); err != nil {
		return err
	}
	acknowledged := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		s, err := tenant.ReadStored(ctx, k)
		if err != nil {
			return err
		}
		if s.Snapshot != nil {
			all := s.Snapshot.Sorted()
			at := slices.IndexFunc(
				all,
				func(e *tenant.Entry) bool { return e.Name == tenantSpec(i).Names[0] && e.Phase == tenant.PhaseServe },
			)
			if at >= 0 {
				times, err := n.await(ctx, "tenants", all[at].Since, acknowledged)
				if err == nil {
					to.add(times)
				}
				return err
			}
		}
		if !backoff.Sleep(ctx, catalogueInterval) {
			return fmt.Errorf("tenant %d is not served: %w", i, ctx.Err())
		}
	}
}

// measureBan takes a server out of service at each node, and puts it back. The ban is in force at a node
// once the node has answered the call.
func measureBan(ctx context.Context, controls []string, i int, to *tally) error {
	for _, do := range []string{"maint", "ready"} {
		times, err := callAll(ctx, controls, fmt.Sprintf("/backends/%s/%s", entryName(i%forceEntries), do))
		if err != nil {
			return err
		}
		if do == "maint" {
			to.add(times)
		}
	}
	return nil
}
