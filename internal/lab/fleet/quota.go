package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/policy"
	"wrenspread/internal/quota/record"
)

// fleetName is the name of the fleet that nodes and quota controllers join.
const fleetName = "lab"

// startQuota puts the policy table into the registry and starts the quota controllers.
func (f *fleet) startQuota(ctx context.Context) error {
	q := f.experiment.Quota
	if q == nil {
		return nil
	}
	if err := f.putPolicy(ctx, q.Rate, q.Burst); err != nil {
		return err
	}
	for i := range q.Holders {
		c, err := f.newQuotaController(i)
		if err != nil {
			return err
		}
		f.quotaControllers = append(f.quotaControllers, c)
	}
	for _, c := range f.quotaControllers {
		if err := c.start(f.group); err != nil {
			return err
		}
	}
	return nil
}

// putPolicy puts a policy table with one limit into the registry.
func (f *fleet) putPolicy(ctx context.Context, rate, burst float64) error {
	text := fmt.Sprintf("fleet {\n  requests {\n    rate = %g\n    burst = %g\n  }\n}\n", rate, burst)
	t, err := policy.Compile("lab.hcl", []byte(text), policy.KnownNames{})
	if err != nil {
		return fmt.Errorf("the lab's policy: %w", err)
	}
	value, err := record.EncodeTable(t)
	if err == nil {
		_, err = f.service.registrar.client.Put(ctx, record.CurrentKey, value, nil)
	}
	if err != nil {
		return fmt.Errorf("the lab's policy: %w", err)
	}
	return nil
}

// scheduleQuotaChanges puts the later policy tables into the registry, each at its time. The channel receives
// the joined errors after the last one.
func (f *fleet) scheduleQuotaChanges(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var errs []error
		if f.experiment.Quota != nil {
			for _, c := range f.experiment.Quota.Changes {
				if f.sleepUntil(ctx, time.Duration(c.At)) {
					errs = append(errs, f.putPolicy(ctx, c.Rate, c.Burst))
				}
			}
		}
		done <- errors.Join(errs...)
	}()
	return done
}

// newQuotaController creates a controller's links to the registry and to each node, and writes its
// configuration. For the nodes, the controller is an additional peer.
func (f *fleet) newQuotaController(i int) (*controller, error) {
	name := fmt.Sprint("k", i)
	dir, err := filepath.Abs(filepath.Join(f.options.Dir, name))
	if err != nil {
		return nil, err
	}
	registryAddresses, err := f.service.set.Connect(name)
	if err != nil {
		return nil, err
	}
	listen, err := freeUDP()
	if err != nil {
		return nil, err
	}
	report, free, err := link.Reserve()
	if err != nil {
		return nil, err
	}
	f.onClose(free)
	peers, err := f.linkQuotaController(name, listen)
	if err != nil {
		return nil, err
	}
	text, err := toml.Marshal(
		map[string]any{
			"process": name,
			"list":    registryAddresses,
			"listen":  report,
			"repair":  false,
			"every":   "1s",
			"shares": map[string]any{
				"fleet":  fleetName,
				"listen": listen.String(),
				"join":   peers[:len(f.nodeNames)],
				"number": len(f.nodeNames) + i,
				"peers":  peers,
			},
		},
	)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	file := filepath.Join(dir, "keeper.toml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &controller{
		name: name,
		spec: process.Spec{
			Name:    name,
			Command: append(append([]string(nil), f.options.ControllerCommand...), "--config", file),
			Dir:     dir,
			Env:     append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}, f.options.Env...),
		},
	}, nil
}

// linkQuotaController creates the links between a controller and the nodes. It returns the addresses of the
// controller's peers: the nodes, then the controllers up to and including this one.
func (f *fleet) linkQuotaController(name string, listen netip.AddrPort) (peers []string, err error) {
	for _, n := range f.nodeNames {
		toSeen, fromSeen, err := f.net.Pair(link.Ends{From: n, To: name}, f.nodes[n].peerListen, listen)
		if err != nil {
			return nil, err
		}
		f.nodes[n].peers = append(f.nodes[n].peers, toSeen.String())
		peers = append(peers, fromSeen.String())
	}
	f.quotaControllerAddresses = append(f.quotaControllerAddresses, listen.String())
	f.applyNetworkDelays()
	return append(peers, f.quotaControllerAddresses...), nil
}
