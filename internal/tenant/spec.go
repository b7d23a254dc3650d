// Package tenant onboards, changes and removes tenants, on all proxies or on none. It contains the documents
// that the registry stores (Spec, Tenant, Order), the pure StateMachine that decides a controller's next
// writes, the Controller that carries them out under a lease, and the pure Cache and Catalogue with which a
// proxy decides on the requests of tenants. docs/tenants.md describes what each step waits for, and how long.
package tenant

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/registry"
)

// Bounds of what a tenant may have.
const (
	MaxTenants = 800 // in the flat form of the catalogue: 25 tenants on each of its pages
	// MaxSpecBytes keeps a page of the catalogue, which contains two specs of each of its tenants, within the
	// maximal length of a record.
	MaxSpecBytes   = 2048
	MaxNames       = 8
	MaxClasses     = 32
	MaxKeyPrefixes = 16 // bounds the comparisons that a request's key costs
	MaxRoutes      = 8
	MaxDrain       = 10 * time.Minute
)

// MaxTreeTenants is the maximal number of tenants if the catalogue is a hash tree. The tenants and their
// pages leave a tenth of the registry's records free; while there are few tenants, each has its own page.
const MaxTreeTenants = max(min(200_000, registry.MaxRecords*9/10-maxInnerPages), registry.MaxRecords*2/5)

// Spec describes a tenant: its names, its part of the key space, its quotas and its routes. They always take
// effect together.
type Spec struct {
	Names       []string   `json:"names"`          // values of X-Tenant that mean this tenant
	Classes     []string   `json:"classes"`        // classes that the tenant may use
	KeyPrefixes []string   `json:"keys,omitempty"` // prefixes of the keys that it may use; none: all keys
	Quotas      []QuotaRef `json:"quotas"`
	Routes      []Route    `json:"routes"`
	// PolicyVersion is the version of a policy table that has the limits of Quotas. The controller sets it.
	PolicyVersion uint64 `json:"policy,omitempty"`
	Suspended     bool   `json:"suspended,omitempty"`
	// DrainMS is the time, in ms, that requests in flight have to end after the tenant's removal begins.
	DrainMS int64 `json:"drain_ms,omitempty"`

	unknownFields rawFields
}

// QuotaRef names the limit of the policy table that applies to some classes.
type QuotaRef struct {
	Limit   string   `json:"limit"`
	Classes []string `json:"classes,omitempty"` // none: all classes of the tenant
}

// Route names the endpoints that serve some classes. The route of a class is the first in the spec that
// includes the class.
type Route struct {
	Classes      []string `json:"classes,omitempty"` // none: all classes of the tenant
	Zones        []string `json:"zones,omitempty"`   // zones of the endpoints; none: all zones
	MachineTypes []string `json:"kinds,omitempty"`   // machine types of the endpoints; none: all types
	Cells        []int    `json:"pods,omitempty"`    // cells of the endpoints; none: all cells
	// MinEndpoints is the number of endpoints that the route must have when the spec is checked; 0 counts as 1.
	MinEndpoints int `json:"least,omitempty"`
}

// Endpoint has the attributes of an endpoint by which routes choose.
type Endpoint struct {
	Zone, MachineType string
	Cell              int
}

// Allows reports whether a route may use an endpoint.
func (r *Route) Allows(endpoint Endpoint) bool {
	return choiceHas(r.Zones, endpoint.Zone) && choiceHas(r.MachineTypes, endpoint.MachineType) &&
		choiceHas(r.Cells, endpoint.Cell)
}

// choiceHas reports whether a choice includes a value; an empty choice includes all values.
func choiceHas[T comparable](choice []T, value T) bool {
	return len(choice) == 0 || slices.Contains(choice, value)
}

// DrainTime returns how long requests in flight have to end when the tenant is removed.
func (s *Spec) DrainTime() time.Duration { return time.Duration(s.DrainMS) * time.Millisecond }

// Route returns the route of a class, or nil if the class has none.
func (s *Spec) Route(class string) *Route {
	for i := range s.Routes {
		if choiceHas(s.Routes[i].Classes, class) {
			return &s.Routes[i]
		}
	}
	return nil
}

// limit returns the name of the limit of a class, or "" if the class has none.
func (s *Spec) limit(class string) string {
	for _, quota := range s.Quotas {
		if choiceHas(quota.Classes, class) {
			return quota.Limit
		}
	}
	return ""
}

// CheckName validates the name of a tenant or a proxy.
func CheckName(name string) error {
	if name == "" || len(name) > 64 || strings.ContainsAny(name, "/\\ \t\r\n\x00") {
		return fmt.Errorf("name: %q, want 1 to 64 bytes without slashes and spaces", name)
	}
	return nil
}

// Check validates a spec without regard to other tenants, the policy or the endpoints.
func (s *Spec) Check() error {
	if s == nil {
		return errors.New("form: missing")
	}
	for _, list := range []struct {
		field            string
		values           []string
		minimum, maximum int
	}{
		{"names", s.Names, 1, MaxNames},
		{"classes", s.Classes, 1, MaxClasses},
		{"keys", s.KeyPrefixes, 0, MaxKeyPrefixes},
	} {
		if len(list.values) < list.minimum || len(list.values) > list.maximum {
			return fmt.Errorf("%s: %d, want %d to %d", list.field, len(list.values), list.minimum, list.maximum)
		}
		sorted := slices.Sorted(slices.Values(list.values))
		if len(slices.Compact(sorted)) != len(list.values) ||
			slices.ContainsFunc(
				list.values,
				func(s string) bool { return s == "" || len(s) > registry.MaxTextBytes },
			) {
			return fmt.Errorf("%s: want each once, with 1 to %d bytes", list.field, registry.MaxTextBytes)
		}
	}
	if len(s.Routes) > MaxRoutes || len(s.Quotas) > MaxRoutes {
		return fmt.Errorf("routes and quotas: %d and %d, %d at most", len(s.Routes), len(s.Quotas), MaxRoutes)
	}
	for _, class := range s.Classes {
		if s.Route(class) == nil {
			return fmt.Errorf("routes: none has class %s", class)
		}
		if s.limit(class) == "" {
			return fmt.Errorf("quotas: none has class %s", class)
		}
	}
	if s.DrainMS < 0 || s.DrainTime() > MaxDrain {
		return fmt.Errorf("drain_ms: %d, want 0 to %d", s.DrainMS, MaxDrain.Milliseconds())
	}
	raw, err := json.Marshal(s)
	if err == nil && len(raw) > MaxSpecBytes {
		err = fmt.Errorf("it has %d bytes, %d at most", len(raw), MaxSpecBytes)
	}
	return err
}
