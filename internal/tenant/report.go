package tenant

import (
	"maps"
	"slices"
	"time"
)

// Report is what a node tells an operator of its tenants.
type Report struct {
	Number  uint64  `json:"number"` // of the catalogue it answers from; 0: none
	Ready   bool    `json:"ready"`
	Sure    bool    `json:"sure"`     // it may say a definite no
	UntilMS int64   `json:"until_ms"` // its right to that ends in so many ms, unless its session is renewed
	Behind  bool    `json:"behind"`   // a peer has a newer catalogue
	Tenants []Known `json:"tenants"`  // by name
}

// Known is a tenant as a node knows it.
type Known struct {
	Name  string `json:"name"`
	Phase Phase  `json:"phase"`
	Since uint64 `json:"since"` // the number of the catalogue in which this was new
	Open  int    `json:"open"`  // requests
}

// Number is that of the catalogue that the desk has; 0: none.
func (d *Desk) Number() uint64 { return d.number() }

// Known is how many tenants it has; on demand, those that it holds.
func (d *Desk) Known() int { return len(d.entries) }

// Report tells how it stands.
func (d *Desk) Report(now time.Duration) Report {
	c := d.catalogue()
	r := Report{Number: c.number, Ready: c.ready, Sure: c.right(now), Behind: c.behind, Tenants: []Known{}}
	if d.sure {
		r.UntilMS = max(0, (d.until - now).Milliseconds())
	}
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[name]
		r.Tenants = append(r.Tenants, Known{e.Name, e.Phase, e.Since, d.busy[e.Name]})
	}
	return r
}
