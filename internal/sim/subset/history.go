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
type history struct{ endpoints []endpointHistory }

// endpointHistory is what a server was.
type endpointHistory struct {
	name     string
	position uint64
	changes  []change
}

type change struct {
	version  uint64
	endpoint registry.Endpoint
}

func (h *history) add(version uint64, e registry.Endpoint) {
	i, found := slices.BinarySearchFunc(
		h.endpoints,
		e.Name,
		func(p endpointHistory, name string) int { return cmp.Compare(p.name, name) },
	)
	if !found {
		h.endpoints = slices.Insert(h.endpoints, i, endpointHistory{name: e.Name, position: registry.Position(e.Name)})
	}
	h.endpoints[i].changes = append(h.endpoints[i].changes, change{version, e})
}

// endpointAt is what the server was at a version, nil where it was not listed.
func (p *endpointHistory) endpointAt(version uint64) *registry.Endpoint {
	for i := len(p.changes) - 1; i >= 0; i-- {
		if c := &p.changes[i]; c.version <= version {
			if c.endpoint.Status == registry.Removed {
				return nil
			}
			return &c.endpoint
		}
	}
	return nil
}

// differs says in what a view, which is by name, is not the list of its version within its part.
func (h *history) differs(v client.List) error {
	matched, remaining := 0, v.Endpoints
	for i := range h.endpoints {
		p := &h.endpoints[i]
		if !v.Subset.Contains(p.position) {
			continue
		}
		for len(remaining) > 0 && remaining[0].Name < p.name { // not of the part
			remaining = remaining[1:]
		}
		want, found := p.endpointAt(v.Version), len(remaining) > 0 && remaining[0].Name == p.name
		switch {
		case want != nil && !found:
			return fmt.Errorf("%s of %s at version %d lacks %s", v.Subset, v.Epoch, v.Version, p.name)
		case want == nil && found:
			return fmt.Errorf(
				"%s of %s at version %d still has %s as %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
				remaining[0].Status,
			)
		case want != nil && remaining[0] != *want:
			return fmt.Errorf(
				"%s of %s at version %d has %s as %s, not %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
				remaining[0].Status,
				want.Status,
			)
		case want != nil:
			matched++
		}
	}
	if matched != len(v.Endpoints) {
		return fmt.Errorf(
			"%s of %s at version %d has %d servers that are not of the part",
			v.Subset,
			v.Epoch,
			v.Version,
			len(v.Endpoints)-matched,
		)
	}
	return nil
}
