package tenant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	quotarecord "wrenspread/internal/quota/record"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// PolicyKey is the record of the table that holds.
const PolicyKey = quotarecord.CurrentKey

// RegistryEnvironment is a fleet as the registry has it: the policy's table on record and the
// servers on the list.
type RegistryEnvironment struct{ Registry *client.Client }

// table is what is needed of a policy's table; it is a ratelimit.Table.
type table struct {
	Limits []struct {
		Name   string  `json:"name"`
		Parent int     `json:"parent"`
		Unit   int     `json:"unit"`
		Rate   float64 `json:"rate"`
		Floor  float64 `json:"floor"`
	} `json:"limits"`
}

// Policy gives the limits of requests a second with their floors. All floors together
// fit into the rate of the first limit that is within none: the fleet's. Of a limit in
// another unit no floor counts. Without a table there is no limit to name.
func (f RegistryEnvironment) Policy(ctx context.Context) (PolicyFloors, error) {
	r, err := f.Registry.Record(ctx, PolicyKey)
	if isNotFound(err) {
		return PolicyFloors{}, nil
	}
	if err != nil {
		return PolicyFloors{}, err
	}
	var t table
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return PolicyFloors{}, fmt.Errorf("the table on record can't be read: %w", err)
	}
	p := PolicyFloors{Version: r.Version, Floors: map[string]float64{}}
	for _, l := range t.Limits {
		if l.Unit != 0 {
			l.Floor = 0
		} else if l.Parent < 0 && p.TotalFloor == 0 {
			p.TotalFloor = l.Rate
		}
		p.Floors[l.Name] = l.Floor
	}
	return p, nil
}

// Endpoints returns the servers that are ready.
func (f RegistryEnvironment) Endpoints(ctx context.Context) (all []Endpoint, err error) {
	a, err := f.Registry.CurrentList(ctx)
	for _, e := range a.Endpoints {
		if e.Status == registry.Ready {
			all = append(all, Endpoint{e.Zone, e.Type, e.Cell})
		}
	}
	return all, err
}

// isNotFound reports whether an error says that there is no such record.
func isNotFound(err error) bool {
	var r *client.Error
	return errors.As(err, &r) && r.Status == http.StatusNotFound
}
