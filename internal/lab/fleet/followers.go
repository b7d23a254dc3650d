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

// followers is the set of registry clients that follow the list in addition to the nodes.
type followers struct {
	mu       sync.Mutex
	reached  []map[uint64]time.Duration // by client and version: when it reached the version, on the lab's clock
	findings []check.Finding
	clients  []*client.Client
}

// startFollowers starts the experiment's followers, if any, and waits until each follower has the list.
func (s *service) startFollowers() error {
	n := s.fleet.experiment.Discovery.Followers
	if n == 0 {
		return nil
	}
	addresses, err := s.replicas.Connect("followers")
	if err != nil {
		return err
	}
	s.followers = &followers{}
	for i := range n {
		s.followers.reached = append(s.followers.reached, map[uint64]time.Duration{})
		follower, err := client.New(
			client.Config{
				Addresses: addresses,
				OnChange:  func(list registry.ListResponse) { s.followers.recordVersion(i, s.fleet.log.Now(), list) },
			},
		)
		if err != nil {
			return err
		}
		s.followers.clients = append(s.followers.clients, follower)
		s.tasks.Go(func() { follower.Follow(s.ctx); follower.Close() })
	}
	return s.awaitFollowers(s.ctx)
}

// awaitFollowers waits until all followers have reached the version of the registry's present list, and
// records a finding for each follower whose list differs at this version. It also records a finding for the
// first follower that doesn't reach the version within readyTimeout, and then checks no further follower.
func (s *service) awaitFollowers(ctx context.Context) error {
	if s.followers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want, err := s.registrar.client.CurrentList(ctx)
	if err != nil {
		return fmt.Errorf("read the list that the followers have to reach: %w", err)
	}
	for _, follower := range s.followers.clients {
		for v, _ := follower.List(); v.Version < want.Index; v, _ = follower.List() {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				s.followers.addFinding("a follower stays at version %d, the list is at %d", v.Version, want.Index)
				return nil
			}
		}
		if v, _ := follower.List(); v.Version == want.Index && !slices.Equal(v.Endpoints, want.Endpoints) {
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

// recordVersion records that a follower reached the list's version. It records a finding if the follower has
// already reached this or a later version.
func (c *followers) recordVersion(follower int, now time.Duration, list registry.ListResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for v := range c.reached[follower] {
		if v >= list.Index {
			c.findings = append(
				c.findings,
				check.Finding{T: now,
					Text: fmt.Sprintf("follower %d comes to version %d after %d", follower, list.Index, v)},
			)
		}
	}
	c.reached[follower][list.Index] = now
}

// maxPropagation returns the longest propagation time of all versions, and the number of versions. The
// propagation time of a version begins when the first follower reaches this or a later version. It ends when
// 99% of the followers that reached this or a later version have done so.
func (c *followers) maxPropagation() (longest time.Duration, versions int) {
	seen := map[uint64]bool{}
	for _, timeByVersion := range c.reached {
		for v := range timeByVersion {
			seen[v] = true
		}
	}
	for v := range seen {
		var times []time.Duration
		for _, timeByVersion := range c.reached {
			earliest := time.Duration(-1)
			for reached, reachedAt := range timeByVersion {
				if reached >= v && (earliest < 0 || reachedAt < earliest) {
					earliest = reachedAt
				}
			}
			if earliest >= 0 {
				times = append(times, earliest)
			}
		}
		slices.Sort(times)
		longest = max(longest, times[len(times)*99/100]-times[0])
	}
	return longest, len(seen)
}

// verdicts returns the verdict on the followers' lists and, if bound is not 0, the verdict on the propagation
// time of changes.
func (c *followers) verdicts(bound time.Duration) []check.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest, versions := c.maxPropagation()
	verdicts := []check.Verdict{
		{
			Name:   "followers",
			Rule:   "every client of the registry reaches the list as it is, and never goes back",
			Seen:   len(c.clients),
			Broken: c.findings,
		},
	}
	if bound == 0 {
		return verdicts
	}
	propagation := check.Verdict{
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
		propagation.Broken = []check.Finding{{Text: fmt.Sprintf("it took %v", longest.Round(time.Millisecond))}}
	}
	return append(verdicts, propagation)
}
