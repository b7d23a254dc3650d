package quorum

import (
	"context"
	"fmt"
	"time"

	"indigotack/internal/list"
	"indigotack/internal/list/client"
)

// follower is the project's own client of the list, which follows it over all faults.
type follower struct {
	client *client.Client
	wrong  []string
}

// followHold is short, so that a run has many watches.
const followHold = 500 * time.Millisecond

func newFollower(c *cluster) (*follower, error) {
	k, err := client.New(client.Config{Addresses: c.doors, Hold: followHold})
	return &follower{client: k}, err
}

// run follows until ctx ends, and looks at each view on the way.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	go f.client.Follow(ctx)
	var version uint64
	for ctx.Err() == nil {
		changed := f.client.Changed()
		v, _ := f.client.View()
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
func (f *follower) reach(last list.Answer) (wrong []string) {
	want := map[string]list.Entry{}
	for _, e := range last.Endpoints {
		want[e.Name] = e
	}
	for until := time.Now().Add(readyTime); ; time.Sleep(5 * time.Millisecond) {
		v, _ := f.client.View()
		if v.Version == last.Index {
			for _, e := range v.Entries {
				if want[e.Name] != e || len(v.Entries) != len(want) {
					return append(wrong, fmt.Sprintf("the client holds %v at %d, the list is %v", v.Entries, v.Version, last.Endpoints))
				}
			}
			return nil
		}
		if time.Now().After(until) {
			return append(wrong, fmt.Sprintf("the client stays at %d, the list is at %d", v.Version, last.Index))
		}
	}
}
