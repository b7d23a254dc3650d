package scale

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Plan is the input of the page: the demand, today's size and assumptions.
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
	Requests float64 `toml:"requests"` // requests a second, at the peak
	Changes  float64 `toml:"changes"`  // changes of configuration a day
	Restarts float64 `toml:"restarts"` // restarts a day
	Failures float64 `toml:"failures"` // failed machines a day

	Regions    int     `toml:"regions"`
	Zones      int     `toml:"zones"`
	InForce    float64 `toml:"in_force_s"`
	Added      float64 `toml:"added_s"`     // time added to a request, for 99 in 100 requests
	NodeCores  float64 `toml:"node_cores"`  // a node's cores for control
	NodeMemory float64 `toml:"node_memory"` // a node's memory for control, bytes
	NodeBytes  float64 `toml:"node_bytes"`  // a node's traffic for control, bytes a second
	Machines   int     `toml:"machines"`    // machines reserved for control
}

// Today is the size from which the growth towards the plan starts.
type Today struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
}

// Assumed is the numbers that are assumed, as no requirement states them.
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

// LoadPlan reads a plan. An unknown key is an error.
func LoadPlan(path string) (p Plan, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("read the plan: %w", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, fmt.Errorf("parse the plan %s: %w", path, err)
	}
	for key, n := range map[string]float64{
		"plan.nodes": p.Plan.Nodes, "plan.backends": p.Plan.Backends,
		"plan.tenants": p.Plan.Tenants, "plan.zones": float64(p.Plan.Zones),
		"today.nodes": p.Today.Nodes, "today.backends": p.Today.Backends,
		"assumed.replicas": p.Assumed.Replicas, "assumed.ttl_s": p.Assumed.TTL} {
		if n <= 0 {
			return p, fmt.Errorf("plan %s: %s is missing, or not above 0", path, key)
		}
	}
	return p, nil
}

// scaledBy returns the plan with all numbers that grow multiplied by a factor; budgets stay.
func (p Plan) scaledBy(f float64) Plan {
	for _, n := range []*float64{&p.Plan.Nodes, &p.Plan.Backends, &p.Plan.Services, &p.Plan.Routes,
		&p.Plan.Tenants, &p.Plan.Requests,
		&p.Plan.Changes, &p.Plan.Restarts, &p.Plan.Failures} {
		*n *= f
	}
	return p
}

// todayFactor is today's size as a factor of the plan, by the number that has to grow the most.
func (p Plan) todayFactor() float64 {
	return min(p.Today.Nodes/p.Plan.Nodes, p.Today.Backends/p.Plan.Backends)
}

const secondsPerDay = 86400.0 // s

// listChangeRate is the changes of the list a second, at the peak of the day: those of configuration and
// those by restarts.
func (p Plan) listChangeRate() float64 {
	return p.Assumed.Peak * (p.Plan.Changes + p.Assumed.RestartChanges*p.Plan.Restarts) / secondsPerDay
}

// renewalRate is the renewals a second: each backend renews three times in a TTL.
func (p Plan) renewalRate() float64 { return 3 * p.Plan.Backends / p.Assumed.TTL }
