package quorum

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// follower is the project's own client of the list, which follows it, or a part of it, over all faults.
type follower struct {
	client *client.Client
	wrong  []string
}

// followHold is short, so that a run has many watches.
const followHold = 500 * time.Millisecond

// newFollowers makes one of all of the list, and one of a quarter that goes on around the ring.
func newFollowers(c *cluster) (all []*follower, err error) {
	answers := 0
	around := func(registry.Subset, int, []registry.Endpoint) registry.Subset {
		answers++
		return registry.Subset{Start: uint16(answers/8%16) << 12, Width: 1 << 14}
	}
	for _, part := range []func(registry.Subset, int, []registry.Endpoint) registry.Subset{nil, around} {
		k, err := client.New(client.Config{Addresses: c.doors, Hold: followHold, ChooseSubset: part})
		if err != nil {
			return nil, err
		}
		all = append(all, &follower{client: k})
	}
	return all, nil
}

// run follows until ctx ends, and looks at each view on the way.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	go f.client.Follow(ctx)
	var version uint64
	for ctx.Err() == nil {
		changed := f.client.Changed()
		v, _ := f.client.List()
		if v.Version < version {
			f.wrong = append(f.wrong, fmt.Sprintf("the client goes back from version %d to %d", version, v.Version))
		}
		version = v.Version
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// reach waits until the client has the list of the end.
func (f *follower) reach(last registry.ListResponse) (wrong []string) {
	for until := time.Now().Add(readyTime); ; time.Sleep(5 * time.Millisecond) {
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
