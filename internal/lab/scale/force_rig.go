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

// writeGovernedConfigs writes the configurations of nodes that follow the policy, have a view of the fleet
// and, if tenants is set, follow the tenants. It returns the nodes' control addresses, and free, which
// releases the reserved addresses.
func writeGovernedConfigs(
	dir string,
	nodes int,
	service string,
	parts, tenants bool,
) (controls []string, free func(), err error) {
	var frees []func()
	free = func() {
		for _, f := range frees {
			f()
		}
		frees = nil
	}
	peers, err := freeUDPAddresses(nodes)
	if err != nil {
		return nil, free, err
	}
	for i := range nodes {
		control, done, err := link.Reserve()
		if err != nil {
			return nil, free, err
		}
		frees = append(frees, done)
		c := platform.Node{
			Name:    fmt.Sprint("n", i),
			Number:  i,
			Nodes:   nodes,
			Zone:    zoneOf(i),
			Listen:  "127.0.0.1:1",
			Control: control,
			List:    []string{service},
			ListFile: filepath.Join(
				dir,
				fmt.Sprint("list", i),
			),
			ListPart:     parts,
			PeerListen:   peers[i],
			Peers:        peers,
			Fleet:        "scale",
			FollowPolicy: true,
			Tenants:      tenants,
			Seed:         uint64(i + 1),
		}
		if err := c.Write(configFile(dir, i), drawn, 1); err != nil {
			return nil, free, err
		}
		controls = append(controls, control)
	}
	return controls, free, nil
}

// runTenantController holds the lease of the tenants' controller and runs the controller until ctx ends, as
// the operators' command does.
func runTenantController(ctx context.Context, k *client.Client) error {
	p, err := lease.Open(lease.Config{Client: k, Process: "scale", TTL: lease.DefaultTTL})
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		ended <- p.Run(ctx, tenant.LeaseName, func(ctx context.Context, fenced lease.Token) error {
			c := tenant.Controller{
				Store:       &tenant.RecordStore{Registry: k, Token: fenced},
				Environment: tenant.RegistryEnvironment{Registry: k},
				Interval:    conductInterval,
				Times:       tenant.DefaultTimes(),
				Log:         slog.New(slog.DiscardHandler),
			}
			return c.Run(ctx)
		})
	}()
	select {
	case err = <-ended:
		return errors.Join(err, p.Close(lease.DefaultTTL))
	case <-ctx.Done(): // Run cannot release the lease if the registry is gone; Close ends it then.
		err = p.Close(lease.DefaultTTL)
		besteffort.Ended(<-ended) // Run has lost its session
		return errors.Join(ctx.Err(), err)
	}
}

// changeInBursts changes the list until ctx ends: several servers at once, at random times.
func (f *Force) changeInBursts(ctx context.Context, k *client.Client) error {
	r := rand.New(rand.NewPCG(1, 0x6275727374))
	for i := 0; f.Changes > 0 && backoff.Sleep(
		ctx,
		time.Duration(r.ExpFloat64()*burstChanges/f.Changes*float64(time.Second)),
	); i += burstChanges {
		var g errgroup.Group
		for j := range burstChanges {
			g.Go(func() error { _, err := registerRestart(ctx, k, i+j, forceEntries); return err })
		}
		if err := g.Wait(); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
