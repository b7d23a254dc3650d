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

// followers is a number of clients that follow the registry in addition to the nodes.
type followers struct {
	mu       sync.Mutex
	reached  []map[uint64]time.Duration // by client: when it reached each version, on the lab's clock
	findings []check.Finding
	clients  []*client.Client
}

// startFollowers starts the followers, if the experiment has any, and waits until all have the list.
func (s *service) startFollowers() error {
	n := s.fleet.experiment.List.Followers
	if n == 0 {
		return nil
	}
	addresses, err := s.set.Connect("followers")
	if err != nil {
		return err
	}
	s.followers = &followers{}
	for i := range n {
		s.followers.reached = append(s.followers.reached, map[uint64]time.Duration{})
		k, err := client.New(
			client.Config{
				Addresses: addresses,
				OnChange:  func(a registry.ListResponse) { s.followers.recordVersion(i, s.fleet.log.Now(), a) },
			},
		)
		if err != nil {
			return err
		}
		s.followers.clients = append(s.followers.clients, k)
		s.tasks.Go(func() { k.Follow(s.ctx); k.Close() })
	}
	return s.awaitFollowers(s.ctx)
}

// awaitFollowers waits until all followers have the registry's present list, and records a finding for each
// follower whose list differs. After the first follower that doesn't reach the version in time, it stops.
func (s *service) awaitFollowers(ctx context.Context) error {
	if s.followers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want, err := s.registrar.client.CurrentList(ctx)
	if err != nil {
		return fmt.Errorf("the list as the crowd is to have it: %w", err)
	}
	for _, k := range s.followers.clients {
		for v, _ := k.List(); v.Version < want.Index; v, _ = k.List() {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				s.followers.addFinding("a follower stays at version %d, the list is at %d", v.Version, want.Index)
				return nil
			}
		}
		if v, _ := k.List(); v.Version == want.Index && !slices.Equal(v.Endpoints, want.Endpoints) {
			s.followers.addFinding(
				"at version %d a follower has %v, the list is %v",
				v.Version,
				v.Endpoints,
				want.Endpoints,
			)
		}
	}
	return nil
}

// addFinding records a violation.
func (c *followers) addFinding(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, check.Finding{Text: fmt.Sprintf(format, args...)})
}

// recordVersion records that a client reached a version, and a finding if the version went back or repeated.
func (c *followers) recordVersion(who int, now time.Duration, a registry.ListResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for v := range c.reached[who] {
		if v >= a.Index {
			c.findings = append(
				c.findings,
				check.Finding{T: now, Text: fmt.Sprintf("follower %d comes to version %d after %d", who, a.Index, v)},
			)
		}
	}
	c.reached[who][a.Index] = now
}

// maxPropagation returns the longest propagation of all versions, and the number of versions. The propagation
// of a version is the time from the first follower that reached this or a later version until 99% of the
// followers had reached it.
func (c *followers) maxPropagation() (longest time.Duration, versions int) {
	seen := map[uint64]bool{}
	for _, t := range c.reached {
		for v := range t {
			seen[v] = true
		}
	}
	for v := range seen {
		var at []time.Duration
		for _, t := range c.reached {
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

// verdicts returns the verdict on the followers' lists and, if there is a bound, on the propagation of
// changes.
func (c *followers) verdicts(bound time.Duration) []check.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, versions := c.maxPropagation()
	all := []check.Verdict{
		{
			Name:   "followers",
			Rule:   "every client of the registry reaches the list as it is, and never goes back",
			Seen:   len(c.clients),
			Broken: c.findings,
		},
	}
	if bound == 0 {
		return all
	}
	timed := check.Verdict{
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
		timed.Broken = []check.Finding{{Text: fmt.Sprintf("it took %v", longest.Round(time.Millisecond))}}
	}
	return append(all, timed)
}
