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
	maxListBytes = 32 << 20 // bound for the file of a node's cached list
)

// awaitEndpoints waits until the list of every node has exactly the named servers. A node that follows a
// subset of the list has to have only the servers of its subset.
func (r rig) awaitEndpoints(ctx context.Context, names []string) error {
	if !r.subsets {
		return r.awaitStat(ctx, "discovered", len(names))
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	positions := make(map[string]uint64, len(names))
	for _, n := range names {
		positions[n] = registry.Position(n)
	}
	for i, file := range r.listFiles {
		for {
			difference, err := listDifference(file, positions)
			if err != nil {
				return err
			}
			if difference == "" {
				break
			}
			if !backoff.Sleep(ctx, pollInterval) {
				return fmt.Errorf("wait for endpoints: node %d of %d: %s: %w", i, len(r.listFiles), difference, ctx.Err())
			}
		}
	}
	return nil
}

// listDifference returns how a node's cached list differs from the servers that belong to its subset; empty:
// the list does not differ. The argument positions holds the position of each server, by name.
func listDifference(file string, positions map[string]uint64) (difference string, err error) {
	raw, err := checksumfile.Read(file, maxListBytes)
	if err != nil {
		return "", fmt.Errorf("read the cached list %s: %w", file, err)
	}
	var cached struct {
		Of      struct{ Part string }
		Entries []struct{ Name string }
	}
	if err := json.Unmarshal(raw, &cached); err != nil {
		return "", fmt.Errorf("read the cached list %s: %w", file, err)
	}
	var subset registry.Subset // if the file names no subset, the zero value, which is the complete list
	if cached.Of.Part != "" {
		if subset, err = registry.ParseSubset(cached.Of.Part); err != nil {
			return "", err
		}
	}
	want := 0
	for _, p := range positions {
		if subset.Contains(p) {
			want++
		}
	}
	for _, e := range cached.Entries {
		if p, known := positions[e.Name]; !known || !subset.Contains(p) {
			return fmt.Sprintf("the list still has %s, which is not in subset %v", e.Name, subset), nil
		}
	}
	if len(cached.Entries) != want {
		return fmt.Sprintf("the list has %d of %d servers of subset %v", len(cached.Entries), want, subset), nil
	}
	return "", nil
}

// awaitStat waits until a figure of every measured node has the given value.
func (r rig) awaitStat(ctx context.Context, figure string, want int) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for i, control := range r.controls {
		for {
			figures, err := readStats(ctx, control)
			if err != nil {
				return err
			}
			if figures[figure] == float64(want) {
				break
			}
			if !backoff.Sleep(ctx, pollInterval) {
				return fmt.Errorf(
					"wait for figure: node %d of %d has %s %v, want %d: %w",
					i,
					len(r.controls),
					figure,
					figures[figure],
					want,
					ctx.Err(),
				)
			}
		}
	}
	return nil
}
