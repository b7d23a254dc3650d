package scale

import (
	"context"
	"encoding/json"

	"wrenspread/internal/quota"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/server"
	"wrenspread/internal/tenant"
)

// Bounds that their packages keep to themselves.
const (
	platformList = 4 << 20 // maxPlatform of internal/registry/client
	viewMembers  = 4096    // MaxMembers of internal/membership, where a configuration says nothing
	enrolled     = 2000    // maxMembers of internal/tenant
)

// Constants records what the program of this commit refuses beyond.
func Constants(_ context.Context, run Run, say func(Point)) error {
	return run.record("constants", func() ([]Point, error) {
		whole := registry.ListResponse{Endpoints: []registry.Endpoint{entryOf(1)}}
		one, err := json.Marshal(whole)
		if err != nil {
			return nil, err
		}
		whole.Endpoints = append(whole.Endpoints, entryOf(2))
		two, err := json.Marshal(whole)
		if err != nil {
			return nil, err
		}
		p := Point{Sizes: map[string]int{}, Figures: map[string]Spread{}}
		for name, n := range map[string]float64{"entries": registry.MaxEndpoints, "records": registry.MaxRecords, "record_bytes": registry.MaxRecordBytes, "sessions": registry.MaxSessions,
			"held_calls": float64(server.Default().MaxWatchers), "tenants": tenant.MaxTreeTenants, "enrolled": enrolled,
			// as many, by internal/policy
			"seats": quota.MaxProxies, "members": viewMembers, "policy_bytes": registry.MaxRecordValueBytes,
			"platform_list_bytes": platformList, "entry_bytes": float64(len(two) - len(one))} {
			p.Figures[name] = Spread{n, n, n}
		}
		say(p)
		return []Point{p}, nil
	})
}
