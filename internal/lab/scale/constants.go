package scale

import (
	"context"
	"encoding/json"

	"wrenspread/internal/quota"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/server"
	"wrenspread/internal/tenant"
)

// Copies of bounds that their packages do not export.
const (
	maxPlatformListBytes = 4 << 20 // maxPlatformResponseBytes of internal/registry/client
	maxViewMembers       = 4096    // default of MaxMembers of internal/membership
	maxEnrolled          = 2000    // maxMembers of internal/tenant
)

// Constants records the limits at which the programs of this commit refuse entries, nodes, tenants and so on.
func Constants(_ context.Context, run Run, report func(Point)) error {
	return run.record("constants", func() ([]Point, error) {
		list := registry.ListResponse{Endpoints: []registry.Endpoint{entryOf(1)}}
		oneEntry, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, entryOf(2))
		twoEntries, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		p := Point{Sizes: map[string]int{}, Figures: map[string]Spread{}}
		for name, n := range map[string]float64{"entries": registry.MaxEndpoints, "records": registry.MaxRecords,
			"record_bytes": registry.MaxRecordBytes, "sessions": registry.MaxSessions,
			"held_calls": float64(server.Default().MaxWatchers), "tenants": tenant.MaxTreeTenants,
			"enrolled": maxEnrolled,
			// internal/policy has the same limit
			"seats": quota.MaxProxies, "members": maxViewMembers, "policy_bytes": registry.MaxRecordValueBytes,
			"platform_list_bytes": maxPlatformListBytes, "entry_bytes": float64(len(twoEntries) - len(oneEntry))} {
			p.Figures[name] = Spread{n, n, n}
		}
		report(p)
		return []Point{p}, nil
	})
}
