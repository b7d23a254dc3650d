package tenant

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// restored tells whether a node has a higher catalogue than there is: the service's
// state is from a copy. All is published anew, above what any node has.
func (m *Machine) restored(r *round) bool {
	return slices.ContainsFunc(r.Sessions, func(s Session) bool { return s.Word.Prepared > m.head.Number })
}

// publish makes the next catalogue if what is on record differs from the last.
func (m *Machine) publish(r *round) error {
	number, differs := m.head.Number+1, m.restored(r)
	anew := differs
	for _, s := range r.Sessions {
		number = max(number, s.Word.Prepared+1)
	}
	next := &Image{Number: number, Entries: map[string]*Entry{}}
	for name, t := range m.tenants {
		e, was := entryOf(t), m.image.Entries[name]
		if e == nil {
			differs = differs || was != nil
			continue
		}
		if was != nil {
			e.more = was.more
		}
		if e.same(was) && !anew {
			was.Now, was.Next = e.Now, e.Next // the next comparison is one of pointers
			e = was
		} else {
			e.Since, differs = number, true
		}
		next.Entries[name] = e
	}
	for name := range m.image.Entries {
		differs = differs || m.tenants[name] == nil
	}
	if !differs && m.headVer > 0 {
		return nil
	}
	head, raw, err := next.split()
	if err != nil {
		return err
	}
	for _, digest := range slices.Sorted(maps.Keys(raw)) {
		if !slices.Contains(m.head.Pages, digest) { // one that lies there may be about to go, by a call that is under way
			r.puts = append(r.puts, Put{Stage: stagePages, Key: PagePrefix + digest, Value: raw[digest], Free: true})
		}
	}
	b, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("tenant: the catalogue's head: %w", err)
	}
	r.puts = append(r.puts, Put{Stage: stageHead, Key: HeadKey, Value: b, Version: m.headVer})
	for _, digest := range slices.Sorted(maps.Keys(m.pages)) { // the last head's pages stay for who reads them now
		if !slices.Contains(head.Pages, digest) && !slices.Contains(m.head.Pages, digest) {
			r.puts = append(r.puts, Put{Stage: stageAfter, Key: PagePrefix + digest, Version: m.pages[digest]})
			delete(m.pages, digest)
		}
	}
	m.head, m.image = head, next
	return nil
}
