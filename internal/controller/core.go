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

// Patience says how long something has to be wrong before it counts.
type Patience struct {
	Settle time.Duration `koanf:"settle"` // until it is reported: news take their time everywhere
	Orphan time.Duration `koanf:"orphan"` // until an orphan is removed
}

// Look is all that was seen at a time of one monotonic clock.
type Look struct {
	At      time.Duration
	Items   []registry.Item
	Answers map[string]bool // servers, by name, that take connections
	Nodes   []NodeLook
}

// NodeLook is a node as its control address shows it.
type NodeLook struct {
	Name       string
	Up         bool // it answers
	Ready      bool // it serves clients
	Discovered int  // servers that it knows; below 0: it does not say
}

// Finding is something that does not agree.
type Finding struct {
	What   string        `json:"what"`
	Who    string        `json:"who"`
	Detail string        `json:"detail"`
	For    time.Duration `json:"for_ns"` // it has been seen so
}

// Repair takes an orphan off the list, if it still has the version at which it was judged.
type Repair struct {
	Name    string
	Version uint64
	Why     string
}

// Core judges looks, one after the other. It is pure, and not safe for concurrent use.
type Core struct {
	p     Patience
	since map[key]time.Duration // when something was first seen as it is now
}

type key struct{ what, who, detail string }

// NewCore begins without having seen anything.
func NewCore(p Patience) *Core { return &Core{p: p, since: map[key]time.Duration{}} }

// The kinds of finding.
const (
	Unreachable = "unreachable" // a node that does not answer
	Unready     = "unready"     // a node that answers and serves nobody
	Differs     = "differs"     // a node that knows another number of servers than the list has
	Silent      = "silent"      // a server that is listed, and takes no connections
	Twice       = "twice"       // two servers at one address
	Orphan      = "orphan"      // a server that is leaving, takes no connections, and that nobody would take off the list
)

// Judge says what does not agree, and has not for long enough, and which of it is to be repaired.
func (c *Core) Judge(l Look) (findings []Finding, repairs []Repair) {
	seen := map[key]bool{}
	lasts := func(k key) time.Duration {
		seen[k] = true
		if _, ok := c.since[k]; !ok {
			c.since[k] = l.At
		}
		return l.At - c.since[k]
	}
	note := func(what, who, detail string) {
		if d := lasts(key{what, who, detail}); d >= c.p.Settle {
			findings = append(findings, Finding{what, who, detail, d})
		}
	}
	for _, n := range l.Nodes {
		switch {
		case !n.Up:
			note(Unreachable, n.Name, "its control address does not answer")
		case !n.Ready:
			note(Unready, n.Name, "it answers, but does not serve clients")
		case n.Discovered >= 0 && n.Discovered != len(l.Items):
			note(Differs, n.Name, fmt.Sprintf("it knows %d servers, the list has %d", n.Discovered, len(l.Items)))
		}
	}
	at := map[string]string{}
	for _, i := range l.Items {
		e := i.Entry
		if other, ok := at[e.Address]; ok {
			note(Twice, e.Name, fmt.Sprintf("%s is at %s, too", other, e.Address))
		}
		at[e.Address] = e.Name
		if l.Answers[e.Name] {
			continue
		}
		// One with a lease is taken off by the service. One that is ready may be about to start.
		if e.Status != registry.Draining || i.TTL > 0 {
			note(Silent, e.Name, e.Address+" takes no connections")
			continue
		}
		k := key{Orphan, e.Name, fmt.Sprintf("draining at version %d, and %s takes no connections", i.Version, e.Address)}
		d := lasts(k)
		if d >= c.p.Settle {
			findings = append(findings, Finding{k.what, k.who, k.detail, d})
		}
		if d >= c.p.Orphan {
			repairs = append(repairs, Repair{e.Name, i.Version, k.detail})
		}
	}
	for k := range c.since {
		if !seen[k] {
			delete(c.since, k)
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.Who, b.Who)) })
	return findings, repairs
}
