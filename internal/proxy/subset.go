package proxy

import (
	"slices"
	"sync/atomic"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// subsetInputs is what of the settings says which subset of the list this proxy works with.
type subsetInputs struct {
	proxyIndex, proxies int
	placements          []registry.Placement
}

func subsetInputsOf(s balancer.Settings) *subsetInputs {
	to := &subsetInputs{proxyIndex: s.ProxyIndex, proxies: s.Proxies}
	for _, c := range s.Classes {
		g := registry.Placement{Zones: c.AllowedZones, Types: c.AllowedMachineTypes}
		if !slices.ContainsFunc(to.placements, func(o registry.Placement) bool {
			return samePlacement(o.Zones, g.Zones) && samePlacement(o.Types, g.Types)
		}) {
			to.placements = append(to.placements, g)
		}
	}
	return to
}

// samePlacement tells placements apart: nil is all, and empty none.
func samePlacement(a, b []string) bool { return slices.Equal(a, b) && (a == nil) == (b == nil) }

// subsetChooser is the proxy's choice of a part, which the client of the registry asks
// for from a goroutine of its own.
type subsetChooser struct{ inputs atomic.Pointer[subsetInputs] }

func (s *subsetChooser) next(has registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
	by := s.inputs.Load()
	return has.Next(by.proxyIndex, by.proxies, total, entries, by.placements)
}

// responseOf is what a client believes, in the form of an answer.
func responseOf(v client.List) registry.ListResponse {
	return registry.ListResponse{
		Index:     v.Version,
		Epoch:     v.Epoch,
		Snapshot:  true,
		Subset:    v.Subset.String(),
		Total:     v.Total,
		Endpoints: v.Endpoints,
	}
}

// setSubset says of a list which part of the whole it is; of the complete list it says nothing.
func setSubset(u *balancer.EndpointsUpdated, l registry.ListResponse, self int) {
	if p, err := registry.ParseSubset(l.Subset); err == nil && !p.IsAll() {
		u.TotalEndpoints, u.SubsetStart = l.Total, registry.StartPosition(self)
	}
}
