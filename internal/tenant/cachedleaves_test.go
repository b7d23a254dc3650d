package tenant

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// testTree returns the head and the pages of a catalogue of tenants t0, t1, ... as a hash tree.
func testTree(t *testing.T, number uint64, count int) (Head, map[string]*page) {
	entries := map[string]*Entry{}
	for i := range count {
		name := fmt.Sprint("t", i)
		entries[name] = &Entry{Name: name, Phase: PhaseServe, Current: testSpec(name, 1), Since: number}
	}
	tree, raw, err := buildTree(3, entries)
	if err != nil {
		t.Fatal(err)
	}
	return tree.head(number, nil), decodePages(t, raw)
}

// decodePages decodes encoded pages by digest.
func decodePages(t *testing.T, raw map[string][]byte) map[string]*page {
	pages := map[string]*page{}
	for digest, b := range raw {
		decoded, err := decodePage(digest, b)
		if err != nil {
			t.Fatal(err)
		}
		pages[digest] = decoded
	}
	return pages
}

// A tree that was changed step by step has the same pages as a tree that is built from the same entries at
// once. The new and unused pages that apply returns are the difference from the previous tree.
func TestChangedTreeEqualsTreeBuiltAtOnce(t *testing.T) {
	for _, levels := range []int{0, 2, 3} {
		tree, entries, recorded := newTree(levels), map[string]*Entry{}, map[string]bool{}
		for step := range 60 {
			name := fmt.Sprint("t", step*7%20)
			edit := change{before: entries[name]}
			if step%3 == 2 && edit.before != nil {
				delete(entries, name)
			} else {
				edit.after = &Entry{Name: name, Phase: PhaseServe, Current: testSpec(name, step), Since: uint64(step)}
				entries[name] = edit.after
			}
			raw, unused, err := tree.apply([]change{edit})
			if err != nil {
				t.Fatal(err)
			}
			for digest := range raw {
				recorded[digest] = true
			}
			for _, digest := range unused {
				delete(recorded, digest)
			}
			rebuilt, rebuiltPages, err := buildTree(levels, entries)
			if err != nil || !slices.Equal(rebuilt.head(1, nil).Pages, tree.head(1, nil).Pages) || !maps.Equal(rebuilt.useCounts, tree.useCounts) {
				t.Fatalf("%d levels, step %d: the tree differs from the tree built of its entries (error %v)", levels, step, err)
			}
			if len(rebuiltPages) != len(recorded) || slices.ContainsFunc(slices.Collect(maps.Keys(rebuiltPages)), func(d string) bool { return !recorded[d] }) {
				t.Fatalf("%d levels, step %d: apply returned %d pages that are in use, want %d", levels, step, len(recorded), len(rebuiltPages))
			}
			walk := assemble(rebuilt.head(1, nil), decodePages(t, rebuiltPages), true, nil, nil)
			if walk.err != nil || len(walk.missing) > 0 || len(walk.snapshot.byName()) != len(entries) {
				t.Fatalf("%d levels, step %d: assembled %d entries, want %d (error %v)", levels, step, len(walk.snapshot.byName()), len(entries), walk.err)
			}
		}
	}
}

// Requests with unknown names cause no more reads of leaves than the bound, the number of cached leaves stays
// within its bound, and leaves that are in use or have requests in flight stay cached.
func TestCacheOnDemandStaysWithinItsBounds(t *testing.T) {
	head, pages := testTree(t, 1, 3000)
	now := time.Second
	cache := NewCache(1, 0, true)
	cache.Handle(now, PolicyChanged{PolicyTable{1, func(string) bool { return true }}})
	cache.Handle(now, SessionOpened{now, time.Hour})
	read := func() {
		wanted := cache.Wanted()
		cache.Handle(now, CatalogueRead{now, true, assemble(head, pages, wanted.complete, wanted.forLevels(head.Levels), nil).snapshot})
	}
	read()
	if c := cache.buildCatalogue(); !c.Ready() || cache.TenantCount() != 0 || c.Decide(now, "x-t1", "a", "").Reason != ReasonLeafMissing {
		t.Errorf("before the first request, %d tenants are cached, want 0, or the catalogue is not ready to ask for leaves", cache.TenantCount())
	}
	cache.Handle(now, LeafMissing{"x-t1"})
	cache.Handle(now, LeafMissing{"x-t1"})
	if read(); cache.buildCatalogue().Decide(now, "x-t1", "a", "").Kind != Routed || len(cache.leaves) != 1 {
		t.Errorf("after the first request, %d leaves are cached, want 1, or the request is not routed", len(cache.leaves))
	}
	cache.Handle(now, RequestStarted{"t1"})
	cache.idleTimeout = 2 * time.Hour
	for round := 1; round <= 3; round++ { // the bound on reads is reached in each round, the bound on leaves in the last
		reads := 0
		for i := range 4 * readBurst {
			if len(cache.Handle(now, LeafMissing{fmt.Sprint("made-up-", round, "-", i)})) > 0 {
				reads++
			}
			if i%maxRequestedLeaves == 0 {
				read()
			}
		}
		read()
		now += readBurst * readInterval
		if cache.Handle(now, Tick{}); reads > readBurst || len(cache.leaves) > maxCachedLeaves || round == 1 && len(cache.leaves) < readBurst-maxRequestedLeaves {
			t.Errorf("round %d: %d reads, %d cached leaves", round, reads, len(cache.leaves))
		}
	}
	cache.idleTimeout = defaultIdleTimeout
	cache.buildCatalogue().Decide(now+defaultIdleTimeout, "x-t1", "a", "")
	now += defaultIdleTimeout + evictInterval
	if cache.Handle(now, Tick{}); len(cache.leaves) != 2 { // a leaf for each of t1's names
		t.Errorf("after idle leaves were evicted, %d leaves are cached, want 2", len(cache.leaves))
	}
	now += defaultIdleTimeout
	if cache.Handle(now, Tick{}); len(cache.leaves) != 2 || cache.buildCatalogue().Decide(now, "x-t1", "a", "").Kind != Routed {
		t.Errorf("with a request in flight, %d leaves are cached, want 2, or a request is not routed", len(cache.leaves))
	}
	cache.Handle(now, RequestEnded{"t1"})
	cache.buildCatalogue().Decide(now+defaultIdleTimeout, "x-t1", "a", "")
	now += defaultIdleTimeout + evictInterval
	if cache.Handle(now, Tick{}); len(cache.leaves) != 1 || cache.TenantCount() == 0 || cache.entries["t1"] == nil {
		t.Errorf("after one of two names was used, %d leaves are cached, want 1 with t1", len(cache.leaves))
	}
	now += defaultIdleTimeout
	if cache.Handle(now, Tick{}); len(cache.leaves) != 0 {
		t.Errorf("after all leaves were idle, %d leaves are cached, want 0", len(cache.leaves))
	}
}
