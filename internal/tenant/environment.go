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

// PolicyKey is the key of the current policy table's record.
const PolicyKey = quotarecord.CurrentKey

// RegistryEnvironment is an Environment that reads the policy table and the list of endpoints from the
// registry.
type RegistryEnvironment struct{ Registry *client.Client }

// limitTable has the fields of an encoded ratelimit.Table that the controller needs.
type limitTable struct {
	Limits []struct {
		Name   string  `json:"name"`
		Parent int     `json:"parent"`
		Unit   int     `json:"unit"`
		Rate   float64 `json:"rate"`
		Floor  float64 `json:"floor"`
	} `json:"limits"`
}

// Policy returns the policy's limits with their floors, in requests a second. The sum of the floors is
// bounded by the rate of the first limit that has no parent, which is the fleet's limit. Limits in other
// units than requests a second have no floor. Without a policy table there are no limits.
func (e RegistryEnvironment) Policy(ctx context.Context) (PolicyFloors, error) {
	record, err := e.Registry.Record(ctx, PolicyKey)
	if isNotFound(err) {
		return PolicyFloors{}, nil
	}
	if err != nil {
		return PolicyFloors{}, err
	}
	var table limitTable
	if err := json.Unmarshal(record.Value, &table); err != nil {
		return PolicyFloors{}, fmt.Errorf("decode policy table %s: %w", PolicyKey, err)
	}
	floors := PolicyFloors{Version: record.Version, Floors: map[string]float64{}}
	for _, limit := range table.Limits {
		if limit.Unit != 0 {
			limit.Floor = 0
		} else if limit.Parent < 0 && floors.TotalFloor == 0 {
			floors.TotalFloor = limit.Rate
		}
		floors.Floors[limit.Name] = limit.Floor
	}
	return floors, nil
}

// Endpoints returns the endpoints that are ready.
func (e RegistryEnvironment) Endpoints(ctx context.Context) (ready []Endpoint, err error) {
	list, err := e.Registry.CurrentList(ctx)
	for _, endpoint := range list.Endpoints {
		if endpoint.Status == registry.Ready {
			ready = append(ready, Endpoint{endpoint.Zone, endpoint.Type, endpoint.Cell})
		}
	}
	return ready, err
}

// isNotFound reports whether an error is the registry's response that a record does not exist.
func isNotFound(err error) bool {
	var response *client.Error
	return errors.As(err, &response) && response.Status == http.StatusNotFound
}
