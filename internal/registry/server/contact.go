package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// leaderContact records whether this replica has been without a leader for longer than an election takes. A
// replica without a leader is cut off: its list may be out of date, and it rejects watchers that can call
// other replicas.
type leaderContact struct {
	caughtUp atomic.Bool // the entries that the log had at the start of the process have been applied
	mu       sync.Mutex
	cutOff   bool          // the replica is cut off from the leader
	changed  chan struct{} // closed and replaced when cutOff changes
}

func newLeaderContact() *leaderContact { return &leaderContact{changed: make(chan struct{})} }

// cutOffElectionTimeouts is the number of election timeouts without a leader after which a replica counts as
// cut off.
const cutOffElectionTimeouts = 2

// run checks periodically until ctx ends whether leader returns the name of a leader.
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
		c.setCutOff(time.Since(lastSeen) >= cutOffElectionTimeouts*election)
	}
}

// setCutOff records whether the replica is cut off.
func (c *leaderContact) setCutOff(cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cutOff == c.cutOff {
		return
	}
	c.cutOff = cutOff
	close(c.changed)
	c.changed = make(chan struct{})
}

// state returns whether the replica is cut off, and a channel that is closed when this changes.
func (c *leaderContact) state() (cutOff bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOff, c.changed
}

// awaitReplay sets caughtUp once the state machine has applied the entries that the log had when it was
// opened. Raft's own applied index runs ahead of the state machine, and the last of these entries may have
// been replaced, so that the machine's index does not reach lastIndexAtOpen. The state machine therefore also
// counts as caught up if raft's applied index has reached lastIndexAtOpen and the machine's index did not
// change between two checks.
func (c *leaderContact) awaitReplay(ctx context.Context, every time.Duration, r *replica, m *machine) {
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
