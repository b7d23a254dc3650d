// Package keeper looks whether the list of servers, the servers and the nodes
// agree. It repairs what is plainly orphaned and reports the rest.
package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Thresholds says how long something has to be wrong before it counts.
type Thresholds struct {
	Settle time.Duration `koanf:"settle"` // until it is reported: news take their time everywhere
	Orphan time.Duration `koanf:"orphan"` // until an orphan is removed
}

// Observation is all that was seen at a time of one monotonic clock.
type Observation struct {
	At            time.Duration
	Registrations []registry.Registration
	Reachable     map[string]bool // servers, by name, that take connections
	Proxies       []ProxyObservation
}

// ProxyObservation is a node as its control address shows it.
type ProxyObservation struct {
	Name       string
	Up         bool // it answers
	Ready      bool // it serves clients
	Discovered int  // servers that it knows; below 0: it does not say
}

// Finding is something that does not agree.
type Finding struct {
	Kind    string        `json:"what"`
	Subject string        `json:"who"`
	Detail  string        `json:"detail"`
	Lasting time.Duration `json:"for_ns"` // it has been seen so
}

// Repair takes an orphan off the list, if it still has the version at which it was judged.
type Repair struct {
	Name    string
	Version uint64
	Reason  string
}

// Checker judges looks, one after the other. It is pure, and not safe for concurrent use.
type Checker struct {
	thresholds Thresholds
	since      map[findingKey]time.Duration // when something was first seen as it is now
}

type findingKey struct{ kind, subject, detail string }

// NewChecker begins without having seen anything.
func NewChecker(p Thresholds) *Checker {
	return &Checker{thresholds: p, since: map[findingKey]time.Duration{}}
}

// The kinds of finding.
const (
	ProxyUnreachable     = "unreachable" // a node that does not answer
	ProxyNotReady        = "unready"     // a node that answers and serves nobody
	EndpointCountDiffers = "differs"     // a node that knows another number of servers than the list has
	EndpointUnreachable  = "silent"      // a server that is listed, and takes no connections
	DuplicateAddress     = "twice"       // two servers at one address
	OrphanedEndpoint     = "orphan"      // a server that is leaving, takes no connections, and that nobody would take off the list
)

// Check says what does not agree, and has not for long enough, and which of it is to be repaired.
func (c *Checker) Check(l Observation) (findings []Finding, repairs []Repair) {
	seen := map[findingKey]bool{}
	lasts := func(k findingKey) time.Duration {
		seen[k] = true
		if _, ok := c.since[k]; !ok {
			c.since[k] = l.At
		}
		return l.At - c.since[k]
	}
	note := func(what, who, detail string) {
		if d := lasts(findingKey{what, who, detail}); d >= c.thresholds.Settle {
			findings = append(findings, Finding{what, who, detail, d})
		}
	}
	for _, n := range l.Proxies {
		switch {
		case !n.Up:
			note(ProxyUnreachable, n.Name, "its control address does not answer")
		case !n.Ready:
			note(ProxyNotReady, n.Name, "it answers, but does not serve clients")
		case n.Discovered >= 0 && n.Discovered != len(l.Registrations):
			note(EndpointCountDiffers, n.Name, fmt.Sprintf("it knows %d servers, the list has %d", n.Discovered, len(l.Registrations)))
		}
	}
	at := map[string]string{}
	for _, i := range l.Registrations {
		e := i.Endpoint
		if other, ok := at[e.Address]; ok {
			note(DuplicateAddress, e.Name, fmt.Sprintf("%s is at %s, too", other, e.Address))
		}
		at[e.Address] = e.Name
		if l.Reachable[e.Name] {
			continue
		}
		// One with a lease is taken off by the service. One that is ready may be about to start.
		if e.Status != registry.Draining || i.TTL > 0 {
			note(EndpointUnreachable, e.Name, e.Address+" takes no connections")
			continue
		}
		k := findingKey{OrphanedEndpoint, e.Name, fmt.Sprintf("draining at version %d, and %s takes no connections", i.Version, e.Address)}
		d := lasts(k)
		if d >= c.thresholds.Settle {
			findings = append(findings, Finding{k.kind, k.subject, k.detail, d})
		}
		if d >= c.thresholds.Orphan {
			repairs = append(repairs, Repair{e.Name, i.Version, k.detail})
		}
	}
	for k := range c.since {
		if !seen[k] {
			delete(c.since, k)
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject)) })
	return findings, repairs
}
