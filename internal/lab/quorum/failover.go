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

// Failovers kills the leader count times. It returns the durations from each kill to the end of the first
// write that began after the kill, in ascending order.
func Failovers(ctx context.Context, o Options, count int) (durations []time.Duration, err error) {
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		for i := range count {
			if _, err := writeChange(ctx, registryClient, i); err != nil {
				return err
			}
			leader, err := AwaitLeader(ctx, c.replicas, registryClient)
			if err != nil {
				return err
			}
			before := time.Now()
			if err := leader.Kill(); err != nil {
				return err
			}
			if _, err := writeChange(ctx, registryClient, -i-1); err != nil {
				return err
			}
			durations = append(durations, time.Since(before))
			if err := c.replicas.Start(leader); err != nil {
				return err
			}
			if err := c.replicas.AwaitReady(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	slices.Sort(durations)
	return durations, err
}

// AwaitLeader waits until a replica is the leader and returns this replica.
func AwaitLeader(ctx context.Context, set *replicas.Set,
	registryClient *client.Client) (*replicas.Replica, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		members, err := registryClient.Replicas(ctx)
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
	return nil, fmt.Errorf("wait for a leader: %w", ctx.Err())
}
