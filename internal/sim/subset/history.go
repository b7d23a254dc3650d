package subset

import (
	"cmp"
	"fmt"
	"slices"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// history records the list at each version of an epoch. It uses none of the registry's code for lists, so
// that it can check that code.
type history struct{ endpoints []endpointHistory } // sorted by endpoint name

// endpointHistory records all changes of an endpoint, oldest first.
type endpointHistory struct {
	name     string
	position uint64 // on the ring
	changes  []change
}

// change is an endpoint as it is from a version on.
type change struct {
	version  uint64
	endpoint registry.Endpoint
}

// add records that an endpoint is e from a version on.
func (h *history) add(version uint64, e registry.Endpoint) {
	i, found := slices.BinarySearchFunc(
		h.endpoints,
		e.Name,
		func(p endpointHistory, name string) int { return cmp.Compare(p.name, name) },
	)
	if !found {
		h.endpoints = slices.Insert(
			h.endpoints,
			i,
			endpointHistory{name: e.Name, position: registry.Position(e.Name)},
		)
	}
	h.endpoints[i].changes = append(h.endpoints[i].changes, change{version, e})
}

// endpointAt returns the endpoint at a version, nil if it was not in the list.
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

// differs returns an error unless a view has exactly the endpoints that the list has at the view's version
// within the view's subset. The view must be sorted by name.
func (h *history) differs(v client.List) error {
	matched, remaining := 0, v.Endpoints
	for i := range h.endpoints {
		p := &h.endpoints[i]
		if !v.Subset.Contains(p.position) {
			continue
		}
		for len(remaining) > 0 && remaining[0].Name < p.name { // not within the subset; counted below
			remaining = remaining[1:]
		}
		want, found := p.endpointAt(v.Version), len(remaining) > 0 && remaining[0].Name == p.name
		switch {
		case want != nil && !found:
			return fmt.Errorf(
				"subset %s of epoch %s at version %d lacks endpoint %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
			)
		case want == nil && found:
			return fmt.Errorf(
				"subset %s of epoch %s at version %d still has endpoint %s as %s",
				v.Subset,
				v.Epoch,
				v.Version,
				p.name,
				remaining[0].Status,
			)
		case want != nil && remaining[0] != *want:
			return fmt.Errorf(
				"subset %s of epoch %s at version %d has endpoint %s as %s, want %s",
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
			"subset %s of epoch %s at version %d has %d endpoints outside the subset",
			v.Subset,
			v.Epoch,
			v.Version,
			len(v.Endpoints)-matched,
		)
	}
	return nil
}
