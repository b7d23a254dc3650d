package scale

import (
	"context"
	"encoding/json"

	"indigotack/internal/list"
	"indigotack/internal/list/server"
	"indigotack/internal/quota"
	"indigotack/internal/tenant"
)

// Bounds that their packages keep to themselves.
const (
	platformList = 4 << 20 // maxPlatform of internal/list/client
	viewMembers  = 4096    // Most of internal/fleet, where a configuration says nothing
	enrolled     = 2000    // enrolMost of internal/tenant
)

// Constants records what the program of this commit refuses beyond.
func Constants(_ context.Context, run Run, say func(Point)) error {
	return run.record("constants", func() ([]Point, error) {
		whole := list.Answer{Endpoints: []list.Entry{entryOf(1)}}
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
		for name, n := range map[string]float64{"entries": list.MaxEntries, "records": list.MaxRecords, "record_bytes": list.MaxRecordBytes, "sessions": list.MaxSessions,
			"held_calls": float64(server.Default().MaxWatchers), "tenants": tenant.MaxTreeTenants, "enrolled": enrolled,
			"seats": quota.MostNodes, "members": viewMembers, "policy_bytes": list.MaxRecord, // as many, by internal/policy
			"platform_list_bytes": platformList, "entry_bytes": float64(len(two) - len(one))} {
			p.Figures[name] = Spread{n, n, n}
		}
		say(p)
		return []Point{p}, nil
	})
}
