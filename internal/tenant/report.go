package tenant

import (
	"maps"
	"slices"
	"time"
)

// Report is the state of a proxy's tenants that is shown to operators.
type Report struct {
	Number        uint64 `json:"number"` // of the catalogue in use; 0: none
	Ready         bool   `json:"ready"`
	Authoritative bool   `json:"sure"` // the proxy may decide that a tenant does not exist
	// AuthorityMS is the time, in ms, until this authority ends unless the session is renewed.
	AuthorityMS int64         `json:"until_ms"`
	Behind      bool          `json:"behind"`  // a peer has a newer catalogue
	Tenants     []KnownTenant `json:"tenants"` // sorted by name
}

// KnownTenant is a tenant in a proxy's cache.
type KnownTenant struct {
	Name         string `json:"name"`
	Phase        Phase  `json:"phase"`
	Since        uint64 `json:"since"` // Entry.Since
	OpenRequests int    `json:"open"`  // requests in flight
}

// Number returns the number of the cached catalogue; 0: none.
func (c *Cache) Number() uint64 { return c.number() }

// TenantCount returns the number of cached tenants. A cache on demand has only some of the catalogue's
// tenants.
func (c *Cache) TenantCount() int { return len(c.entries) }

// Report returns the cache's state for operators.
func (c *Cache) Report(now time.Duration) Report {
	catalogue := c.buildCatalogue()
	report := Report{
		Number:        catalogue.number,
		Ready:         catalogue.ready,
		Authoritative: catalogue.isAuthoritative(now),
		Behind:        catalogue.behind,
		Tenants:       []KnownTenant{},
	}
	if c.authoritative {
		report.AuthorityMS = max(0, (c.authorityUntil - now).Milliseconds())
	}
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[name]
		report.Tenants = append(report.Tenants, KnownTenant{e.Name, e.Phase, e.Since, c.openRequests[e.Name]})
	}
	return report
}
