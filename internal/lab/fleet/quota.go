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

// startQuota makes a policy table from the experiment's rate and burst, puts it into the registry, and starts
// the quota controllers. It does nothing for an experiment without quota.
func (f *fleet) startQuota(ctx context.Context) error {
	q := f.experiment.Quota
	if q == nil {
		return nil
	}
	if err := f.putPolicy(ctx, q.Rate, q.Burst); err != nil {
		return err
	}
	for i := range q.Controllers {
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

// putPolicy puts a policy table into the registry that limits the requests of the complete fleet.
func (f *fleet) putPolicy(ctx context.Context, rate, burst float64) error {
	text := fmt.Sprintf("fleet {\n  requests {\n    rate = %g\n    burst = %g\n  }\n}\n", rate, burst)
	table, err := policy.Compile("lab.hcl", []byte(text), policy.KnownNames{})
	if err != nil {
		return fmt.Errorf("compile policy: %w", err)
	}
	value, err := record.EncodeTable(table)
	if err == nil {
		_, err = f.service.registrar.client.Put(ctx, record.CurrentKey, value, nil)
	}
	if err != nil {
		return fmt.Errorf("put policy into the registry: %w", err)
	}
	return nil
}

// scheduleQuotaChanges puts the later policy tables into the registry, each at its time. The returned channel
// receives the joined errors, nil if there are none, once the last table is in the registry.
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

// newQuotaController creates the links of the quota controller with the given number to the registry and to
// each node, and writes its configuration. It starts no process. The nodes treat the controller as an
// additional peer.
func (f *fleet) newQuotaController(number int) (*controller, error) {
	name := fmt.Sprint("k", number)
	dir, err := filepath.Abs(filepath.Join(f.options.Dir, name))
	if err != nil {
		return nil, err
	}
	registryAddresses, err := f.service.replicas.Connect(name)
	if err != nil {
		return nil, err
	}
	listen, err := freeUDP()
	if err != nil {
		return nil, err
	}
	reportAddress, releasePort, err := link.Reserve()
	if err != nil {
		return nil, err
	}
	f.onClose(releasePort)
	peers, err := f.linkQuotaController(name, listen)
	if err != nil {
		return nil, err
	}
	text, err := toml.Marshal(
		map[string]any{
			"process": name,
			"list":    registryAddresses,
			"listen":  reportAddress,
			"repair":  false,
			"every":   "1s",
			"shares": map[string]any{
				"fleet":  fleetName,
				"listen": listen.String(),
				"join":   peers[:len(f.nodeNames)],
				"number": len(f.nodeNames) + number,
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
	configPath := filepath.Join(dir, "keeper.toml")
	if err := os.WriteFile(configPath, text, 0o644); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &controller{
		name: name,
		spec: process.Spec{
			Name:    name,
			Command: append(append([]string(nil), f.options.ControllerCommand...), "--config", configPath),
			Dir:     dir,
			Env:     append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}, f.options.Env...),
		},
	}, nil
}

// linkQuotaController creates the links between a quota controller and the nodes. It returns the addresses of
// the controller's peers: those of the nodes, followed by those of the quota controllers created so far, this
// one included.
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
