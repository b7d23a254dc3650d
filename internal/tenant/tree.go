package tenant

import (
	"cmp"
	"maps"
	"slices"
)

// tree has the pages of the catalogue that a controller published last, so that the controller writes only
// the pages of the next catalogue that differ.
type tree struct {
	levels    int              // Head.Levels
	leaves    map[int][]*Entry // entries of each leaf, sorted by name
	digests   []map[int]string // digests of the pages of each level, from the top to the leaves
	useCounts map[string]int   // number of references to a digest: equal leaves are one page
}

func newTree(levels int) *tree {
	t := &tree{
		levels:    levels,
		leaves:    map[int][]*Entry{},
		useCounts: map[string]int{},
		digests:   make([]map[int]string, max(1, levels)),
	}
	for i := range t.digests {
		t.digests[i] = map[int]string{}
	}
	return t
}

// buildTree returns the tree of some entries, and all its encoded pages by digest.
func buildTree(levels int, entries map[string]*Entry) (*tree, map[string][]byte, error) {
	t := newTree(levels)
	additions := make([]change, 0, len(entries))
	for _, e := range entries {
		additions = append(additions, change{after: e})
	}
	raw, _, err := t.apply(additions)
	return t, raw, err
}

// change is the change of an entry. before is nil for a new entry, after is nil for a deleted entry.
type change struct{ before, after *Entry }

// apply makes changes. It returns the new pages, encoded, by digest, and the digests of pages that are no
// longer used.
func (t *tree) apply(changes []change) (raw map[string][]byte, unused []string, err error) {
	raw = map[string][]byte{}
	touched := t.changeLeaves(changes)
	for level := len(t.digests) - 1; level >= 0; level-- {
		parents := map[int]bool{}
		for index := range touched {
			digest, b, err := t.page(level, index).encode()
			if err != nil {
				return nil, nil, err
			}
			if previous := t.digests[level][index]; previous != digest {
				parents[index>>fanBits] = true
				if t.digests[level][index] = digest; t.addUses(digest, 1) == 1 {
					raw[digest] = b
				}
				if t.addUses(previous, -1) == 0 && previous != "" {
					unused = append(unused, previous)
				}
			}
		}
		touched = parents
	}
	return raw, slices.DeleteFunc(unused, func(digest string) bool { return t.useCounts[digest] > 0 }), nil
}

// changeLeaves makes changes in the entries of the leaves, and returns the leaves that contain changed
// entries.
func (t *tree) changeLeaves(changes []change) (touched map[int]bool) {
	touched = map[int]bool{}
	edit := func(e *Entry, update func(entries []*Entry, index int, found bool) []*Entry) {
		if e == nil {
			return
		}
		for _, leaf := range leavesOf(e, t.levels) {
			byName := func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) }
			index, found := slices.BinarySearchFunc(t.leaves[leaf], e, byName)
			t.leaves[leaf] = update(t.leaves[leaf], index, found)
			touched[leaf] = true
		}
	}
	for _, c := range changes {
		edit(c.before, func(entries []*Entry, index int, found bool) []*Entry {
			if !found {
				return entries
			}
			return slices.Delete(entries, index, index+1)
		})
		edit(c.after, func(entries []*Entry, index int, _ bool) []*Entry {
			return slices.Insert(entries, index, c.after)
		})
	}
	return touched
}

// page returns the page with an index on a level.
func (t *tree) page(level, index int) *page {
	if level == len(t.digests)-1 {
		return &page{Entries: t.leaves[index]}
	}
	p := &page{Pages: make([]string, fanOut)}
	for n := range p.Pages {
		p.Pages[n] = t.digests[level+1][index<<fanBits|n]
	}
	return p
}

// addUses adds delta to the number of references to a digest, and returns the sum. "" has no references.
func (t *tree) addUses(digest string, delta int) int {
	if digest == "" {
		return 0
	}
	t.useCounts[digest] += delta
	remaining := t.useCounts[digest]
	if remaining == 0 {
		delete(t.useCounts, digest)
	}
	return remaining
}

// head returns the head of the tree's catalogue with a number.
func (t *tree) head(number uint64, needs []PolicyNeed) Head {
	h := Head{Format: documentFormat, Number: number, Levels: t.levels, Pages: make([]string, fanOut)}
	if t.levels > 0 {
		h.Format, h.PolicyNeeds = treeFormat, needs
	}
	for n := range h.Pages {
		h.Pages[n] = t.digests[0][n]
	}
	return h
}

// requiredLevels returns the number of levels that the catalogue needs, 0 for the flat form. The number of a
// tree's levels never decreases, because after each change of the number all proxies read their cached leaves
// again.
func requiredLevels(hashTree bool, current, tenants int) int {
	if !hashTree {
		return 0
	}
	levels := max(minLevels, current)
	for levels < maxLevels && tenants > tenantsPerLeaf<<(fanBits*levels) {
		levels++
	}
	return levels
}

// maxTenants returns the maximal number of tenants in the form in which the catalogue is written.
func (m *StateMachine) maxTenants() int {
	if m.hashTree {
		return MaxTreeTenants
	}
	return MaxTenants
}

// policyNeeds returns the policy versions that the next specs of entries in transition need, each with the
// number of the first catalogue that needs it.
func policyNeeds(inTransition map[string]*Entry) (needs []PolicyNeed) {
	since := map[uint64]uint64{}
	for _, e := range inTransition {
		if next := e.Next; next != nil && !next.Suspended {
			if first, known := since[next.PolicyVersion]; !known || e.Since < first {
				since[next.PolicyVersion] = e.Since
			}
		}
	}
	policies := slices.Sorted(maps.Keys(since))
	// Drop the oldest version: it is safe to require the next newer one from the earlier of both catalogues on.
	for len(policies) > maxPolicyNeeds {
		since[policies[1]] = min(since[policies[0]], since[policies[1]])
		policies = policies[1:]
	}
	for _, p := range policies {
		needs = append(needs, PolicyNeed{p, since[p]})
	}
	return needs
}

const maxPolicyNeeds = 8 // per head; the policy rarely changes while a tenant is in transition
