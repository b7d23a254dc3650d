package tenant

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of what a proxy on demand holds and reads. A leaf has some 6 to 32 tenants, a tenant 230 bytes on
// record and five times as many in memory: 12 MB of pages are 60 MB, half of a proxy's budget of 128 MB. Only
// what requests in flight hold may be beyond.
const (
	maxCachedLeaves = 4096
	maxCachedBytes  = 12 << 20 // of their pages
	idleTime        = 10 * time.Minute
	evictInterval   = time.Second

	// A leaf that is not held is read once, and then, however many names are made up, no more than readBurst (a
	// proxy's usual leaves when it starts) and readInterval after it: 4 a second, with two pages between, are 15
	// kB of a budget of 25 kB a second. maxRequestedLeaves are read with one head.
	readBurst          = 2048
	readInterval       = time.Second / 4
	maxRequestedLeaves = 64
)

// cachedLeaf is a leaf that a proxy holds, ready for requests.
type cachedLeaf struct {
	leaf   *Leaf
	table  int                       // of the cache's, with which it was made ready
	names  map[string]*compiledEntry // by what requests name
	usedAt atomic.Int64              // when it was last asked for, by the cache's clock in ns
}

// tokenBucket lets a number of reads through at once, and then one in a while.
type tokenBucket struct {
	left int
	at   time.Duration
}

func (b *tokenBucket) take(now time.Duration) bool {
	if n := (now - b.at) / readInterval; n > 0 {
		b.left, b.at = min(readBurst, b.left+int(min(n, readBurst))), b.at+n*readInterval
	}
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// WantedLeaves is what a read has to bring.
type WantedLeaves struct {
	complete bool
	snapshot *Snapshot // that the leaves are of; nil: there is none yet
	leaves   []int     // in order
}

// Wanted says what the next read has to bring: whatever is held, as it is by the next
// head, and what was asked for.
func (d *Cache) Wanted() WantedLeaves {
	w := WantedLeaves{complete: !d.onDemand, snapshot: d.snapshot}
	if d.onDemand && d.snapshot != nil {
		all := d.neededLeaves()
		for part := range d.leaves {
			all[part] = true
		}
		maps.Copy(all, d.requestedLeaves)
		w.leaves = slices.Sorted(maps.Keys(all))
	}
	return w
}

// since returns the leaves that are wanted of a catalogue with so many levels. Where its leaves are others
// than those that are held, it is where the tenants that are held are in it.
func (w WantedLeaves) since(levels int) []int {
	if w.snapshot == nil || levels == w.snapshot.levels {
		return w.leaves
	}
	return w.snapshot.changedLeaves(levels)
}

// changedLeaves returns the leaves of another number of levels that have the tenants of a catalogue.
func (i *Snapshot) changedLeaves(levels int) []int {
	all := map[int]bool{}
	for _, e := range i.byName() {
		for _, leaf := range leavesOf(e, levels) {
			all[leaf] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// covers reports whether a catalogue may take the place of another, of which some leaves are needed: it must
// not be without what a request that is open now needs.
func (i *Snapshot) covers(former *Snapshot, needed map[int]bool) bool {
	if i.complete || former == nil {
		return true
	}
	if i.levels == former.levels {
		for part := range needed {
			if former.hasLeaf(part) && !i.hasLeaf(part) {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(former.changedLeaves(i.levels), func(part int) bool { return !i.hasLeaf(part) })
}

// neededLeaves gives the leaves of tenants with requests in flight, by all their names: a tenant that gets
// another name is found by it, and not taken for one that is gone.
func (d *Cache) neededLeaves() map[int]bool {
	all := map[int]bool{}
	if d.snapshot == nil || d.snapshot.complete {
		return all
	}
	for name := range d.openRequests {
		if e := d.entries[name]; e != nil {
			for _, leaf := range leavesOf(e, d.snapshot.levels) {
				all[leaf] = true
			}
		}
	}
	return all
}

// requestLeaf has the leaf of a name read, which a request has named.
func (d *Cache) requestLeaf(now time.Duration, name string) []any {
	if d.snapshot == nil || d.snapshot.complete {
		return nil
	}
	part := leafOf(name, d.snapshot.levels)
	if d.snapshot.hasLeaf(part) || d.requestedLeaves[part] || len(d.requestedLeaves) >= maxRequestedLeaves ||
		!d.readBudget.take(now) {
		return nil // it is asked for by a later request again
	}
	d.requestedLeaves[part] = true
	return []any{ReadCatalogue{}}
}

// IsLeafRequested reports whether the leaf of a name is to be read.
func (d *Cache) IsLeafRequested(name string) bool {
	return d.snapshot != nil && d.requestedLeaves[leafOf(name, d.snapshot.levels)]
}

// applySnapshot has a snapshot take the place of the present one, and makes what differs ready.
func (d *Cache) applySnapshot(now time.Duration, i *Snapshot) {
	if i == nil {
		return
	}
	same := d.snapshot != nil && d.snapshot.levels == i.levels
	if !same {
		d.leaves, d.entries, d.inTransition = nil, map[string]*Entry{}, map[string]*Entry{}
	}
	next := make(map[int]*cachedLeaf, len(i.leaves))
	for n, p := range i.leaves {
		h := &cachedLeaf{leaf: p, table: d.policyChanges}
		h.usedAt.Store(int64(now))
		if has := d.leaves[n]; has != nil {
			if has.leaf == p && has.table == d.policyChanges {
				next[n] = has
				continue
			}
			h.usedAt.Store(has.usedAt.Load())
		}
		h.names = compileLeaf(p, func(name string) bool { return leafOf(name, i.levels) == n }, d.policy)
		next[n] = h
	}
	if !same {
		clear(d.requestedLeaves)
	}
	maps.DeleteFunc(d.requestedLeaves, func(n int, _ bool) bool { return i.hasLeaf(n) })
	d.indexEntries(i, next)
	for name := range d.departingSince {
		if e := d.entries[name]; e == nil || !e.isDeparting() {
			delete(d.departingSince, name)
		}
	}
}

// indexEntries notes what the leaves that are held from now on have, by what differs from those before: the
// others are not walked through.
func (d *Cache) indexEntries(i *Snapshot, next map[int]*cachedLeaf) {
	var out, in []*Entry
	for n, h := range d.leaves {
		if o := next[n]; o == nil || o.leaf != h.leaf {
			out = append(out, h.leaf.entries...)
		}
	}
	for n, h := range next {
		if o := d.leaves[n]; o == nil || o.leaf != h.leaf {
			in = append(in, h.leaf.entries...)
		}
	}
	d.snapshot, d.leaves = i, next
	for _, e := range out {
		delete(d.entries, e.Name)
		delete(d.inTransition, e.Name)
		for _, leaf := range leavesOf(e, i.levels) { // by another of its names it may be held still
			if h := next[leaf]; h != nil {
				in = append(in, h.leaf.find(e.Name)...)
			}
		}
	}
	for _, e := range in {
		if d.entries[e.Name] = e; e.Phase != PhaseServe {
			d.inTransition[e.Name] = e
		}
	}
}

// evictIdle evicts leaves that have not been asked for in a while and, beyond the bounds, those that were not
// for the longest; none that a tenant with requests in flight is in.
func (d *Cache) evictIdle(now time.Duration) bool {
	if d.snapshot == nil || d.snapshot.complete || now-d.evictedAt < evictInterval {
		return false
	}
	d.evictedAt = now
	bytes, next, needed := 0, maps.Clone(d.leaves), d.neededLeaves()
	for _, h := range next {
		bytes += h.leaf.bytes
	}
	byUse := slices.SortedFunc(
		maps.Keys(next),
		func(a, b int) int { return cmp.Compare(next[a].usedAt.Load(), next[b].usedAt.Load()) },
	)
	for _, n := range byUse {
		h := next[n]
		over := now-time.Duration(h.usedAt.Load()) >= d.idleTimeout || len(next) > maxCachedLeaves ||
			bytes > maxCachedBytes
		if over && !needed[n] {
			delete(next, n)
			bytes -= h.leaf.bytes
		}
	}
	if len(next) == len(d.leaves) {
		return false
	}
	i := *d.snapshot
	i.leaves = map[int]*Leaf{}
	for n, h := range next {
		i.leaves[n] = h.leaf
	}
	d.indexEntries(&i, next)
	return true
}
