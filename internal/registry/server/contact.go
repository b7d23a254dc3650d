package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// contact knows whether this replica has been without a leader for longer than an election takes: then its
// list may be old, and a reader that has others to ask is sent elsewhere.
type contact struct {
	caughtUp atomic.Bool // it has replayed what its log had when it was started
	mu       sync.Mutex
	lost     bool
	changed  chan struct{} // closed and replaced when lost changes
}

func newContact() *contact { return &contact{changed: make(chan struct{})} }

// elections is how many election times without a leader make a replica cut off.
const elections = 2

func (c *contact) run(ctx context.Context, election time.Duration, leader func() string) {
	t := time.NewTicker(election / 2)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if leader() != "" {
			last = time.Now()
		}
		c.set(time.Since(last) >= elections*election)
	}
}

func (c *contact) set(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost == c.lost {
		return
	}
	c.lost = lost
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *contact) state() (lost bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost, c.changed
}

// replay waits until the state machine has carried out what the log had when it was
// opened. raft's own index runs ahead of the machine, and the log's last entries may
// be others' by now, so a machine that stands still while raft is past them has
// caught up, too.
func (c *contact) replay(ctx context.Context, every time.Duration, r *replica, m *machine) {
	t := time.NewTicker(every)
	defer t.Stop()
	for last, looked := uint64(0), false; ; {
		m.mu.RLock()
		index := m.index
		m.mu.RUnlock()
		past := r.leader() != "" && r.raft.AppliedIndex() >= r.lastIndexAtOpen
		if past && (index >= r.lastIndexAtOpen || looked && index == last) {
			c.caughtUp.Store(true)
			return
		}
		last, looked = index, past
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
