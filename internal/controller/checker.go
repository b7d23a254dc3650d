package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Thresholds say how long something must be wrong before it counts.
type Thresholds struct {
	Settle time.Duration `koanf:"settle"` // until it is reported: changes take time to arrive everywhere
	Orphan time.Duration `koanf:"orphan"` // until an orphaned endpoint is removed
}

// Observation is all that was seen at a time of one monotonic clock.
type Observation struct {
	At            time.Duration
	Registrations []registry.Registration
	Reachable     map[string]bool // endpoints, by name, that accept connections
	Proxies       []ProxyObservation
}

// ProxyObservation is a proxy as its control address shows it.
type ProxyObservation struct {
	Name       string
	Up         bool // it answers
	Ready      bool // it serves clients
	Discovered int  // number of endpoints that it knows; negative: unknown
}

// Finding is an inconsistency.
type Finding struct {
	Kind    string        `json:"what"`
	Subject string        `json:"who"`
	Detail  string        `json:"detail"`
	Lasting time.Duration `json:"for_ns"` // how long it has been observed
}

// Repair removes an orphaned endpoint, if it still has the version at which it was checked.
type Repair struct {
	Name    string
	Version uint64
	Reason  string
}

// The kinds of finding.
const (
	ProxyUnreachable     = "unreachable" // a proxy does not answer
	ProxyNotReady        = "unready"     // a proxy answers and does not serve
	EndpointCountDiffers = "differs"     // a proxy knows another number of endpoints than are registered
	EndpointUnreachable  = "silent"      // a registered endpoint accepts no connections
	DuplicateAddress     = "twice"       // two endpoints have one address
	OrphanedEndpoint     = "orphan"      // a draining endpoint accepts no connections and nobody would remove it
)

// findingKey identifies a finding while it lasts.
type findingKey struct{ kind, subject, detail string }

// Checker compares observations, one after the other. It is pure, and not safe for concurrent use.
type Checker struct {
	thresholds Thresholds
	since      map[findingKey]time.Duration // when something was first observed as it is now
}

// NewChecker returns a checker that has not observed anything.
func NewChecker(thresholds Thresholds) *Checker {
	return &Checker{thresholds: thresholds, since: map[findingKey]time.Duration{}}
}

// check is the work of one observation.
type check struct {
	*Checker
	at       time.Duration
	seen     map[findingKey]bool
	findings []Finding
	repairs  []Repair
}

// Check returns what has been inconsistent for long enough, and what of it is to be repaired.
func (c *Checker) Check(observed Observation) (findings []Finding, repairs []Repair) {
	now := &check{Checker: c, at: observed.At, seen: map[findingKey]bool{}}
	for _, proxy := range observed.Proxies {
		now.proxy(proxy, len(observed.Registrations))
	}
	byAddress := map[string]string{}
	for _, registration := range observed.Registrations {
		endpoint := registration.Endpoint
		if other, duplicate := byAddress[endpoint.Address]; duplicate {
			now.find(
				findingKey{DuplicateAddress, endpoint.Name, fmt.Sprintf("%s is at %s, too", other, endpoint.Address)},
			)
		}
		byAddress[endpoint.Address] = endpoint.Name
		if !observed.Reachable[endpoint.Name] {
			now.unreachable(registration)
		}
	}
	for key := range c.since {
		if !now.seen[key] {
			delete(c.since, key)
		}
	}
	slices.SortFunc(now.findings, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Subject, y.Subject))
	})
	return now.findings, now.repairs
}

// find records that something is observed, reports it if it has lasted for long enough, and returns for how
// long it has.
func (c *check) find(key findingKey) (lasting time.Duration) {
	c.seen[key] = true
	if _, known := c.since[key]; !known {
		c.since[key] = c.at
	}
	lasting = c.at - c.since[key]
	if lasting >= c.thresholds.Settle {
		c.findings = append(c.findings, Finding{key.kind, key.subject, key.detail, lasting})
	}
	return lasting
}

func (c *check) proxy(proxy ProxyObservation, registered int) {
	switch {
	case !proxy.Up:
		c.find(findingKey{ProxyUnreachable, proxy.Name, "its control address does not answer"})
	case !proxy.Ready:
		c.find(findingKey{ProxyNotReady, proxy.Name, "it answers, but does not serve clients"})
	case proxy.Discovered >= 0 && proxy.Discovered != registered:
		detail := fmt.Sprintf("it knows %d endpoints, %d are registered", proxy.Discovered, registered)
		c.find(findingKey{EndpointCountDiffers, proxy.Name, detail})
	}
}

// unreachable checks an endpoint that accepts no connections. One with a TTL expires in the registry by
// itself, and one that is ready may be about to start; others that are draining are orphaned.
func (c *check) unreachable(registration registry.Registration) {
	endpoint := registration.Endpoint
	if endpoint.Status != registry.Draining || registration.TTL > 0 {
		c.find(findingKey{EndpointUnreachable, endpoint.Name, endpoint.Address + " takes no connections"})
		return
	}
	detail := fmt.Sprintf(
		"draining at version %d, and %s takes no connections",
		registration.Version,
		endpoint.Address,
	)
	if lasting := c.find(findingKey{OrphanedEndpoint, endpoint.Name, detail}); lasting >= c.thresholds.Orphan {
		c.repairs = append(c.repairs, Repair{endpoint.Name, registration.Version, detail})
	}
}
