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
	lookEvery = 10 * time.Millisecond
	maxKept   = 32 << 20 // bytes of a node's cached list
)

// know waits until every node knows of these servers and no others, of its subset of the list.
func (r rig) know(ctx context.Context, names []string) error {
	if !r.parts {
		return r.all(ctx, "discovered", len(names))
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	at := make(map[string]uint64, len(names))
	for _, n := range names {
		at[n] = registry.Position(n)
	}
	for i, file := range r.files {
		for {
			why, err := differs(file, at)
			if err != nil {
				return err
			}
			if why == "" {
				break
			}
			if !backoff.Sleep(ctx, lookEvery) {
				return fmt.Errorf("node %d of %d: %s: %w", i, len(r.files), why, ctx.Err())
			}
		}
	}
	return nil
}

// differs says how a node's cached list is not what its subset of the list has, by the servers' places;
// empty: it is that.
func differs(file string, at map[string]uint64) (why string, err error) {
	raw, err := checksumfile.Read(file, maxKept)
	if err != nil {
		return "", fmt.Errorf("a node's kept list: %w", err)
	}
	var kept struct {
		Of      struct{ Part string }
		Entries []struct{ Name string }
	}
	if err := json.Unmarshal(raw, &kept); err != nil {
		return "", fmt.Errorf("a node's kept list: %w", err)
	}
	var part registry.Subset // all of the list, where it says nothing of one
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
			return fmt.Sprintf("it has %s still, which is not in part %v", e.Name, part), nil
		}
	}
	if len(kept.Entries) != want {
		return fmt.Sprintf("it has %d of %d servers of part %v", len(kept.Entries), want, part), nil
	}
	return "", nil
}

// all waits until a figure of every node is so much.
func (r rig) all(ctx context.Context, figure string, want int) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for i, at := range r.controls {
		for {
			f, err := statsOf(ctx, at)
			if err != nil {
				return err
			}
			if f[figure] == float64(want) {
				break
			}
			if !backoff.Sleep(ctx, lookEvery) {
				return fmt.Errorf(
					"node %d of %d has %s %v, not %d: %w",
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
