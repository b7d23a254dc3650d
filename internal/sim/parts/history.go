package parts

import (
	"fmt"

	"indigotack/internal/list"
	"indigotack/internal/list/client"
)

// history is what the list was at each version of an epoch, kept by name and without the list's own code.
type history struct{ changes map[string][]change }

type change struct {
	version uint64
	point   uint64
	entry   list.Entry
}

func (h *history) add(version uint64, e list.Entry) {
	h.changes[e.Name] = append(h.changes[e.Name], change{version, list.Point(e.Name), e})
}

// differs says in what a view is not the list of its version within its part.
func (h *history) differs(v client.View) error {
	has := make(map[string]int, len(v.Entries))
	for i, e := range v.Entries {
		has[e.Name] = i
	}
	n := 0
	for name, all := range h.changes {
		if !v.Part.Holds(all[0].point) {
			continue
		}
		var want list.Entry
		for _, c := range all {
			if c.version <= v.Version {
				want = c.entry
			}
		}
		var e list.Entry
		i, there := has[name]
		if there {
			e = v.Entries[i]
		}
		switch listed := want.Name != "" && want.Status != list.Gone; {
		case listed && !there:
			return fmt.Errorf("%s of %s at version %d lacks %s", v.Part, v.Epoch, v.Version, name)
		case !listed && there:
			return fmt.Errorf("%s of %s at version %d still has %s as %s", v.Part, v.Epoch, v.Version, name, e.Status)
		case listed && e != want:
			return fmt.Errorf("%s of %s at version %d has %s as %s, not %s", v.Part, v.Epoch, v.Version, name, e.Status, want.Status)
		case listed:
			n++
		}
	}
	if n != len(v.Entries) {
		return fmt.Errorf("%s of %s at version %d has %d servers that are not of the part", v.Part, v.Epoch, v.Version, len(v.Entries)-n)
	}
	return nil
}
