package tenant

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// RecordWrite is a write or deletion of a record under the controller's fencing token. It is conditional on
// the version that it replaces. Writes of one stage may run in parallel; a stage starts after the previous
// stage is complete.
type RecordWrite struct {
	Stage         int
	Key           string
	Value         []byte // nil: the record is deleted
	Version       uint64 // version that the record must have; 0: it must not exist
	Unconditional bool   // Version is ignored: the key of a page determines its content
}

// The stages of writes, in order.
const (
	stageIntent  = iota // tenants and members
	stagePages          // new pages of the catalogue
	stageHead           // the catalogue's head
	stageCleanup        // deletion of orders and of unused pages and tenants
)

// wasRestored reports whether a proxy has a higher catalogue number than the catalogue on record. The
// registry has then been restored from a backup, and the complete catalogue is published again under a number
// above that of each proxy.
func (m *StateMachine) wasRestored(r *round) bool {
	return slices.ContainsFunc(r.Sessions, func(s Session) bool { return s.Status.Prepared > m.head.Number })
}

// publish adds the writes of the next catalogue, if it would differ from the last one.
func (m *StateMachine) publish(r *round) error {
	number, republish := m.head.Number+1, m.wasRestored(r)
	for _, s := range r.Sessions {
		number = max(number, s.Status.Prepared+1)
	}
	levels := requiredLevels(m.hashTree, m.head.Levels, len(m.tenants))
	changes := m.catalogueChanges(r, number, republish)
	if len(changes) == 0 && !republish && m.headVersion > 0 && levels == m.head.Levels {
		return nil
	}
	for _, changed := range changes {
		if changed.before != nil {
			delete(m.entries, changed.before.Name)
			delete(m.inTransition, changed.before.Name)
		}
		if changed.after != nil {
			m.entries[changed.after.Name] = changed.after
			if changed.after.Phase != PhaseServe {
				m.inTransition[changed.after.Name] = changed.after
			}
		}
	}
	raw, unused, err := m.updateTree(levels, changes)
	if err != nil {
		return err
	}
	// a page that is on record already is written again, because a delayed call may still delete it
	for _, digest := range slices.Sorted(maps.Keys(raw)) {
		r.writes = append(
			r.writes,
			RecordWrite{Stage: stagePages, Key: PagePrefix + digest, Value: raw[digest], Unconditional: true},
		)
	}
	m.head = m.tree.head(number, policyNeeds(m.inTransition))
	encodedHead, err := json.Marshal(m.head)
	if err != nil {
		return fmt.Errorf("tenant: encode catalogue head: %w", err)
	}
	r.writes = append(
		r.writes,
		RecordWrite{Stage: stageHead, Key: HeadKey, Value: encodedHead, Version: m.headVersion},
	)
	// Readers of the last head may still need its pages, so pages that this head no longer uses are deleted with
	// the next head. The pages deleted now fell out of use with the last head.
	for _, digest := range slices.Sorted(slices.Values(m.stalePages)) {
		if version, recorded := m.pages[digest]; recorded && m.tree.useCounts[digest] == 0 {
			r.writes = append(r.writes, RecordWrite{Stage: stageCleanup, Key: PagePrefix + digest, Version: version})
			delete(m.pages, digest)
		}
	}
	m.stalePages = unused
	return nil
}

// catalogueChanges returns the entries that differ from the last catalogue. It compares the tenants that
// changed in this round or, in a controller's first round and with republish, all tenants. With republish,
// all entries count as changed.
func (m *StateMachine) catalogueChanges(r *round, number uint64, republish bool) (changes []change) {
	for name := range m.tenantsToCompare(r, republish) {
		previous := m.entries[name]
		var current *Entry
		if t := m.tenants[name]; t != nil {
			current = entryOf(t)
		}
		if current != nil && previous != nil {
			current.unknownFields = previous.unknownFields
		}
		if current.equivalent(previous) && (!republish || current == nil) {
			if current != nil {
				// lets the next comparison compare pointers
				previous.Current, previous.Next = current.Current, current.Next
			}
			continue
		}
		if current != nil {
			current.Since = number
		}
		changes = append(changes, change{previous, current})
	}
	return changes
}

// tenantsToCompare returns the names of the tenants whose entries may differ from the last catalogue.
func (m *StateMachine) tenantsToCompare(r *round, republish bool) map[string]bool {
	names := maps.Clone(r.changed)
	maps.Copy(names, r.removed)
	if m.comparedAll && !republish {
		return names
	}
	m.comparedAll = true
	for name := range m.tenants {
		names[name] = true
	}
	for name := range m.entries {
		names[name] = true
	}
	return names
}

// updateTree updates the tree to m.entries. It returns the pages to write, by digest, and the digests of the
// pages that are on record and that this catalogue is the first not to use.
func (m *StateMachine) updateTree(
	levels int,
	changes []change,
) (newPages map[string][]byte, unused []string, err error) {
	previous := m.tree
	if previous != nil && previous.levels == levels {
		return previous.apply(changes)
	}
	if m.tree, newPages, err = buildTree(levels, m.entries); err != nil {
		return nil, nil, err
	}
	for digest := range m.pages {
		if m.tree.useCounts[digest] == 0 && !slices.Contains(m.stalePages, digest) {
			unused = append(unused, digest)
		}
	}
	if previous != nil {
		maps.DeleteFunc(newPages, func(digest string, _ []byte) bool { return previous.useCounts[digest] > 0 })
	}
	return newPages, unused, nil
}

// loadTree builds the tree of the catalogue on record. If this version of the program encodes the entries as
// other pages than those on record, the tree stays nil, and the next catalogue is written completely.
func (m *StateMachine) loadTree() {
	t, _, err := buildTree(m.head.Levels, m.entries)
	if err != nil || m.headVersion == 0 || !slices.Equal(t.head(0, nil).Pages, m.head.Pages) {
		return
	}
	m.tree = t
	for digest := range m.pages {
		if t.useCounts[digest] == 0 {
			m.stalePages = append(m.stalePages, digest)
		}
	}
}
