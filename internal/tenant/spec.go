// Package tenant onboards, changes and removes tenants, on all proxies or on none. It has the documents on
// record (Spec, Tenant, Order), the pure StateMachine that decides a controller's next writes, the Controller
// that carries them out under a lease, and the pure Cache and Catalogue with which a proxy answers for
// tenants. What each step waits for, and for how long, is in docs/tenants.md.
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

// Bounds on what a tenant may have. MaxSpec keeps a page of the catalogue, which holds two specs of each
// tenant on it, within a record.
const (
	MaxTenants = 800  // in the flat form: 25 on each of its pages
	MaxSpec    = 2048 // bytes of one spec
	MaxNames   = 8
	MaxClasses = 32
	MaxKeys    = 16 // prefixes: the most that a request's key is compared with
	MaxRoutes  = 8
	MaxDrain   = 10 * time.Minute
)

// MaxTreeTenants is how many there may be where the catalogue is a hash tree: with their pages, of
// which a tenant has its own while there are few, they leave the registry a tenth of its records.
const MaxTreeTenants = max(min(200_000, registry.MaxRecords*9/10-treePages), registry.MaxRecords*2/5)

// Spec is what a tenant is: its namespace, its quotas and its routes, always together.
type Spec struct {
	Names       []string   `json:"names"`          // in X-Tenant
	Classes     []string   `json:"classes"`        // open to it
	KeyPrefixes []string   `json:"keys,omitempty"` // prefixes of its share of the key space; none: all of it
	Quotas      []QuotaRef `json:"quotas"`
	Routes      []Route    `json:"routes"`
	// a table of this version has its limits; set by the controller
	PolicyVersion uint64 `json:"policy,omitempty"`
	Suspended     bool   `json:"suspended,omitempty"`
	// requests in flight have so long to end once the tenant goes
	DrainMS int64 `json:"drain_ms,omitempty"`

	unknownFields rawFields
}

// QuotaRef names the limit of the policy's table that holds for some classes.
type QuotaRef struct {
	Limit   string   `json:"limit"`
	Classes []string `json:"classes,omitempty"` // none: all that are open
}

// Route says where some classes are served. The first that has a class is its route.
type Route struct {
	Classes      []string `json:"classes,omitempty"` // none: all that are open
	Zones        []string `json:"zones,omitempty"`   // none: all
	MachineTypes []string `json:"kinds,omitempty"`
	Cells        []int    `json:"pods,omitempty"`
	// backends that must be there when it is onboarded; 0 counts as 1
	MinEndpoints int `json:"least,omitempty"`
}

// Endpoint is a server as far as routes go.
type Endpoint struct {
	Zone, MachineType string
	Cell              int
}

// Allows reports whether a route may use a backend.
func (r *Route) Allows(b Endpoint) bool {
	return choiceHas(r.Zones, b.Zone) && choiceHas(r.MachineTypes, b.MachineType) && choiceHas(r.Cells, b.Cell)
}

// choiceHas reports whether a choice includes a value; an empty choice includes all.
func choiceHas[T comparable](choice []T, value T) bool {
	return len(choice) == 0 || slices.Contains(choice, value)
}

// DrainTime is how long requests in flight have to end.
func (f *Spec) DrainTime() time.Duration { return time.Duration(f.DrainMS) * time.Millisecond }

// Route and limit give what holds for a class; nil and "" where nothing does.
func (f *Spec) Route(class string) *Route {
	for i := range f.Routes {
		if choiceHas(f.Routes[i].Classes, class) {
			return &f.Routes[i]
		}
	}
	return nil
}

func (f *Spec) limit(class string) string {
	for _, q := range f.Quotas {
		if choiceHas(q.Classes, class) {
			return q.Limit
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

// Check validates a spec by itself.
func (f *Spec) Check() error {
	if f == nil {
		return errors.New("form: missing")
	}
	for _, c := range []struct {
		key         string
		all         []string
		least, most int
	}{
		{"names", f.Names, 1, MaxNames},
		{"classes", f.Classes, 1, MaxClasses},
		{"keys", f.KeyPrefixes, 0, MaxKeys},
	} {
		if len(c.all) < c.least || len(c.all) > c.most {
			return fmt.Errorf("%s: %d, want %d to %d", c.key, len(c.all), c.least, c.most)
		}
		sorted := slices.Sorted(slices.Values(c.all))
		if len(slices.Compact(sorted)) != len(c.all) ||
			slices.ContainsFunc(c.all, func(s string) bool { return s == "" || len(s) > registry.MaxTextBytes }) {
			return fmt.Errorf("%s: want each once, with 1 to %d bytes", c.key, registry.MaxTextBytes)
		}
	}
	if len(f.Routes) > MaxRoutes || len(f.Quotas) > MaxRoutes {
		return fmt.Errorf("routes and quotas: %d and %d, %d at most", len(f.Routes), len(f.Quotas), MaxRoutes)
	}
	for _, class := range f.Classes {
		if f.Route(class) == nil {
			return fmt.Errorf("routes: none has class %s", class)
		}
		if f.limit(class) == "" {
			return fmt.Errorf("quotas: none has class %s", class)
		}
	}
	if f.DrainMS < 0 || f.DrainTime() > MaxDrain {
		return fmt.Errorf("drain_ms: %d, want 0 to %d", f.DrainMS, MaxDrain.Milliseconds())
	}
	raw, err := json.Marshal(f)
	if err == nil && len(raw) > MaxSpec {
		err = fmt.Errorf("it has %d bytes, %d at most", len(raw), MaxSpec)
	}
	return err
}
