package tenant

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of the leaves that a proxy on demand caches and reads. A leaf has some 6 to 32 tenants; a tenant has
// 230 bytes on record and five times as many in memory. 12 MB of pages therefore take 60 MB, half of a
// proxy's budget of 128 MB. Only leaves of tenants with requests in flight may exceed the bounds.
const (
	maxCachedLeaves    = 4096
	maxCachedBytes     = 12 << 20 // total length of the pages of cached leaves
	defaultIdleTimeout = 10 * time.Minute
	evictInterval      = time.Second

	// These bounds hold however many unknown names requests use. A proxy reads at most readBurst leaves at once,
	// which are those that it usually needs after its start, and then one per readInterval. 4 leaves a second
	// with two inner pages each are 15 kB of a budget of 25 kB a second.
	readBurst          = 2048
	readInterval       = time.Second / 4
	maxRequestedLeaves = 64 // read with one head
)

// cachedLeaf is a cached leaf and its compiled entries.
type cachedLeaf struct {
	leaf          *Leaf
	policyChanges int                       // Cache.policyChanges when the entries were compiled
	names         map[string]*compiledEntry // by the names that requests use
	usedAt        atomic.Int64              // last use by a request, in ns of the cache's clock
}

// tokenBucket limits reads of leaves to readBurst at once, and then one per readInterval.
type tokenBucket struct {
	tokens     int
	refilledAt time.Duration
}

// take takes a token, and returns false if there is none.
func (b *tokenBucket) take(now time.Duration) bool {
	if n := (now - b.refilledAt) / readInterval; n > 0 {
		b.tokens, b.refilledAt = min(readBurst, b.tokens+int(min(n, readBurst))), b.refilledAt+n*readInterval
	}
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	return true
}

// WantedLeaves is the set of leaves that a read of the catalogue has to return.
type WantedLeaves struct {
	complete bool      // all leaves
	snapshot *Snapshot // snapshot to which the numbers in leaves refer; nil: there is none yet
	leaves   []int     // sorted
}

// Wanted returns the leaves that the next read has to return: all cached leaves, the leaves of tenants with
// requests in flight, and the leaves that requests have asked for.
func (c *Cache) Wanted() WantedLeaves {
	wanted := WantedLeaves{complete: !c.onDemand, snapshot: c.snapshot}
	if c.onDemand && c.snapshot != nil {
		leaves := c.neededLeaves()
		for leaf := range c.leaves {
			leaves[leaf] = true
		}
		maps.Copy(leaves, c.requestedLeaves)
		wanted.leaves = slices.Sorted(maps.Keys(leaves))
	}
	return wanted
}

// forLevels returns the leaves that are wanted of a catalogue with some number of levels. If this number
// differs from that of the cached snapshot, it returns the leaves that contain the snapshot's tenants.
func (w WantedLeaves) forLevels(levels int) []int {
	if w.snapshot == nil || levels == w.snapshot.levels {
		return w.leaves
	}
	return w.snapshot.leavesAtLevels(levels)
}

// leavesAtLevels returns the leaves that contain the snapshot's tenants in a catalogue with another number of
// levels.
func (s *Snapshot) leavesAtLevels(levels int) []int {
	leaves := map[int]bool{}
	for _, e := range s.byName() {
		for _, leaf := range leavesOf(e, levels) {
			leaves[leaf] = true
		}
	}
	return slices.Sorted(maps.Keys(leaves))
}

// canReplace reports whether a snapshot may replace the previous one. It must have each leaf of the previous
// snapshot that requests in flight need or, if the number of levels differs, the leaves of all tenants of the
// previous snapshot.
func (s *Snapshot) canReplace(previous *Snapshot, needed map[int]bool) bool {
	if s.complete || previous == nil {
		return true
	}
	if s.levels == previous.levels {
		for leaf := range needed {
			if previous.hasLeaf(leaf) && !s.hasLeaf(leaf) {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(
		previous.leavesAtLevels(s.levels),
		func(leaf int) bool { return !s.hasLeaf(leaf) },
	)
}

// neededLeaves returns the leaves of all names of tenants with requests in flight. With all names, a tenant
// whose names change is still found, and not mistaken for a tenant that has been removed.
func (c *Cache) neededLeaves() map[int]bool {
	leaves := map[int]bool{}
	if c.snapshot == nil || c.snapshot.complete {
		return leaves
	}
	for name := range c.openRequests {
		if e := c.entries[name]; e != nil {
			for _, leaf := range leavesOf(e, c.snapshot.levels) {
				leaves[leaf] = true
			}
		}
	}
	return leaves
}

// requestLeaf returns the action that reads the leaf of a name that a request uses, if the leaf is missing
// and the bounds allow the read.
func (c *Cache) requestLeaf(now time.Duration, name string) []any {
	if c.snapshot == nil || c.snapshot.complete {
		return nil
	}
	leaf := leafOf(name, c.snapshot.levels)
	if c.snapshot.hasLeaf(leaf) || c.requestedLeaves[leaf] || len(c.requestedLeaves) >= maxRequestedLeaves ||
		!c.readBudget.take(now) {
		return nil // a later request for the same name asks for the leaf again
	}
	c.requestedLeaves[leaf] = true
	return []any{ReadCatalogue{}}
}

// IsLeafRequested reports whether the next read includes the leaf of a name because a request needs it.
func (c *Cache) IsLeafRequested(name string) bool {
	return c.snapshot != nil && c.requestedLeaves[leafOf(name, c.snapshot.levels)]
}

// applySnapshot replaces the cached snapshot, and compiles the leaves that differ or that were compiled with
// a previous policy table.
func (c *Cache) applySnapshot(now time.Duration, snapshot *Snapshot) {
	if snapshot == nil {
		return
	}
	sameLevels := c.snapshot != nil && c.snapshot.levels == snapshot.levels
	if !sameLevels {
		c.leaves, c.entries, c.inTransition = nil, map[string]*Entry{}, map[string]*Entry{}
	}
	next := make(map[int]*cachedLeaf, len(snapshot.leaves))
	for number, leaf := range snapshot.leaves {
		cached := &cachedLeaf{leaf: leaf, policyChanges: c.policyChanges}
		cached.usedAt.Store(int64(now))
		if previous := c.leaves[number]; previous != nil {
			if previous.leaf == leaf && previous.policyChanges == c.policyChanges {
				next[number] = previous
				continue
			}
			cached.usedAt.Store(previous.usedAt.Load())
		}
		cached.names = compileLeaf(
			leaf,
			func(name string) bool { return leafOf(name, snapshot.levels) == number },
			c.policy,
		)
		next[number] = cached
	}
	if !sameLevels {
		clear(c.requestedLeaves)
	}
	maps.DeleteFunc(c.requestedLeaves, func(number int, _ bool) bool { return snapshot.hasLeaf(number) })
	c.indexEntries(snapshot, next)
	for name := range c.departingSince {
		if e := c.entries[name]; e == nil || !e.isDeparting() {
			delete(c.departingSince, name)
		}
	}
}

// indexEntries replaces the snapshot and the cached leaves, and updates entries and inTransition. It looks
// only at the leaves that differ.
func (c *Cache) indexEntries(snapshot *Snapshot, next map[int]*cachedLeaf) {
	var dropped, added []*Entry
	for number, cached := range c.leaves {
		if counterpart := next[number]; counterpart == nil || counterpart.leaf != cached.leaf {
			dropped = append(dropped, cached.leaf.entries...)
		}
	}
	for number, cached := range next {
		if counterpart := c.leaves[number]; counterpart == nil || counterpart.leaf != cached.leaf {
			added = append(added, cached.leaf.entries...)
		}
	}
	c.snapshot, c.leaves = snapshot, next
	for _, e := range dropped {
		delete(c.entries, e.Name)
		delete(c.inTransition, e.Name)
		for _, leaf := range leavesOf(e, snapshot.levels) { // another leaf may still have the entry
			if cached := next[leaf]; cached != nil {
				added = append(added, cached.leaf.find(e.Name)...)
			}
		}
	}
	for _, e := range added {
		if c.entries[e.Name] = e; e.Phase != PhaseServe {
			c.inTransition[e.Name] = e
		}
	}
}

// evictIdle evicts leaves that no request has used for idleTimeout and, while the cache exceeds its bounds,
// the leaves whose last use is the longest ago. It evicts no leaf of a tenant with requests in flight. It
// reports whether it has evicted any leaf.
func (c *Cache) evictIdle(now time.Duration) bool {
	if c.snapshot == nil || c.snapshot.complete || now-c.idleCheckedAt < evictInterval {
		return false
	}
	c.idleCheckedAt = now
	bytes, next, needed := 0, maps.Clone(c.leaves), c.neededLeaves()
	for _, cached := range next {
		bytes += cached.leaf.bytes
	}
	byUse := slices.SortedFunc(
		maps.Keys(next),
		func(a, b int) int { return cmp.Compare(next[a].usedAt.Load(), next[b].usedAt.Load()) },
	)
	for _, number := range byUse {
		cached := next[number]
		evictable := now-time.Duration(cached.usedAt.Load()) >= c.idleTimeout || len(next) > maxCachedLeaves ||
			bytes > maxCachedBytes
		if evictable && !needed[number] {
			delete(next, number)
			bytes -= cached.leaf.bytes
		}
	}
	if len(next) == len(c.leaves) {
		return false
	}
	reduced := *c.snapshot
	reduced.leaves = map[int]*Leaf{}
	for number, cached := range next {
		reduced.leaves[number] = cached.leaf
	}
	c.indexEntries(&reduced, next)
	return true
}
