package scale

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Plan is what the page is worked out for.
type Plan struct {
	Plan    Demand  `toml:"plan"`
	Today   Today   `toml:"today"`
	Assumed Assumed `toml:"assumed"`
}

// Demand is the numbers to design for and their budgets.
type Demand struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
	Services float64 `toml:"services"`
	Routes   float64 `toml:"routes"`
	Tenants  float64 `toml:"tenants"`
	Requests float64 `toml:"requests"` // a second, at the peak
	Changes  float64 `toml:"changes"`  // of configuration a day
	Restarts float64 `toml:"restarts"` // a day
	Failures float64 `toml:"failures"` // machines a day

	Regions    int     `toml:"regions"`
	Zones      int     `toml:"zones"`
	InForce    float64 `toml:"in_force_s"`
	Added      float64 `toml:"added_s"`     // to a request, for 99 in 100
	NodeCores  float64 `toml:"node_cores"`  // of a node, for control
	NodeMemory float64 `toml:"node_memory"` // bytes
	NodeBytes  float64 `toml:"node_bytes"`  // a second
	Machines   int     `toml:"machines"`    // set aside for control
}

// Today is the size from which the walls are looked for.
type Today struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
}

// Assumed is what nobody has said.
type Assumed struct {
	Peak           float64 `toml:"peak"`
	RestartChanges float64 `toml:"restart_changes"`
	MachineCores   float64 `toml:"machine_cores"`
	MachineMemory  float64 `toml:"machine_memory"`
	MachineBytes   float64 `toml:"machine_bytes"`
	Replicas       float64 `toml:"replicas"`
	TTL            float64 `toml:"ttl_s"`
	Start          float64 `toml:"start_s"`
	RackNodes      float64 `toml:"rack_nodes"`
	RackBackends   float64 `toml:"rack_backends"`
	Reach          float64 `toml:"reach"`
}

// LoadPlan reads a plan. A key that it does not know is an error.
func LoadPlan(path string) (p Plan, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("the plan: %w", err)
	}
	in := toml.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&p); err != nil {
		return p, fmt.Errorf("the plan %s: %w", path, err)
	}
	for key, n := range map[string]float64{"plan.nodes": p.Plan.Nodes, "plan.backends": p.Plan.Backends, "plan.tenants": p.Plan.Tenants, "plan.zones": float64(p.Plan.Zones),
		"today.nodes": p.Today.Nodes, "today.backends": p.Today.Backends, "assumed.replicas": p.Assumed.Replicas, "assumed.ttl_s": p.Assumed.TTL} {
		if n <= 0 {
			return p, fmt.Errorf("the plan %s: %s is missing, or not above 0", path, key)
		}
	}
	return p, nil
}

// times returns the demand with all numbers that grow scaled together; budgets stay.
func (p Plan) times(f float64) Plan {
	for _, n := range []*float64{&p.Plan.Nodes, &p.Plan.Backends, &p.Plan.Services, &p.Plan.Routes, &p.Plan.Tenants, &p.Plan.Requests,
		&p.Plan.Changes, &p.Plan.Restarts, &p.Plan.Failures} {
		*n *= f
	}
	return p
}

// lowest is the factor of today's size, by the number that has the farthest to go.
func (p Plan) lowest() float64 {
	return min(p.Today.Nodes/p.Plan.Nodes, p.Today.Backends/p.Plan.Backends)
}

const day = 86400.0 // s

// listChanges are those of the list a second, at the peak of the day: of configuration and by restarts.
func (p Plan) listChanges() float64 {
	return p.Assumed.Peak * (p.Plan.Changes + p.Assumed.RestartChanges*p.Plan.Restarts) / day
}

// renewals come so many a second, three in a TTL of each backend.
func (p Plan) renewals() float64 { return 3 * p.Plan.Backends / p.Assumed.TTL }
