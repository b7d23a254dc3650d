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
		entries[name] = &Entry{Name: name, Phase: Serve, Now: testForm(name, 1), Since: number}
	}
	tree, raw, err := treeOf(3, entries)
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
			c := change{was: entries[name]}
			if step%3 == 2 && c.was != nil {
				delete(entries, name)
			} else {
				c.now = &Entry{Name: name, Phase: Serve, Now: testForm(name, step), Since: uint64(step)}
				entries[name] = c.now
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
			whole, all, err := treeOf(levels, entries)
			if err != nil || !slices.Equal(whole.head(1, nil).Pages, tree.head(1, nil).Pages) || !maps.Equal(whole.uses, tree.uses) {
				t.Fatalf("%d levels, step %d: it is not the tree of its entries (%v)", levels, step, err)
			}
			if len(all) != len(has) || slices.ContainsFunc(slices.Collect(maps.Keys(all)), func(d string) bool { return !has[d] }) {
				t.Fatalf("%d levels, step %d: %d pages were told of, it has %d", levels, step, len(has), len(all))
			}
			w := gather(whole.head(1, nil), decoded(t, all), true, nil, nil)
			if w.err != nil || len(w.missing) > 0 || len(w.image.byName()) != len(entries) {
				t.Fatalf("%d levels, step %d: %d entries of %d, %v", levels, step, len(w.image.byName()), len(entries), w.err)
			}
		}
	}
}

// TestOnDemandIsBounded: names that are made up get so many parts read and no more, held parts stay within their
// bound, and what is open or in use is held on.
func TestOnDemandIsBounded(t *testing.T) {
	head, pages := treeImage(t, 1, 3000)
	now := time.Second
	d := NewDesk(1, 0, true)
	d.Handle(now, Tables{Table{1, func(string) bool { return true }}})
	d.Handle(now, Opened{now, time.Hour})
	read := func() {
		want := d.Want()
		d.Handle(now, Read{now, true, gather(head, pages, want.whole, want.at(head.Levels), nil).image})
	}
	read()
	if c := d.catalogue(); !c.Ready() || d.Known() != 0 || c.Answer(now, "x-t1", "a", "").Why != WhyUnread {
		t.Errorf("before the first request it knows %d", d.Known())
	}
	d.Handle(now, Asked{"x-t1"})
	d.Handle(now, Asked{"x-t1"})
	if read(); d.catalogue().Answer(now, "x-t1", "a", "").Verdict != Served || len(d.held) != 1 {
		t.Errorf("it holds %d parts", len(d.held))
	}
	d.Handle(now, Begun{"t1"})
	d.idle = 2 * time.Hour
	for round := 1; round <= 3; round++ { // the bound on reads is met in each, that on parts in the last
		fetches := 0
		for i := range 4 * readsAtOnce {
			if len(d.Handle(now, Asked{fmt.Sprint("made-up-", round, "-", i)})) > 0 {
				fetches++
			}
			if i%mostAsked == 0 {
				read()
			}
		}
		read()
		now += readsAtOnce * readsEvery
		if d.Handle(now, Tick{}); fetches > readsAtOnce || len(d.held) > mostParts || round == 1 && len(d.held) < readsAtOnce-mostAsked {
			t.Errorf("round %d: %d reads, %d parts", round, fetches, len(d.held))
		}
	}
	d.idle = idleTime
	d.catalogue().Answer(now+idleTime, "x-t1", "a", "")
	now += idleTime + lookEvery
	if d.Handle(now, Tick{}); len(d.held) != 2 { // by each of its names
		t.Errorf("idle: it holds %d parts", len(d.held))
	}
	now += idleTime
	if d.Handle(now, Tick{}); len(d.held) != 2 || d.catalogue().Answer(now, "x-t1", "a", "").Verdict != Served {
		t.Errorf("what is open is let go: it holds %d parts", len(d.held))
	}
	d.Handle(now, Over{"t1"})
	d.catalogue().Answer(now+idleTime, "x-t1", "a", "")
	now += idleTime + lookEvery
	if d.Handle(now, Tick{}); len(d.held) != 1 || d.Known() == 0 || d.entries["t1"] == nil {
		t.Errorf("by one of its names: it holds %d parts", len(d.held))
	}
	now += idleTime
	if d.Handle(now, Tick{}); len(d.held) != 0 {
		t.Errorf("idle: it holds %d parts", len(d.held))
	}
}
