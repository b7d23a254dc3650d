package tenant

import (
	"maps"
	"slices"
	"time"
)

// Report is what a proxy tells an operator of its tenants.
type Report struct {
	Number        uint64 `json:"number"` // of the catalogue it answers from; 0: none
	Ready         bool   `json:"ready"`
	Authoritative bool   `json:"sure"` // it may say a definite no
	// its authority for that ends in so many ms, unless its session is renewed
	AuthorityMS int64         `json:"until_ms"`
	Behind      bool          `json:"behind"`  // a peer has a newer catalogue
	Tenants     []KnownTenant `json:"tenants"` // by name
}

// KnownTenant is a tenant as a proxy knows it.
type KnownTenant struct {
	Name         string `json:"name"`
	Phase        Phase  `json:"phase"`
	Since        uint64 `json:"since"` // the number of the catalogue in which this was new
	OpenRequests int    `json:"open"`  // requests
}

// Number is that of the catalogue that the cache has; 0: none.
func (d *Cache) Number() uint64 { return d.number() }

// TenantCount is how many tenants it has; on demand, those that it holds.
func (d *Cache) TenantCount() int { return len(d.entries) }

// Report tells how it stands.
func (d *Cache) Report(now time.Duration) Report {
	c := d.buildCatalogue()
	r := Report{
		Number:        c.number,
		Ready:         c.ready,
		Authoritative: c.isAuthoritative(now),
		Behind:        c.behind,
		Tenants:       []KnownTenant{},
	}
	if d.authoritative {
		r.AuthorityMS = max(0, (d.authorityUntil - now).Milliseconds())
	}
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[name]
		r.Tenants = append(r.Tenants, KnownTenant{e.Name, e.Phase, e.Since, d.openRequests[e.Name]})
	}
	return r
}
