package quorum

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry/client"
)

// Failovers kills the leader as often as times says. It returns the durations from the kill to the end of the
// first write that began after the kill, in ascending order.
func Failovers(ctx context.Context, o Options, times int) (all []time.Duration, err error) {
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		for i := range times {
			if _, err := writeChange(ctx, k, i); err != nil {
				return err
			}
			leader, err := Leading(ctx, c.set, k)
			if err != nil {
				return err
			}
			before := time.Now()
			if err := leader.Kill(); err != nil {
				return err
			}
			if _, err := writeChange(ctx, k, -i-1); err != nil {
				return err
			}
			all = append(all, time.Since(before))
			if err := c.set.Start(leader); err != nil {
				return err
			}
			if err := c.set.Ready(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	slices.Sort(all)
	return all, err
}

// Leading waits until a replica is the leader and returns this replica.
func Leading(ctx context.Context, set *replicas.Set, k *client.Client) (*replicas.Replica, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		members, err := k.Replicas(ctx)
		if err != nil {
			return nil, err
		}
		for i, m := range members {
			if m.Leader {
				return set.All[i], nil
			}
		}
		backoff.Sleep(ctx, 5*time.Millisecond)
	}
	return nil, fmt.Errorf("nobody leads: %w", ctx.Err())
}
