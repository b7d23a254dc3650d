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
	forceEntries = 200
	burstOf      = 10                     // changes that come at once
	conductEvery = 200 * time.Millisecond // as the operators' command conducts
	lookAgain    = 20 * time.Millisecond
)

// Force measures policies, tenants and bans, from the operator's call to the last of many hollow nodes in
// this process.
type Force struct {
	Lists
	Each    int     // changes of each kind
	Changes float64 // of the list a second meanwhile, in bursts; 0: none
	// in place of tenants and bans: what so many nodes take in one process, and when their views are whole
	Fleet bool
}

// Measure measures it by nodes.
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
		f.Say,
		func(n int) (got map[string]float64, err error) {
			err = f.fresh(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				got, err = f.one(ctx, k, set.All[0].Address(), n)
				return err
			})
			return got, err
		},
	)
}

// one runs so many nodes, and a controller of tenants, and makes the changes.
func (f *Force) one(
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
	controls, free, err := governed(dir, nodes, service, f.Parts, !f.Fleet)
	defer free()
	if err != nil {
		return nil, err
	}
	got, n := map[string]float64{}, newNews(nodes)
	running, stop := context.WithCancelCause(ctx)
	var all errgroup.Group
	begin := func(run func() error) {
		all.Go(func() error {
			err := run()
			if running.Err() == nil {
				stop(fmt.Errorf("it ended by itself: %w", err)) // what waits for it need not
			}
			return err
		})
	}
	begin(func() error { return hollow(running, dir, nodes, n.log) })
	if !f.Fleet {
		begin(func() error { return holdConduct(running, k) })
	}
	err = f.play(running, k, controls, free, n, got)
	if why := context.Cause(running); why != nil {
		err = why
	}
	stop(nil)
	if ended := all.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	return got, err
}

// prepare lists servers, and puts a policy on record.
func (f *Force) prepare(ctx context.Context, k *client.Client) error {
	for i := range forceEntries {
		if _, err := change(ctx, k, i, forceEntries); err != nil {
			return err
		}
	}
	_, err := f.policy(ctx, k, 0)
	return err
}

// play makes the changes before nodes that run. free gives up what kept their addresses for them.
func (f *Force) play(
	ctx context.Context,
	k *client.Client,
	controls []string,
	free func(),
	n *news,
	got map[string]float64,
) error {
	begun := time.Now()
	for _, at := range controls {
		if err := ready(ctx, at); err != nil {
			return err
		}
	}
	got["ready_s"] = seconds(time.Since(begun))
	free() // the nodes have their addresses
	if f.Fleet {
		return f.fleet(ctx, k, controls, n, begun, got)
	}
	used, err := ownUse()
	if err != nil {
		return err
	}
	got["memory_bytes"], got["descriptors"], got["load"] = used.RSS/float64(
		len(controls),
	), used.FDs/float64(
		len(controls),
	), load()
	busy, calm := context.WithCancel(ctx)
	changing := make(chan error, 1)
	go func() { changing <- f.bursts(busy, k) }()
	var policies, tenants, bans tally
	policiesBefore, tenantsBefore := n.times("policy"), n.times("tenants")
	for i := range f.Each {
		if err = errors.Join(
			f.policied(ctx, k, n, i+1, &policies),
			f.tenanted(ctx, k, n, i, &tenants),
			banned(ctx, controls, i, &bans),
		); err != nil {
			break
		}
	}
	calm()
	if err = errors.Join(err, <-changing); err != nil {
		return err
	}
	got["policy_taken"], got["tenant_taken"] = (n.times("policy")-policiesBefore)/float64(
		f.Each,
	), (n.times("tenants")-tenantsBefore)/float64(
		f.Each,
	)
	policies.figures("policy", got)
	tenants.figures("tenant", got)
	bans.figures("ban", got)
	return nil
}

// policy puts the i-th table on record, with a limit for each tenant that is to come.
func (f *Force) policy(ctx context.Context, k *client.Client, i int) (version uint64, err error) {
	known, text := policy.Known{}, fmt.Appendf(nil, "fleet {\n requests { rate = %d }\n", 1_000_000+i)
	for j := range f.Each {
		known.Tenants = append(known.Tenants, tenantForm(j).Names[0])
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

func (f *Force) policied(ctx context.Context, k *client.Client, n *news, i int, to *tally) error {
	version, err := f.policy(ctx, k, i)
	if err != nil {
		return err
	}
	times, err := n.await(ctx, "policy", version, time.Now())
	if err == nil {
		to.add(times)
	}
	return err
}

// tenanted brings a tenant in: it is in force at a node that has the catalogue in which it is served.
func (f *Force) tenanted(ctx context.Context, k *client.Client, n *news, i int, to *tally) error {
	if err := order(ctx, k, i); err != nil {
		return err
	}
	acknowledged := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTime)
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
				func(e *tenant.Entry) bool { return e.Name == tenantForm(i).Names[0] && e.Phase == tenant.PhaseServe },
			)
			if at >= 0 {
				times, err := n.await(ctx, "tenants", all[at].Since, acknowledged)
				if err == nil {
					to.add(times)
				}
				return err
			}
		}
		if !backoff.Sleep(ctx, lookAgain) {
			return fmt.Errorf("the %d-th tenant is not served: %w", i, ctx.Err())
		}
	}
}

// banned takes a server out at each node, and puts it back: it is in force where the call is answered.
func banned(ctx context.Context, controls []string, i int, to *tally) error {
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
