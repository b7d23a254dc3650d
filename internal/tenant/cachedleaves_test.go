package tenant

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// treeImage is a catalogue of tenants t0, t1, ... as a hash tree, with the pages that it was made of.
func treeImage(t *testing.T, number uint64, n int) (Head, map[string]*page) {
	entries := map[string]*Entry{}
	for i := range n {
		name := fmt.Sprint("t", i)
		entries[name] = &Entry{Name: name, Phase: PhaseServe, Current: testForm(name, 1), Since: number}
	}
	tree, raw, err := buildTree(3, entries)
	if err != nil {
		t.Fatal(err)
	}
	return tree.head(number, nil), decoded(t, raw)
}

func decoded(t *testing.T, raw map[string][]byte) map[string]*page {
	all := map[string]*page{}
	for digest, b := range raw {
		p, err := decodePage(digest, b)
		if err != nil {
			t.Fatal(err)
		}
		all[digest] = p
	}
	return all
}

// TestTreeGrows: a tree that was changed is, page for page, the one that is made of the same entries at once; what it gives
// as new and as left is what differs.
func TestTreeGrows(t *testing.T) {
	for _, levels := range []int{0, 2, 3} {
		tree, entries, has := newTree(levels), map[string]*Entry{}, map[string]bool{}
		for step := range 60 {
			name := fmt.Sprint("t", step*7%20)
			c := change{before: entries[name]}
			if step%3 == 2 && c.before != nil {
				delete(entries, name)
			} else {
				c.after = &Entry{Name: name, Phase: PhaseServe, Current: testForm(name, step), Since: uint64(step)}
				entries[name] = c.after
			}
			raw, left, err := tree.apply([]change{c})
			if err != nil {
				t.Fatal(err)
			}
			for digest := range raw {
				has[digest] = true
			}
			for _, digest := range left {
				delete(has, digest)
			}
			whole, all, err := buildTree(levels, entries)
			if err != nil || !slices.Equal(whole.head(1, nil).Pages, tree.head(1, nil).Pages) || !maps.Equal(whole.useCounts, tree.useCounts) {
				t.Fatalf("%d levels, step %d: it is not the tree of its entries (%v)", levels, step, err)
			}
			if len(all) != len(has) || slices.ContainsFunc(slices.Collect(maps.Keys(all)), func(d string) bool { return !has[d] }) {
				t.Fatalf("%d levels, step %d: %d pages were told of, it has %d", levels, step, len(has), len(all))
			}
			w := assemble(whole.head(1, nil), decoded(t, all), true, nil, nil)
			if w.err != nil || len(w.missing) > 0 || len(w.snapshot.byName()) != len(entries) {
				t.Fatalf("%d levels, step %d: %d entries of %d, %v", levels, step, len(w.snapshot.byName()), len(entries), w.err)
			}
		}
	}
}

// TestOnDemandIsBounded: names that are made up get so many parts read and no more, held parts stay within their
// bound, and what is open or in use is held on.
func TestOnDemandIsBounded(t *testing.T) {
	head, pages := treeImage(t, 1, 3000)
	now := time.Second
	d := NewCache(1, 0, true)
	d.Handle(now, PolicyChanged{PolicyTable{1, func(string) bool { return true }}})
	d.Handle(now, SessionOpened{now, time.Hour})
	read := func() {
		want := d.Wanted()
		d.Handle(now, CatalogueRead{now, true, assemble(head, pages, want.complete, want.forLevels(head.Levels), nil).snapshot})
	}
	read()
	if c := d.buildCatalogue(); !c.Ready() || d.TenantCount() != 0 || c.Decide(now, "x-t1", "a", "").Reason != ReasonLeafMissing {
		t.Errorf("before the first request it knows %d", d.TenantCount())
	}
	d.Handle(now, LeafMissing{"x-t1"})
	d.Handle(now, LeafMissing{"x-t1"})
	if read(); d.buildCatalogue().Decide(now, "x-t1", "a", "").Kind != Routed || len(d.leaves) != 1 {
		t.Errorf("it holds %d parts", len(d.leaves))
	}
	d.Handle(now, RequestStarted{"t1"})
	d.idleTimeout = 2 * time.Hour
	for round := 1; round <= 3; round++ { // the bound on reads is met in each, that on parts in the last
		fetches := 0
		for i := range 4 * readBurst {
			if len(d.Handle(now, LeafMissing{fmt.Sprint("made-up-", round, "-", i)})) > 0 {
				fetches++
			}
			if i%maxRequestedLeaves == 0 {
				read()
			}
		}
		read()
		now += readBurst * readInterval
		if d.Handle(now, Tick{}); fetches > readBurst || len(d.leaves) > maxCachedLeaves || round == 1 && len(d.leaves) < readBurst-maxRequestedLeaves {
			t.Errorf("round %d: %d reads, %d parts", round, fetches, len(d.leaves))
		}
	}
	d.idleTimeout = defaultIdleTimeout
	d.buildCatalogue().Decide(now+defaultIdleTimeout, "x-t1", "a", "")
	now += defaultIdleTimeout + evictInterval
	if d.Handle(now, Tick{}); len(d.leaves) != 2 { // by each of its names
		t.Errorf("idle: it holds %d parts", len(d.leaves))
	}
	now += defaultIdleTimeout
	if d.Handle(now, Tick{}); len(d.leaves) != 2 || d.buildCatalogue().Decide(now, "x-t1", "a", "").Kind != Routed {
		t.Errorf("what is open is let go: it holds %d parts", len(d.leaves))
	}
	d.Handle(now, RequestEnded{"t1"})
	d.buildCatalogue().Decide(now+defaultIdleTimeout, "x-t1", "a", "")
	now += defaultIdleTimeout + evictInterval
	if d.Handle(now, Tick{}); len(d.leaves) != 1 || d.TenantCount() == 0 || d.entries["t1"] == nil {
		t.Errorf("by one of its names: it holds %d parts", len(d.leaves))
	}
	now += defaultIdleTimeout
	if d.Handle(now, Tick{}); len(d.leaves) != 0 {
		t.Errorf("idle: it holds %d parts", len(d.leaves))
	}
}
