package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry/client"
)

// measureFleet waits until all views of the fleet are complete, or until the wait times out, then measures
// the nodes' use at rest and some policies. The nodes run in this process, so the few goroutines that call
// them are counted with them.
func (f *Force) measureFleet(
	ctx context.Context,
	k *client.Client,
	controls []string,
	n *uptakes,
	begun time.Time,
	got map[string]float64,
) error {
	each := float64(len(controls))
	r := rig{Sizes: Sizes{Nodes: len(controls)}, controls: controls}
	if err := r.awaitStat(ctx, "fleet.alive", len(controls)); err != nil && ctx.Err() != nil {
		return err
	}
	got["settled_s"], got["alive"] = seconds(time.Since(begun)), 0
	asked := controls[:min(sampledNodes, len(controls))]
	for _, at := range asked {
		stats, err := readStats(ctx, at)
		if err != nil {
			return err
		}
		got["alive"] += stats["fleet.alive"] / each / float64(len(asked))
	}
	sentBefore, err := trafficSentBy(ctx, controls)
	if err != nil {
		return err
	}
	before, err := ownUse()
	if err != nil {
		return err
	}
	began := time.Now()
	backoff.Sleep(ctx, f.RestTime)
	after, err := ownUse()
	if err != nil {
		return err
	}
	took := seconds(time.Since(began))
	sentAfter, err := trafficSentBy(ctx, controls)
	if err != nil {
		return err
	}
	got["rest_cores"], got["memory_bytes"], got["descriptors"] = seconds(
		after.minus(before).CPU,
	)/took/each, after.RSS/each, after.FDs/each
	got["datagrams_per_s"], got["load"] = (sentAfter.datagrams-sentBefore.datagrams)/took/float64(
		len(asked),
	), machineLoad()
	var policies tally
	for i := range f.Each {
		if err := f.measurePolicy(ctx, k, n, i+1, &policies); err != nil {
			return err
		}
	}
	policies.addFigures("policy", got)
	return nil
}
