package scale

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Plan is the input of the capacity page, as plan.toml states it: the demand, today's size and the
// assumptions.
type Plan struct {
	Demand  Demand  `toml:"plan"`
	Today   Today   `toml:"today"`
	Assumed Assumed `toml:"assumed"`
}

// Demand holds the numbers to design for, and the budgets of their costs.
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

	Regions      int     `toml:"regions"`
	Zones        int     `toml:"zones"`
	InForce      float64 `toml:"in_force_s"`
	AddedLatency float64 `toml:"added_s"`     // 99th percentile of the time that a node adds to a request, s
	NodeCores    float64 `toml:"node_cores"`  // a node's cores for control
	NodeMemory   float64 `toml:"node_memory"` // a node's memory for control, bytes
	NodeBytes    float64 `toml:"node_bytes"`  // a node's traffic for control, bytes a second
	Machines     int     `toml:"machines"`    // machines reserved for control
}

// Today holds today's numbers, from which the fleet grows to those of the plan.
type Today struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
}

// Assumed holds the assumed numbers, which no requirement states.
type Assumed struct {
	PeakFactor     float64 `toml:"peak"`
	RestartChanges float64 `toml:"restart_changes"`
	MachineCores   float64 `toml:"machine_cores"`
	MachineMemory  float64 `toml:"machine_memory"`
	MachineBytes   float64 `toml:"machine_bytes"`
	Replicas       float64 `toml:"replicas"`
	TTL            float64 `toml:"ttl_s"`
	StartTime      float64 `toml:"start_s"`
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
		"plan.nodes": p.Demand.Nodes, "plan.backends": p.Demand.Backends,
		"plan.tenants": p.Demand.Tenants, "plan.zones": float64(p.Demand.Zones),
		"today.nodes": p.Today.Nodes, "today.backends": p.Today.Backends,
		"assumed.replicas": p.Assumed.Replicas, "assumed.ttl_s": p.Assumed.TTL} {
		if n <= 0 {
			return p, fmt.Errorf("plan %s: %s is missing, or not above 0", path, key)
		}
	}
	return p, nil
}

// scaledBy returns the plan with all numbers that grow with the fleet multiplied by a factor. The budgets
// stay the same.
func (p Plan) scaledBy(factor float64) Plan {
	for _, n := range []*float64{&p.Demand.Nodes, &p.Demand.Backends, &p.Demand.Services, &p.Demand.Routes,
		&p.Demand.Tenants, &p.Demand.Requests,
		&p.Demand.Changes, &p.Demand.Restarts, &p.Demand.Failures} {
		*n *= factor
	}
	return p
}

// todayFactor returns today's size as a factor of the plan, by whichever of nodes and backends has to grow
// more.
func (p Plan) todayFactor() float64 {
	return min(p.Today.Nodes/p.Demand.Nodes, p.Today.Backends/p.Demand.Backends)
}

const secondsPerDay = 86400.0

// listChangeRate returns the changes of the list a second at the peak of the day: the changes of
// configuration and the changes that restarts cause.
func (p Plan) listChangeRate() float64 {
	return p.Assumed.PeakFactor * (p.Demand.Changes + p.Assumed.RestartChanges*p.Demand.Restarts) / secondsPerDay
}

// renewalRate returns the renewals a second: each backend renews its lease three times in a TTL.
func (p Plan) renewalRate() float64 { return 3 * p.Demand.Backends / p.Assumed.TTL }
