package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry/client"
)

// fleet waits until all views are whole, as long as it goes, and takes what the nodes use at rest, and some
// policies. Their process is this one, so its few callers are counted with them.
func (f *Force) fleet(
	ctx context.Context,
	k *client.Client,
	controls []string,
	n *news,
	begun time.Time,
	got map[string]float64,
) error {
	each := float64(len(controls))
	r := rig{Sizes: Sizes{Nodes: len(controls)}, controls: controls}
	if err := r.all(ctx, "fleet.alive", len(controls)); err != nil && ctx.Err() != nil {
		return err
	}
	got["settled_s"], got["alive"] = seconds(time.Since(begun)), 0
	asked := controls[:min(sampled, len(controls))]
	for _, at := range asked {
		says, err := statsOf(ctx, at)
		if err != nil {
			return err
		}
		got["alive"] += says["fleet.alive"] / each / float64(len(asked))
	}
	sentBefore, err := sentBy(ctx, controls)
	if err != nil {
		return err
	}
	before, err := ownUse()
	if err != nil {
		return err
	}
	began := time.Now()
	backoff.Sleep(ctx, f.Rest)
	after, err := ownUse()
	if err != nil {
		return err
	}
	took := seconds(time.Since(began))
	sentAfter, err := sentBy(ctx, controls)
	if err != nil {
		return err
	}
	got["rest_cores"], got["memory_bytes"], got["descriptors"] = seconds(
		after.minus(before).CPU,
	)/took/each, after.RSS/each, after.FDs/each
	got["datagrams_per_s"], got["load"] = (sentAfter.datagrams-sentBefore.datagrams)/took/float64(
		len(asked),
	), load()
	var policies tally
	for i := range f.Each {
		if err := f.policied(ctx, k, n, i+1, &policies); err != nil {
			return err
		}
	}
	policies.figures("policy", got)
	return nil
}
