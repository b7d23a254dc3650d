package proxy

import (
	"slices"
	"sync/atomic"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// subsetInputs are the settings that determine which subset of the registry's list this proxy follows.
type subsetInputs struct {
	proxyIndex, proxies int
	placements          []registry.Placement // of the classes, each once
}

// subsetInputsOf returns the inputs that the balancer's settings contain.
func subsetInputsOf(s balancer.Settings) *subsetInputs {
	inputs := &subsetInputs{proxyIndex: s.ProxyIndex, proxies: s.Proxies}
	for _, c := range s.Classes {
		placement := registry.Placement{Zones: c.AllowedZones, Types: c.AllowedMachineTypes}
		if !slices.ContainsFunc(inputs.placements, func(o registry.Placement) bool {
			return sameRestriction(o.Zones, placement.Zones) && sameRestriction(o.Types, placement.Types)
		}) {
			inputs.placements = append(inputs.placements, placement)
		}
	}
	return inputs
}

// sameRestriction reports whether two lists of zones or machine types allow the same. Nil allows all, an
// empty list allows none.
func sameRestriction(a, b []string) bool { return slices.Equal(a, b) && (a == nil) == (b == nil) }

// subsetChooser chooses the subset to follow. The registry's client calls it from its own goroutine, so the
// inputs are atomic.
type subsetChooser struct{ inputs atomic.Pointer[subsetInputs] }

// next returns the subset to follow. current is the subset that the proxy follows now, entries its endpoints,
// and total the number of endpoints in the complete list.
func (s *subsetChooser) next(
	current registry.Subset,
	total int,
	entries []registry.Endpoint,
) registry.Subset {
	inputs := s.inputs.Load()
	return current.Next(inputs.proxyIndex, inputs.proxies, total, entries, inputs.placements)
}

// listResponseOf converts a client's present list to the form of a registry response.
func listResponseOf(list client.List) registry.ListResponse {
	return registry.ListResponse{
		Index:     list.Version,
		Epoch:     list.Epoch,
		Snapshot:  true,
		Subset:    list.Subset.String(),
		Total:     list.Total,
		Endpoints: list.Endpoints,
	}
}

// setSubset records in the update which subset of the complete list it contains. proxyIndex is this proxy's
// index. For the complete list it records nothing.
func setSubset(update *balancer.EndpointsUpdated, list registry.ListResponse, proxyIndex int) {
	if subset, err := registry.ParseSubset(list.Subset); err == nil && !subset.IsAll() {
		update.TotalEndpoints, update.SubsetStart = list.Total, registry.StartPosition(proxyIndex)
	}
}
