package tenant

import (
	"cmp"
	"maps"
	"slices"
)

// tree is the catalogue as its pages: what a controller has published, so that it writes
// of the next only what differs.
type tree struct {
	levels  int              // as in a head
	leaves  map[int][]*Entry // by name
	digests []map[int]string // of the pages of each level, the leaves' last
	uses    map[string]int   // how often a digest is named: equal leaves are one page
}

func newTree(levels int) *tree {
	t := &tree{
		levels:  levels,
		leaves:  map[int][]*Entry{},
		uses:    map[string]int{},
		digests: make([]map[int]string, max(1, levels)),
	}
	for i := range t.digests {
		t.digests[i] = map[int]string{}
	}
	return t
}

// treeOf is the tree of some entries, with all its pages.
func treeOf(levels int, entries map[string]*Entry) (*tree, map[string][]byte, error) {
	t := newTree(levels)
	all := make([]change, 0, len(entries))
	for _, e := range entries {
		all = append(all, change{after: e})
	}
	raw, _, err := t.apply(all)
	return t, raw, err
}

// change is of one entry, nil where there is none.
type change struct{ before, after *Entry }

// apply makes changes, and gives the pages that are new by their digests, and the digests
// that are not used any more.
func (t *tree) apply(changes []change) (raw map[string][]byte, left []string, err error) {
	raw = map[string][]byte{}
	touched := t.changeLeaves(changes)
	for level := len(t.digests) - 1; level >= 0; level-- {
		above := map[int]bool{}
		for at := range touched {
			digest, b, err := t.page(level, at).encode()
			if err != nil {
				return nil, nil, err
			}
			if was := t.digests[level][at]; was != digest {
				above[at>>fanBits] = true
				if t.digests[level][at] = digest; t.use(digest, 1) == 1 {
					raw[digest] = b
				}
				if t.use(was, -1) == 0 && was != "" {
					left = append(left, was)
				}
			}
		}
		touched = above
	}
	return raw, slices.DeleteFunc(left, func(digest string) bool { return t.uses[digest] > 0 }), nil
}

// changeLeaves makes changes in the leaves' entries, and returns the leaves that they concern.
func (t *tree) changeLeaves(changes []change) (touched map[int]bool) {
	touched = map[int]bool{}
	edit := func(e *Entry, do func(entries []*Entry, at int, found bool) []*Entry) {
		if e == nil {
			return
		}
		for _, leaf := range leavesOf(e, t.levels) {
			byName := func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) }
			at, found := slices.BinarySearchFunc(t.leaves[leaf], e, byName)
			t.leaves[leaf] = do(t.leaves[leaf], at, found)
			touched[leaf] = true
		}
	}
	for _, c := range changes {
		edit(c.before, func(entries []*Entry, at int, found bool) []*Entry {
			if !found {
				return entries
			}
			return slices.Delete(entries, at, at+1)
		})
		edit(c.after, func(entries []*Entry, at int, _ bool) []*Entry {
			return slices.Insert(entries, at, c.after)
		})
	}
	return touched
}

func (t *tree) page(level, at int) *page {
	if level == len(t.digests)-1 {
		return &page{Entries: t.leaves[at]}
	}
	p := &page{Pages: make([]string, fanOut)}
	for n := range p.Pages {
		p.Pages[n] = t.digests[level+1][at<<fanBits|n]
	}
	return p
}

// use counts a digest's uses.
func (t *tree) use(digest string, n int) int {
	if digest == "" {
		return 0
	}
	t.uses[digest] += n
	left := t.uses[digest]
	if left == 0 {
		delete(t.uses, digest)
	}
	return left
}

// head names the tree's uppermost pages.
func (t *tree) head(number uint64, needs []PolicyNeed) Head {
	h := Head{Format: format, Number: number, Levels: t.levels, Pages: make([]string, fanOut)}
	if t.levels > 0 {
		h.Format, h.PolicyNeeds = treeFormat, needs
	}
	for n := range h.Pages {
		h.Pages[n] = t.digests[0][n]
	}
	return h
}

// depth is how many levels a catalogue has to have: one that was a tree gets no fewer, as
// each change of their number has all proxies read again what they hold.
func depth(hashTree bool, before, tenants int) int {
	if !hashTree {
		return 0
	}
	levels := max(minDepth, before)
	for levels < maxDepth && tenants > leafSize<<(fanBits*levels) {
		levels++
	}
	return levels
}

// maxTenants is how many tenants there may be.
func (m *StateMachine) maxTenants() int {
	if m.hashTree {
		return MaxTreeTenants
	}
	return MaxTenants
}

// policyNeeds returns what the next specs of entries need that move: of each policy, since when.
func policyNeeds(moving map[string]*Entry) (all []PolicyNeed) {
	since := map[uint64]uint64{}
	for _, e := range moving {
		if n := e.Next; n != nil && !n.Suspended {
			if at, there := since[n.PolicyVersion]; !there || e.Since < at {
				since[n.PolicyVersion] = e.Since
			}
		}
	}
	policies := slices.Sorted(maps.Keys(since))
	for len(policies) > maxPolicyNeeds { // the newer table is needed since earlier, then: that is safe
		since[policies[1]] = min(since[policies[0]], since[policies[1]])
		policies = policies[1:]
	}
	for _, p := range policies {
		all = append(all, PolicyNeed{p, since[p]})
	}
	return all
}

const maxPolicyNeeds = 8 // in a head; policies rarely change while a tenant moves
