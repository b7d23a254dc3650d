package proxy

import (
	"slices"
	"sync/atomic"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// scope is what of the settings says which part of the list this node works with.
type scope struct {
	self, nodes int
	groups      []registry.Placement
}

func scopeOf(s balancer.Settings) *scope {
	to := &scope{self: s.ProxyIndex, nodes: s.Proxies}
	for _, c := range s.Classes {
		g := registry.Placement{Zones: c.AllowedZones, Types: c.AllowedMachineTypes}
		if !slices.ContainsFunc(to.groups, func(o registry.Placement) bool { return same(o.Zones, g.Zones) && same(o.Types, g.Types) }) {
			to.groups = append(to.groups, g)
		}
	}
	return to
}

// same tells placements apart: nil is all, and empty none.
func same(a, b []string) bool { return slices.Equal(a, b) && (a == nil) == (b == nil) }

// scoped is the node's choice of a part, which the client of the list service asks
// for from a goroutine of its own.
type scoped struct{ now atomic.Pointer[scope] }

func (s *scoped) next(has registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
	by := s.now.Load()
	return has.Next(by.self, by.nodes, total, entries, by.groups)
}

// snapshot is what a client believes, in the form of an answer.
func snapshot(v client.List) registry.ListResponse {
	return registry.ListResponse{Index: v.Version, Epoch: v.Epoch, Snapshot: true, Subset: v.Subset.String(), Total: v.Total, Endpoints: v.Endpoints}
}

// placePart says of a list which part of the whole it is; of the whole list it says nothing.
func placePart(u *balancer.EndpointsUpdated, l registry.ListResponse, self int) {
	if p, err := registry.ParseSubset(l.Subset); err == nil && !p.IsAll() {
		u.TotalEndpoints, u.SubsetStart = l.Total, registry.StartPosition(self)
	}
}
