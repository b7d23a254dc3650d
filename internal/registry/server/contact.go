package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// leaderContact records whether this replica has been without a leader for longer than an election takes.
// Then its list may be out of date, and readers that know other replicas are sent to those.
type leaderContact struct {
	caughtUp atomic.Bool // the entries that the log had at the start of the process have been applied
	mu       sync.Mutex
	lost     bool          // the replica is cut off from the leader
	changed  chan struct{} // closed and replaced when lost changes
}

func newLeaderContact() *leaderContact { return &leaderContact{changed: make(chan struct{})} }

// cutOffElectionTimeouts is the number of election timeouts without a leader after which a replica counts as
// cut off.
const cutOffElectionTimeouts = 2

// run checks for a leader, as the function leader names it, until ctx ends.
func (c *leaderContact) run(ctx context.Context, election time.Duration, leader func() string) {
	t := time.NewTicker(election / 2)
	defer t.Stop()
	lastSeen := time.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if leader() != "" {
			lastSeen = time.Now()
		}
		c.set(time.Since(lastSeen) >= cutOffElectionTimeouts*election)
	}
}

// set records whether the replica is cut off.
func (c *leaderContact) set(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost == c.lost {
		return
	}
	c.lost = lost
	close(c.changed)
	c.changed = make(chan struct{})
}

// state returns whether the replica is cut off, and a channel that is closed when this changes.
func (c *leaderContact) state() (lost bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.changed
}

// replay sets caughtUp once the state machine has applied the entries that the log had when it was opened.
// Raft's own applied index runs ahead of the state machine, and the last entries of the log may have been
// replaced. So the state machine has also caught up if raft is past these entries and the machine's index did
// not change between two checks.
func (c *leaderContact) replay(ctx context.Context, every time.Duration, r *replica, m *machine) {
	t := time.NewTicker(every)
	defer t.Stop()
	for lastIndex, wasPast := uint64(0), false; ; {
		m.mu.RLock()
		index := m.index
		m.mu.RUnlock()
		past := r.leader() != "" && r.raft.AppliedIndex() >= r.lastIndexAtOpen
		if past && (index >= r.lastIndexAtOpen || wasPast && index == lastIndex) {
			c.caughtUp.Store(true)
			return
		}
		lastIndex, wasPast = index, past
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
