package proxy

import (
	"fmt"
	"time"

	"wrenspread/internal/tenant"
)

// Bounds of govern.hold_ms: below a few of the session's times a service that is a little late would stop the
// tenants.
const (
	minMaxStaleness = 2 * sessionTTL
	maxMaxStaleness = 24 * time.Hour
)

// TenantsConfig says what the proxy has to do with tenants.
type TenantsConfig struct {
	Enabled      bool          // requests are answered by the catalogue of tenants
	MaxStaleness time.Duration // it serves none after so long without contact with the registry; 0: it serves on
	OnDemand     bool          // of a catalogue with parts it reads those that requests name
}

// tenants returns what the key govern says of tenants. g may be nil.
func (g *policyForm) tenants() (c TenantsConfig) {
	if g != nil && g.Tenants {
		c = TenantsConfig{
			Enabled:      true,
			MaxStaleness: time.Duration(g.MaxStalenessMS) * time.Millisecond,
			OnDemand:     g.TenantsOnDemand,
		}
	}
	return c
}

func (g *policyForm) checkTenants(c Config) (problems []error) {
	if !g.Tenants {
		if g.TenantsOnDemand {
			problems = append(problems, fmt.Errorf("govern: tenants_on_demand: tenants must be true"))
		}
		return problems
	}
	if !g.Policy {
		problems = append(
			problems,
			fmt.Errorf("govern: tenants need the policy that has their limits: policy must be true"),
		)
	}
	if g.MaxStalenessMS != 0 &&
		(g.MaxStalenessMS < minMaxStaleness.Milliseconds() || g.MaxStalenessMS > maxMaxStaleness.Milliseconds()) {
		problems = append(
			problems,
			fmt.Errorf(
				"govern: hold_ms: %d: want 0, or %d to %d",
				g.MaxStalenessMS,
				minMaxStaleness.Milliseconds(),
				maxMaxStaleness.Milliseconds(),
			),
		)
	}
	if err := tenant.CheckName(c.Name); err != nil {
		problems = append(problems, fmt.Errorf("govern: tenants: the node's %w", err))
	}
	return problems
}
