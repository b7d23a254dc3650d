package proxy

import (
	"fmt"
	"time"

	"wrenspread/internal/tenant"
)

// Bounds of govern.hold_ms. With less than two session TTLs a registry that answers slightly late would stop
// all tenants.
const (
	minMaxStaleness = 2 * sessionTTL
	maxMaxStaleness = 24 * time.Hour
)

// TenantsConfig is the configuration of the proxy's handling of tenants.
type TenantsConfig struct {
	Enabled bool // requests are decided by the catalogue of tenants
	// MaxStaleness is how long the proxy serves tenants without contact with the registry; 0: without a limit.
	MaxStaleness time.Duration
	OnDemand     bool // the proxy reads only the leaves of the catalogue that requests need
}

// tenants returns the tenants' configuration from the key govern. g may be nil.
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

// checkTenants returns the problems of the keys of govern that concern tenants.
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
