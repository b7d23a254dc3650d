package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/platform"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

// writeNodeConfigsWithPolicy writes the configurations of nodes that follow the policy, have a view of the
// fleet and, if followTenants is set, follow the tenants. It returns the control addresses of the nodes, and
// a function that releases the reserved addresses.
func writeNodeConfigsWithPolicy(
	dir string,
	nodes int,
	registryAddress string,
	subsets, followTenants bool,
) (controls []string, release func(), err error) {
	var releases []func()
	release = func() {
		for _, releaseAddress := range releases {
			releaseAddress()
		}
		releases = nil
	}
	peers, err := freeUDPAddresses(nodes)
	if err != nil {
		return nil, release, err
	}
	for i := range nodes {
		control, releaseAddress, err := link.Reserve()
		if err != nil {
			return nil, release, err
		}
		releases = append(releases, releaseAddress)
		node := platform.Node{
			Name:              fmt.Sprint("n", i),
			Number:            i,
			Nodes:             nodes,
			Zone:              zoneOf(i),
			Listen:            "127.0.0.1:1",
			Control:           control,
			RegistryAddresses: []string{registryAddress},
			RegistryCacheFile: filepath.Join(
				dir,
				fmt.Sprint("list", i),
			),
			RegistrySubset: subsets,
			PeerListen:     peers[i],
			Peers:          peers,
			Fleet:          "scale",
			FollowPolicy:   true,
			Tenants:        followTenants,
			Seed:           uint64(i + 1),
		}
		if err := node.Write(configFile(dir, i), drawnWorld, 1); err != nil {
			return nil, release, err
		}
		controls = append(controls, control)
	}
	return controls, release, nil
}

// runTenantController acquires the lease of the tenants' controller and runs the controller until ctx ends,
// as wrenspreadctl does.
func runTenantController(ctx context.Context, k *client.Client) error {
	leases, err := lease.Open(lease.Config{Client: k, Process: "scale", TTL: lease.DefaultTTL})
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		ended <- leases.Run(ctx, tenant.LeaseName, func(ctx context.Context, fencingToken lease.Token) error {
			c := tenant.Controller{
				Store:       &tenant.RecordStore{Registry: k, Token: fencingToken},
				Environment: tenant.RegistryEnvironment{Registry: k},
				Interval:    controllerInterval,
				Times:       tenant.DefaultTimes(),
				Log:         slog.New(slog.DiscardHandler),
			}
			return c.Run(ctx)
		})
	}()
	select {
	case err = <-ended:
		return errors.Join(err, leases.Close(lease.DefaultTTL))
	case <-ctx.Done(): // if the registry is gone, Run cannot release the lease, but Close ends Run
		err = leases.Close(lease.DefaultTTL)
		besteffort.Ended(<-ended) // Run has no session any more
		return errors.Join(ctx.Err(), err)
	}
}

// changeInBursts changes the list in bursts of burstChanges servers, at random times, until ctx ends.
func (f *Propagation) changeInBursts(ctx context.Context, k *client.Client) error {
	r := rand.New(rand.NewPCG(1, 0x6275727374))
	for i := 0; f.ChangeRate > 0 && backoff.Sleep(
		ctx,
		time.Duration(r.ExpFloat64()*burstChanges/f.ChangeRate*float64(time.Second)),
	); i += burstChanges {
		var g errgroup.Group
		for j := range burstChanges {
			g.Go(func() error { _, err := registerRestart(ctx, k, i+j, propagationEntries); return err })
		}
		if err := g.Wait(); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
