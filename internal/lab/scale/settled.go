package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

const (
	pollInterval = 10 * time.Millisecond
	maxListBytes = 32 << 20 // limit for a node's file of its cached list
)

// awaitEndpoints waits until the list of every node has exactly the named servers. A node that follows a
// subset of the list needs to have only the servers of its subset.
func (r rig) awaitEndpoints(ctx context.Context, names []string) error {
	if !r.subsets {
		return r.awaitStat(ctx, "discovered", len(names))
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	at := make(map[string]uint64, len(names))
	for _, n := range names {
		at[n] = registry.Position(n)
	}
	for i, file := range r.files {
		for {
			why, err := listDifference(file, at)
			if err != nil {
				return err
			}
			if why == "" {
				break
			}
			if !backoff.Sleep(ctx, pollInterval) {
				return fmt.Errorf("node %d of %d: %s: %w", i, len(r.files), why, ctx.Err())
			}
		}
	}
	return nil
}

// listDifference says how a node's cached list differs from the servers that belong to its subset of the
// list, given the position of each server; empty means that the list does not differ.
func listDifference(file string, at map[string]uint64) (why string, err error) {
	raw, err := checksumfile.Read(file, maxListBytes)
	if err != nil {
		return "", fmt.Errorf("read the cached list %s: %w", file, err)
	}
	var kept struct {
		Of      struct{ Part string }
		Entries []struct{ Name string }
	}
	if err := json.Unmarshal(raw, &kept); err != nil {
		return "", fmt.Errorf("read the cached list %s: %w", file, err)
	}
	var part registry.Subset // the zero value, the complete list, applies if the file names no subset
	if kept.Of.Part != "" {
		if part, err = registry.ParseSubset(kept.Of.Part); err != nil {
			return "", err
		}
	}
	want := 0
	for _, p := range at {
		if part.Contains(p) {
			want++
		}
	}
	for _, e := range kept.Entries {
		if p, there := at[e.Name]; !there || !part.Contains(p) {
			return fmt.Sprintf("the list still has %s, which is not in subset %v", e.Name, part), nil
		}
	}
	if len(kept.Entries) != want {
		return fmt.Sprintf("the list has %d of %d servers of subset %v", len(kept.Entries), want, part), nil
	}
	return "", nil
}

// awaitStat waits until a figure of every node has the given value.
func (r rig) awaitStat(ctx context.Context, figure string, want int) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for i, at := range r.controls {
		for {
			f, err := readStats(ctx, at)
			if err != nil {
				return err
			}
			if f[figure] == float64(want) {
				break
			}
			if !backoff.Sleep(ctx, pollInterval) {
				return fmt.Errorf(
					"node %d of %d has %s %v, want %d: %w",
					i,
					len(r.controls),
					figure,
					f[figure],
					want,
					ctx.Err(),
				)
			}
		}
	}
	return nil
}
