package quorum

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// follower checks the project's own registry client, which follows the list or a subset of it while faults
// are injected.
type follower struct {
	client     *client.Client
	violations []string
}

// followHoldTime is the longest time for which the registry holds a watch of a follower. It is short, so that
// a run has many watches.
const followHoldTime = 500 * time.Millisecond

// newFollowers creates two followers: one follows the complete list, the other a subset. The subset is a
// quarter of the hash ring, and after every eighth response it moves on by a sixteenth of the ring.
func newFollowers(c *cluster) (followers []*follower, err error) {
	responses := 0
	moveSubset := func(registry.Subset, int, []registry.Endpoint) registry.Subset {
		responses++
		return registry.Subset{Start: uint16(responses/8%16) << 12, Width: 1 << 14}
	}
	for _, chooseSubset := range []func(registry.Subset, int, []registry.Endpoint) registry.Subset{
		nil, moveSubset} {
		registryClient, err := client.New(
			client.Config{Addresses: c.addresses, Hold: followHoldTime, ChooseSubset: chooseSubset})
		if err != nil {
			return nil, err
		}
		followers = append(followers, &follower{client: registryClient})
	}
	return followers, nil
}

// run follows the list until ctx ends, and checks that the version of the client's list never goes back.
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

// awaitFinalList waits until the client has reached the version of the final list, and checks that the client
// then has the endpoints of the final list that are in its subset.
func (f *follower) awaitFinalList(finalList registry.ListResponse) (violations []string) {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		v, _ := f.client.List()
		if v.Version == finalList.Index {
			want := slices.DeleteFunc(
				slices.Clone(finalList.Endpoints),
				func(e registry.Endpoint) bool { return !v.Subset.Contains(registry.Position(e.Name)) },
			)
			if !slices.Equal(v.Endpoints, want) {
				return append(
					violations,
					fmt.Sprintf(
						"the client holds %v of part %v at %d, the list is %v",
						v.Endpoints,
						v.Subset,
						v.Version,
						finalList.Endpoints,
					),
				)
			}
			return nil
		}
		if time.Now().After(deadline) {
			return append(violations,
				fmt.Sprintf("the client stays at %d, the list is at %d", v.Version, finalList.Index))
		}
	}
}
