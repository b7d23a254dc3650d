package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/check"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// crowd is clients that follow the registry beside the nodes.
type crowd struct {
	mu    sync.Mutex
	told  []map[uint64]time.Duration // when each came to a version, by the lab's clock
	wrong []check.Finding
	all   []*client.Client
}

// startFollowers starts the crowd, if there is one, and waits until all have the list.
func (s *service) startFollowers() error {
	n := s.f.e.List.Followers
	if n == 0 {
		return nil
	}
	doors, err := s.set.Connect("followers")
	if err != nil {
		return err
	}
	s.crowd = &crowd{}
	for i := range n {
		s.crowd.told = append(s.crowd.told, map[uint64]time.Duration{})
		k, err := client.New(
			client.Config{
				Addresses: doors,
				OnChange:  func(a registry.ListResponse) { s.crowd.take(i, s.f.log.Now(), a) },
			},
		)
		if err != nil {
			return err
		}
		s.crowd.all = append(s.crowd.all, k)
		s.tasks.Go(func() { k.Follow(s.ctx); k.Close() })
	}
	return s.await(s.ctx)
}

// await waits until the whole crowd has the list as it is.
func (s *service) await(ctx context.Context) error {
	if s.crowd == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	want, err := s.boxes.client.CurrentList(ctx)
	if err != nil {
		return fmt.Errorf("the list as the crowd is to have it: %w", err)
	}
	for _, k := range s.crowd.all {
		for v, _ := k.List(); v.Version < want.Index; v, _ = k.List() {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				s.crowd.fail("a follower stays at version %d, the list is at %d", v.Version, want.Index)
				return nil
			}
		}
		if v, _ := k.List(); v.Version == want.Index && !slices.Equal(v.Endpoints, want.Endpoints) {
			s.crowd.fail("at version %d a follower has %v, the list is %v", v.Version, v.Endpoints, want.Endpoints)
		}
	}
	return nil
}

func (c *crowd) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrong = append(c.wrong, check.Finding{Text: fmt.Sprintf(format, args...)})
}

func (c *crowd) take(who int, now time.Duration, a registry.ListResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for v := range c.told[who] {
		if v >= a.Index {
			c.wrong = append(
				c.wrong,
				check.Finding{T: now, Text: fmt.Sprintf("follower %d comes to version %d after %d", who, a.Index, v)},
			)
		}
	}
	c.told[who][a.Index] = now
}

// slowest gives, over all versions, the longest time from the first follower that
// came to it, or past it, until 99% had.
func (c *crowd) slowest() (longest time.Duration, versions int) {
	seen := map[uint64]bool{}
	for _, t := range c.told {
		for v := range t {
			seen[v] = true
		}
	}
	for v := range seen {
		var at []time.Duration
		for _, t := range c.told {
			first := time.Duration(-1)
			for has, when := range t {
				if has >= v && (first < 0 || when < first) {
					first = when
				}
			}
			if first >= 0 {
				at = append(at, first)
			}
		}
		slices.Sort(at)
		longest = max(longest, at[len(at)*99/100]-at[0])
	}
	return longest, len(seen)
}

// verdicts of the crowd, and how it kept to its bound if there is one.
func (c *crowd) verdicts(bound time.Duration) []check.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, versions := c.slowest()
	all := []check.Verdict{
		{
			Name:   "followers",
			Rule:   "every client of the registry reaches the list as it is, and never goes back",
			Seen:   len(c.all),
			Broken: c.wrong,
		},
	}
	if bound == 0 {
		return all
	}
	in := check.Verdict{
		Name: "bound followers",
		Rule: fmt.Sprintf(
			"99%% of the clients know of a change within %v of the first one (%v)",
			bound,
			longest.Round(time.Millisecond),
		),
		Timed: true,
		Seen:  versions,
	}
	if longest > bound {
		in.Broken = []check.Finding{{Text: fmt.Sprintf("it took %v", longest.Round(time.Millisecond))}}
	}
	return append(all, in)
}
