package scale

import (
	"context"
	"encoding/json"

	"wrenspread/internal/quota"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/server"
	"wrenspread/internal/tenant"
)

// Bounds that their packages do not export.
const (
	maxPlatformListBytes = 4 << 20 // maxPlatform of internal/registry/client
	maxViewMembers       = 4096    // MaxMembers of internal/membership, if a configuration does not set it
	maxEnrolled          = 2000    // maxMembers of internal/tenant
)

// Constants records the limits beyond which the program of this commit refuses.
func Constants(_ context.Context, run Run, report func(Point)) error {
	return run.record("constants", func() ([]Point, error) {
		list := registry.ListResponse{Endpoints: []registry.Endpoint{entryOf(1)}}
		one, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, entryOf(2))
		two, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		p := Point{Sizes: map[string]int{}, Figures: map[string]Spread{}}
		for name, n := range map[string]float64{"entries": registry.MaxEndpoints, "records": registry.MaxRecords,
			"record_bytes": registry.MaxRecordBytes, "sessions": registry.MaxSessions,
			"held_calls": float64(server.Default().MaxWatchers), "tenants": tenant.MaxTreeTenants,
			"enrolled": maxEnrolled,
			// internal/policy allows as many
			"seats": quota.MaxProxies, "members": maxViewMembers, "policy_bytes": registry.MaxRecordValueBytes,
			"platform_list_bytes": maxPlatformListBytes, "entry_bytes": float64(len(two) - len(one))} {
			p.Figures[name] = Spread{n, n, n}
		}
		report(p)
		return []Point{p}, nil
	})
}
