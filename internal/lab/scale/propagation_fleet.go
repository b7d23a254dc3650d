package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry/client"
)

// measureFleet waits until all views of the fleet are complete, or until the wait times out, then measures
// the resources that the nodes use at rest, and the propagation of some policies. The nodes run in this
// process, so their figures include the few goroutines that call them.
func (f *Propagation) measureFleet(
	ctx context.Context,
	k *client.Client,
	controls []string,
	updates *appliedUpdates,
	nodesStarted time.Time,
	figures map[string]float64,
) error {
	nodes := float64(len(controls))
	r := rig{Sizes: Sizes{Nodes: len(controls)}, controls: controls}
	if err := r.awaitStat(ctx, "fleet.alive", len(controls)); err != nil && ctx.Err() != nil {
		return err
	}
	figures["settled_s"], figures["alive"] = seconds(time.Since(nodesStarted)), 0
	sampled := controls[:min(sampledNodes, len(controls))]
	for _, control := range sampled {
		stats, err := readStats(ctx, control)
		if err != nil {
			return err
		}
		figures["alive"] += stats["fleet.alive"] / nodes / float64(len(sampled))
	}
	sentBefore, err := trafficSentBy(ctx, controls)
	if err != nil {
		return err
	}
	before, err := ownUse()
	if err != nil {
		return err
	}
	restStarted := time.Now()
	backoff.Sleep(ctx, f.RestTime)
	after, err := ownUse()
	if err != nil {
		return err
	}
	took := seconds(time.Since(restStarted))
	sentAfter, err := trafficSentBy(ctx, controls)
	if err != nil {
		return err
	}
	figures["rest_cores"], figures["memory_bytes"], figures["descriptors"] = seconds(
		after.minus(before).CPU,
	)/took/nodes, after.RSS/nodes, after.FDs/nodes
	figures["datagrams_per_s"], figures["load"] = (sentAfter.datagrams-sentBefore.datagrams)/took/float64(
		len(sampled),
	), machineLoad()
	var policies changeTimes
	for i := range f.ChangesPerKind {
		if err := f.measurePolicy(ctx, k, updates, i+1, &policies); err != nil {
			return err
		}
	}
	policies.addFigures("policy", figures)
	return nil
}
