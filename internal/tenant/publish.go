package tenant

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// RecordWrite is a write under the controller's fencing token, conditional on the version that it
// replaces. Puts of one stage may go together; a later stage waits for the earlier:
// intent (tenants, members), pages, head, what is done with (orders, old pages).
type RecordWrite struct {
	Stage         int
	Key           string
	Value         []byte // nil: the record goes
	Version       uint64 // that it must have; 0: none
	Unconditional bool   // it is not conditional: a page is what its key says
}

// The stages.
const (
	stageIntent = iota
	stagePages
	stageHead
	stageAfter
)

// wasRestored reports whether a proxy has a higher catalogue than there is: the registry's state is from a
// copy. All is published anew, above what any proxy has.
func (m *StateMachine) wasRestored(r *round) bool {
	return slices.ContainsFunc(r.Sessions, func(s Session) bool { return s.Status.Prepared > m.head.Number })
}

// publish makes the next catalogue if what is on record differs from the last.
func (m *StateMachine) publish(r *round) error {
	number, anew := m.head.Number+1, m.wasRestored(r)
	for _, s := range r.Sessions {
		number = max(number, s.Status.Prepared+1)
	}
	levels := depth(m.hashTree, m.head.Levels, len(m.tenants))
	changes := m.catalogueChanges(r, number, anew)
	if len(changes) == 0 && !anew && m.headVersion > 0 && levels == m.head.Levels {
		return nil
	}
	for _, c := range changes {
		if c.before != nil {
			delete(m.entries, c.before.Name)
			delete(m.inTransition, c.before.Name)
		}
		if c.after != nil {
			m.entries[c.after.Name] = c.after
			if c.after.Phase != PhaseServe {
				m.inTransition[c.after.Name] = c.after
			}
		}
	}
	raw, left, err := m.updateTree(levels, changes)
	if err != nil {
		return err
	}
	// one that lies there may be about to go, by a call that is under way
	for _, digest := range slices.Sorted(maps.Keys(raw)) {
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stagePages, Key: PagePrefix + digest, Value: raw[digest], Unconditional: true},
		)
	}
	m.head = m.tree.head(number, policyNeeds(m.inTransition))
	b, err := json.Marshal(m.head)
	if err != nil {
		return fmt.Errorf("tenant: the catalogue's head: %w", err)
	}
	r.writes = append(r.writes, RecordWrite{Stage: stageHead, Key: HeadKey, Value: b, Version: m.headVersion})
	// what only this head leaves stays for who reads it now
	for _, digest := range slices.Sorted(slices.Values(m.stalePages)) {
		if version, there := m.pages[digest]; there && m.tree.uses[digest] == 0 {
			r.writes = append(r.writes, RecordWrite{Stage: stageAfter, Key: PagePrefix + digest, Version: version})
			delete(m.pages, digest)
		}
	}
	m.stalePages = left
	return nil
}

// catalogueChanges returns the entries that differ from the last catalogue: among the tenants that changed in
// this round; in a controller's first round, or anew, among all.
func (m *StateMachine) catalogueChanges(r *round, number uint64, anew bool) (all []change) {
	for name := range m.tenantsToCompare(r, anew) {
		was := m.entries[name]
		var e *Entry
		if t := m.tenants[name]; t != nil {
			e = entryOf(t)
		}
		if e != nil && was != nil {
			e.unknownFields = was.unknownFields
		}
		if e.equivalent(was) && (!anew || e == nil) {
			if e != nil {
				was.Current, was.Next = e.Current, e.Next // the next comparison is one of pointers
			}
			continue
		}
		if e != nil {
			e.Since = number
		}
		all = append(all, change{was, e})
	}
	return all
}

// tenantsToCompare returns the names of the tenants whose entries may differ from the last catalogue's.
func (m *StateMachine) tenantsToCompare(r *round, anew bool) map[string]bool {
	names := maps.Clone(r.changed)
	maps.Copy(names, r.removed)
	if m.comparedOnce && !anew {
		return names
	}
	m.comparedOnce = true
	for name := range m.tenants {
		names[name] = true
	}
	for name := range m.entries {
		names[name] = true
	}
	return names
}

// updateTree brings the tree up to the entries. It gives the pages that are to be written, and
// the digests of those that the last catalogue had and this one has not.
func (m *StateMachine) updateTree(
	levels int,
	changes []change,
) (raw map[string][]byte, left []string, err error) {
	former := m.tree
	if former != nil && former.levels == levels {
		return former.apply(changes)
	}
	if m.tree, raw, err = treeOf(levels, m.entries); err != nil {
		return nil, nil, err
	}
	for digest := range m.pages {
		if m.tree.uses[digest] == 0 && !slices.Contains(m.stalePages, digest) {
			left = append(left, digest)
		}
	}
	if former != nil {
		maps.DeleteFunc(raw, func(digest string, _ []byte) bool { return former.uses[digest] > 0 })
	}
	return raw, left, nil
}

// loadTree makes the tree of the catalogue on record. Where its pages are not what this program makes of
// their entries, there is none, and the next catalogue is written completely.
func (m *StateMachine) loadTree() {
	t, _, err := treeOf(m.head.Levels, m.entries)
	if err != nil || m.headVersion == 0 || !slices.Equal(t.head(0, nil).Pages, m.head.Pages) {
		return
	}
	m.tree = t
	for digest := range m.pages {
		if t.uses[digest] == 0 {
			m.stalePages = append(m.stalePages, digest)
		}
	}
}
