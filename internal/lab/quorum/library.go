package quorum

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// follower runs the project's own registry client, which follows the list or a subset of it during all
// faults.
type follower struct {
	client     *client.Client
	violations []string
}

// followHold is the longest time that the registry holds a watch. It is short, so that a run has many
// watches.
const followHold = 500 * time.Millisecond

// newFollowers creates a follower of the complete list, and a follower of a subset: a quarter of the hash
// ring that moves around the ring with every eighth response.
func newFollowers(c *cluster) (all []*follower, err error) {
	answers := 0
	around := func(registry.Subset, int, []registry.Endpoint) registry.Subset {
		answers++
		return registry.Subset{Start: uint16(answers/8%16) << 12, Width: 1 << 14}
	}
	for _, part := range []func(registry.Subset, int, []registry.Endpoint) registry.Subset{nil, around} {
		k, err := client.New(client.Config{Addresses: c.addresses, Hold: followHold, ChooseSubset: part})
		if err != nil {
			return nil, err
		}
		all = append(all, &follower{client: k})
	}
	return all, nil
}

// run follows the list until ctx ends, and checks that its version never goes back.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	go f.client.Follow(ctx)
	var version uint64
	for ctx.Err() == nil {
		changed := f.client.Changed()
		v, _ := f.client.List()
		if v.Version < version {
			f.violations = append(
				f.violations,
				fmt.Sprintf("the client goes back from version %d to %d", version, v.Version),
			)
		}
		version = v.Version
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// awaitFinal waits until the client has reached the version of the final list, and checks that it then has
// the same endpoints, as far as they are in its subset.
func (f *follower) awaitFinal(last registry.ListResponse) (wrong []string) {
	for until := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		v, _ := f.client.List()
		if v.Version == last.Index {
			want := slices.DeleteFunc(
				slices.Clone(last.Endpoints),
				func(e registry.Endpoint) bool { return !v.Subset.Contains(registry.Position(e.Name)) },
			)
			if !slices.Equal(v.Endpoints, want) {
				return append(
					wrong,
					fmt.Sprintf(
						"the client holds %v of part %v at %d, the list is %v",
						v.Endpoints,
						v.Subset,
						v.Version,
						last.Endpoints,
					),
				)
			}
			return nil
		}
		if time.Now().After(until) {
			return append(wrong, fmt.Sprintf("the client stays at %d, the list is at %d", v.Version, last.Index))
		}
	}
}
