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
	"wrenspread/internal/proxy"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	propagationEntries    = 200
	burstChanges          = 10                     // number of changes in a burst
	controllerInterval    = 200 * time.Millisecond // interval of the controller in wrenspreadctl
	cataloguePollInterval = 20 * time.Millisecond
)

// Propagation measures the time from the operator's call until a policy, a tenant or a ban is in force at the
// last of many hollow nodes, which run in this process.
type Propagation struct {
	RegistryRun
	ChangesPerKind int     // number of changes of each kind
	ChangeRate     float64 // changes of the list a second during the measurement, in bursts; 0: none
	// MeasureFleet says that, instead of tenants and bans, the resources that the nodes use are measured, and
	// the time until their views of the fleet are complete.
	MeasureFleet bool
}

// Measure measures with each number of nodes, and records the results.
func (f *Propagation) Measure(ctx context.Context, sizes []int) error {
	measurement := "force"
	if f.MeasureFleet {
		measurement = "fleet"
	}
	return f.points(
		ctx,
		measurement,
		"nodes",
		sizes,
		map[string]int{"changes": int(f.ChangeRate + 0.5)},
		f.Report,
		func(n int) (figures map[string]float64, err error) {
			err = f.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				figures, err = f.measureNodes(ctx, k, set.All[0].Address(), n)
				return err
			})
			return figures, err
		},
	)
}

// measureNodes runs the nodes and a controller of tenants, and measures the changes.
func (f *Propagation) measureNodes(
	ctx context.Context,
	k *client.Client,
	registryAddress string,
	nodes int,
) (map[string]float64, error) {
	if err := f.storeInitialState(ctx, k); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(f.Dir, "force")
	if err != nil {
		return nil, err
	}
	defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
	controls, release, err := writeNodeConfigsWithPolicy(dir, nodes, registryAddress, f.Subsets, !f.MeasureFleet)
	defer release()
	if err != nil {
		return nil, err
	}
	figures, updates := map[string]float64{}, newAppliedUpdates(nodes)
	running, stop := context.WithCancelCause(ctx)
	var background errgroup.Group
	start := func(run func() error) {
		background.Go(func() error {
			err := run()
			if running.Err() == nil {
				stop(fmt.Errorf("a node or the controller ended early: %w", err)) // ends the waits for the node
			}
			return err
		})
	}
	start(func() error { return runHollow(running, dir, nodes, updates.handler) })
	if !f.MeasureFleet {
		start(func() error { return runTenantController(running, k) })
	}
	err = f.measureChanges(running, k, controls, release, updates, figures)
	if cause := context.Cause(running); cause != nil {
		err = cause
	}
	stop(nil)
	if ended := background.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	return figures, err
}

// storeInitialState registers the servers and stores the first policy.
func (f *Propagation) storeInitialState(ctx context.Context, k *client.Client) error {
	for i := range propagationEntries {
		if _, err := registerRestart(ctx, k, i, propagationEntries); err != nil {
			return err
		}
	}
	_, err := f.putPolicy(ctx, k, 0)
	return err
}

// measureChanges makes the changes while the nodes run, and adds the measured values to figures. The function
// release closes the sockets that reserve the addresses of the nodes.
func (f *Propagation) measureChanges(
	ctx context.Context,
	k *client.Client,
	controls []string,
	release func(),
	updates *appliedUpdates,
	figures map[string]float64,
) error {
	nodesStarted := time.Now()
	for _, control := range controls {
		if err := awaitReady(ctx, control); err != nil {
			return err
		}
	}
	figures["ready_s"] = seconds(time.Since(nodesStarted))
	release() // the nodes listen on their addresses by now
	if f.MeasureFleet {
		return f.measureFleet(ctx, k, controls, updates, nodesStarted, figures)
	}
	used, err := ownUse()
	if err != nil {
		return err
	}
	figures["memory_bytes"], figures["descriptors"], figures["load"] = used.RSS/float64(
		len(controls),
	), used.FDs/float64(
		len(controls),
	), machineLoad()
	changeCtx, stopChanges := context.WithCancel(ctx)
	changing := make(chan error, 1)
	go func() { changing <- f.changeInBursts(changeCtx, k) }()
	var policies, tenants, bans changeTimes
	policiesBefore := updates.meanCount(proxy.PolicyMessage)
	tenantsBefore := updates.meanCount(proxy.CatalogueMessage)
	for i := range f.ChangesPerKind {
		if err = errors.Join(
			f.measurePolicy(ctx, k, updates, i+1, &policies),
			f.measureTenant(ctx, k, updates, i, &tenants),
			measureBan(ctx, controls, i, &bans),
		); err != nil {
			break
		}
	}
	stopChanges()
	if err = errors.Join(err, <-changing); err != nil {
		return err
	}
	figures["policy_taken"], figures["tenant_taken"] = (updates.meanCount(proxy.PolicyMessage)-policiesBefore)/float64(
		f.ChangesPerKind,
	), (updates.meanCount(proxy.CatalogueMessage)-tenantsBefore)/float64(
		f.ChangesPerKind,
	)
	policies.addFigures("policy", figures)
	tenants.addFigures("tenant", figures)
	bans.addFigures("ban", figures)
	return nil
}

// putPolicy stores the i-th policy table, which has a limit for each tenant that is added later. It returns
// the version of the stored record.
func (f *Propagation) putPolicy(ctx context.Context, k *client.Client, i int) (version uint64, err error) {
	known, text := policy.KnownNames{}, fmt.Appendf(nil, "fleet {\n requests { rate = %d }\n", 1_000_000+i)
	for j := range f.ChangesPerKind {
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

// measurePolicy stores the i-th policy, and collects the times from the acknowledged write until each node
// has applied the policy.
func (f *Propagation) measurePolicy(
	ctx context.Context, k *client.Client, updates *appliedUpdates, i int, collected *changeTimes) error {
	version, err := f.putPolicy(ctx, k, i)
	if err != nil {
		return err
	}
	times, err := updates.await(ctx, proxy.PolicyMessage, version, time.Now())
	if err == nil {
		collected.add(times)
	}
	return err
}

// measureTenant adds a tenant, and collects the times from the acknowledged order until the tenant is in
// force at each node. A tenant is in force at a node once the node has a catalogue in which the tenant is
// served.
func (f *Propagation) measureTenant(
	ctx context.Context, k *client.Client, updates *appliedUpdates, i int, collected *changeTimes) error {
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
			entries := s.Snapshot.Sorted()
			index := slices.IndexFunc(
				entries,
				func(e *tenant.Entry) bool { return e.Name == tenantSpec(i).Names[0] && e.Phase == tenant.PhaseServe },
			)
			if index >= 0 {
				times, err := updates.await(ctx, proxy.CatalogueMessage, entries[index].Since, acknowledged)
				if err == nil {
					collected.add(times)
				}
				return err
			}
		}
		if !backoff.Sleep(ctx, cataloguePollInterval) {
			return fmt.Errorf("tenant %d is not served: %w", i, ctx.Err())
		}
	}
}

// measureBan bans a server at each node and lifts the ban again, and collects the times until the ban is in
// force at each node. A ban is in force at a node once the node has answered the call.
func measureBan(ctx context.Context, controls []string, i int, collected *changeTimes) error {
	for _, action := range []string{"maint", "ready"} {
		times, err := callAll(ctx, controls,
			fmt.Sprintf("/backends/%s/%s", entryName(i%propagationEntries), action))
		if err != nil {
			return err
		}
		if action == "maint" {
			collected.add(times)
		}
	}
	return nil
}
