package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Thresholds configures how long an inconsistency must last before the controller acts on it.
type Thresholds struct {
	ReportAfter time.Duration `koanf:"settle"` // until a finding is reported: changes take time to reach proxies
	RemoveAfter time.Duration `koanf:"orphan"` // until an orphaned endpoint is removed
}

// Observation holds what one round of checks saw. At is read from one monotonic clock for all observations.
type Observation struct {
	At            time.Duration
	Registrations []registry.Registration
	Reachable     map[string]bool // by endpoint name: it accepts connections
	Proxies       []ProxyObservation
}

// ProxyObservation holds what a proxy's control address answered.
type ProxyObservation struct {
	Name       string
	Up         bool // the proxy answers
	Ready      bool // the proxy serves clients
	Discovered int  // number of endpoints that the proxy knows; negative: unknown
}

// Finding is an inconsistency between the registry, the endpoints and the proxies.
type Finding struct {
	Kind    string        `json:"what"`
	Subject string        `json:"who"`
	Detail  string        `json:"detail"`
	Lasting time.Duration `json:"for_ns"` // time since the finding was first observed
}

// Repair is the removal of an orphaned endpoint. The registry carries it out only if the registration still
// has the version at which it was checked.
type Repair struct {
	Name    string
	Version uint64
	Reason  string
}

// The kinds of findings.
const (
	ProxyUnreachable     = "unreachable" // a proxy does not answer
	ProxyNotReady        = "unready"     // a proxy answers and does not serve
	EndpointCountDiffers = "differs"     // a proxy does not know as many endpoints as are registered
	EndpointUnreachable  = "silent"      // a registered endpoint accepts no connections
	DuplicateAddress     = "twice"       // two endpoints have the same address
	OrphanedEndpoint     = "orphan"      // a draining endpoint accepts no connections and has no TTL
)

// findingKey identifies a finding over several observations.
type findingKey struct{ kind, subject, detail string }

// Checker finds inconsistencies in successive observations. It does no I/O and reads no clock, and is not
// safe for concurrent use.
type Checker struct {
	thresholds Thresholds
	since      map[findingKey]time.Duration // time of the first observation of each finding that lasts
}

// NewChecker returns a checker without observations.
func NewChecker(thresholds Thresholds) *Checker {
	return &Checker{thresholds: thresholds, since: map[findingKey]time.Duration{}}
}

// check is the state of one call of Check.
type check struct {
	*Checker
	observedAt time.Duration
	seen       map[findingKey]bool
	findings   []Finding
	repairs    []Repair
}

// Check returns the findings that have lasted for Thresholds.ReportAfter, ordered by kind and subject, and
// the repairs of the orphaned endpoints that have lasted for Thresholds.RemoveAfter.
func (c *Checker) Check(observed Observation) (findings []Finding, repairs []Repair) {
	current := &check{Checker: c, observedAt: observed.At, seen: map[findingKey]bool{}}
	for _, proxy := range observed.Proxies {
		current.checkProxy(proxy, len(observed.Registrations))
	}
	byAddress := map[string]string{}
	for _, registration := range observed.Registrations {
		endpoint := registration.Endpoint
		if other, duplicate := byAddress[endpoint.Address]; duplicate {
			current.recordFinding(
				findingKey{DuplicateAddress, endpoint.Name, fmt.Sprintf("%s is at %s, too", other, endpoint.Address)},
			)
		}
		byAddress[endpoint.Address] = endpoint.Name
		if !observed.Reachable[endpoint.Name] {
			current.checkUnreachable(registration)
		}
	}
	for key := range c.since {
		if !current.seen[key] {
			delete(c.since, key)
		}
	}
	slices.SortFunc(current.findings, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Subject, y.Subject))
	})
	return current.findings, current.repairs
}

// recordFinding records that a finding is observed, reports it if it has lasted for Thresholds.ReportAfter,
// and returns how long it has lasted.
func (c *check) recordFinding(key findingKey) (lasting time.Duration) {
	c.seen[key] = true
	if _, known := c.since[key]; !known {
		c.since[key] = c.observedAt
	}
	lasting = c.observedAt - c.since[key]
	if lasting >= c.thresholds.ReportAfter {
		c.findings = append(c.findings, Finding{key.kind, key.subject, key.detail, lasting})
	}
	return lasting
}

// checkProxy checks a proxy's answers. registered is the number of registered endpoints.
func (c *check) checkProxy(proxy ProxyObservation, registered int) {
	switch {
	case !proxy.Up:
		c.recordFinding(findingKey{ProxyUnreachable, proxy.Name, "its control address does not answer"})
	case !proxy.Ready:
		c.recordFinding(findingKey{ProxyNotReady, proxy.Name, "it answers, but does not serve clients"})
	case proxy.Discovered >= 0 && proxy.Discovered != registered:
		detail := fmt.Sprintf("it knows %d endpoints, %d are registered", proxy.Discovered, registered)
		c.recordFinding(findingKey{EndpointCountDiffers, proxy.Name, detail})
	}
}

// checkUnreachable checks an endpoint that accepts no connections. A registration with a TTL expires by
// itself, and a ready endpoint may be about to start, so they are only reported. A draining endpoint without
// a TTL is orphaned: nothing else would remove its registration.
func (c *check) checkUnreachable(registration registry.Registration) {
	endpoint := registration.Endpoint
	if endpoint.Status != registry.Draining || registration.TTL > 0 {
		c.recordFinding(findingKey{EndpointUnreachable, endpoint.Name, endpoint.Address + " takes no connections"})
		return
	}
	detail := fmt.Sprintf(
		"draining at version %d, and %s takes no connections",
		registration.Version,
		endpoint.Address,
	)
	if lasting := c.recordFinding(
		findingKey{OrphanedEndpoint, endpoint.Name, detail},
	); lasting >= c.thresholds.RemoveAfter {
		c.repairs = append(c.repairs, Repair{endpoint.Name, registration.Version, detail})
	}
}
