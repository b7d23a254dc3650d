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

const fleetName = "lab"

// startQuota puts the policy on record and starts the keepers.
func (f *fleet) startQuota(ctx context.Context) error {
	q := f.e.Quota
	if q == nil {
		return nil
	}
	if err := f.putQuota(ctx, q.Rate, q.Burst); err != nil {
		return err
	}
	for i := range q.Holders {
		c, err := f.newKeeper(i)
		if err != nil {
			return err
		}
		f.keepers = append(f.keepers, c)
	}
	for _, c := range f.keepers {
		if err := c.start(f.group); err != nil {
			return err
		}
	}
	return nil
}

// putQuota has a policy of one limit hold.
func (f *fleet) putQuota(ctx context.Context, rate, burst float64) error {
	text := fmt.Sprintf("fleet {\n  requests {\n    rate = %g\n    burst = %g\n  }\n}\n", rate, burst)
	t, err := policy.Compile("lab.hcl", []byte(text), policy.Known{})
	if err != nil {
		return fmt.Errorf("the lab's policy: %w", err)
	}
	value, err := record.EncodeTable(t)
	if err == nil {
		_, err = f.service.boxes.client.Put(ctx, record.CurrentKey, value, nil)
	}
	if err != nil {
		return fmt.Errorf("the lab's policy: %w", err)
	}
	return nil
}

// changeQuota puts the later policies on record, each at its time.
func (f *fleet) changeQuota(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var errs []error
		if f.e.Quota != nil {
			for _, c := range f.e.Quota.Changes {
				if f.sleepUntil(ctx, time.Duration(c.At)) {
					errs = append(errs, f.putQuota(ctx, c.Rate, c.Burst))
				}
			}
		}
		done <- errors.Join(errs...)
	}()
	return done
}

// newKeeper lays a controller's links to the registry and to each node, and writes its file. To nodes it is
// one more peer.
func (f *fleet) newKeeper(i int) (*conductor, error) {
	name := fmt.Sprint("k", i)
	dir, err := filepath.Abs(filepath.Join(f.o.Dir, name))
	if err != nil {
		return nil, err
	}
	doors, err := f.service.set.Connect(name)
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
	f.atEnd(free)
	peers, err := f.pairKeeper(name, listen)
	if err != nil {
		return nil, err
	}
	text, err := toml.Marshal(
		map[string]any{
			"process": name,
			"list":    doors,
			"listen":  report,
			"repair":  false,
			"every":   "1s",
			"shares": map[string]any{
				"fleet":  fleetName,
				"listen": listen.String(),
				"join":   peers[:len(f.names)],
				"number": len(f.names) + i,
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
	return &conductor{
		name: name,
		spec: process.Spec{
			Name:    name,
			Command: append(append([]string(nil), f.o.Keeper...), "--config", file),
			Dir:     dir,
			Env:     append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}, f.o.Env...),
		},
	}, nil
}

// pairKeeper lays the links between a controller and the nodes, and gives where the controller finds the
// peers that there are so far.
func (f *fleet) pairKeeper(name string, listen netip.AddrPort) (peers []string, err error) {
	for _, n := range f.names {
		toSeen, fromSeen, err := f.net.Pair(link.Ends{From: n, To: name}, f.nodes[n].peerListen, listen)
		if err != nil {
			return nil, err
		}
		f.nodes[n].peers = append(f.nodes[n].peers, toSeen.String())
		peers = append(peers, fromSeen.String())
	}
	f.holders = append(f.holders, listen.String())
	f.layNet()
	return append(peers, f.holders...), nil
}
