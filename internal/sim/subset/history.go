package subset

import (
	"cmp"
	"fmt"
	"slices"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// history is what the list was at each version of an epoch, kept by name, in order, and without the list's
// own code.
type history struct{ servers []past }

// past is what a server was.
type past struct {
	name    string
	point   uint64
	changes []change
}

type change struct {
	version uint64
	entry   registry.Endpoint
}

func (h *history) add(version uint64, e registry.Endpoint) {
	i, there := slices.BinarySearchFunc(
		h.servers,
		e.Name,
		func(p past, name string) int { return cmp.Compare(p.name, name) },
	)
	if !there {
		h.servers = slices.Insert(h.servers, i, past{name: e.Name, point: registry.Position(e.Name)})
	}
	h.servers[i].changes = append(h.servers[i].changes, change{version, e})
}

// at is what the server was at a version, nil where it was not listed.
func (p *past) at(version uint64) *registry.Endpoint {
	for i := len(p.changes) - 1; i >= 0; i-- {
		if c := &p.changes[i]; c.version <= version {
			if c.entry.Status == registry.Removed {
				return nil
			}
			return &c.entry
		}
	}
	return nil
}

// differs says in what a view, which is by name, is not the list of its version within its part.
func (h *history) differs(v client.List) error {
	n, left := 0, v.Endpoints
	for i := range h.servers {
		p := &h.servers[i]
		if !v.Subset.Contains(p.point) {
			continue
		}
		for len(left) > 0 && left[0].Name < p.name { // not of the part
			left = left[1:]
		}
		want, there := p.at(v.Version), len(left) > 0 && left[0].Name == p.name
		switch {
		case want != nil && !there:
			return fmt.Errorf("%s of %s at version %d lacks %s", v.Subset, v.Epoch, v.Version, p.name)
		case want == nil && there:
			return fmt.Errorf(
				"%s of %s at version %d still has %s as %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
				left[0].Status,
			)
		case want != nil && left[0] != *want:
			return fmt.Errorf(
				"%s of %s at version %d has %s as %s, not %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
				left[0].Status,
				want.Status,
			)
		case want != nil:
			n++
		}
	}
	if n != len(v.Endpoints) {
		return fmt.Errorf(
			"%s of %s at version %d has %d servers that are not of the part",
			v.Subset,
			v.Epoch,
			v.Version,
			len(v.Endpoints)-n,
		)
	}
	return nil
}
