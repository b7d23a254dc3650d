package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Link describes one direction between two hosts.
type Link struct {
	Delay     time.Duration
	Jitter    time.Duration // upper bound of a uniformly drawn extra delay, which reorders datagrams
	Loss      float64       // fraction of datagrams that do not arrive
	Duplicate float64       // fraction of datagrams that arrive twice
	Cut       bool
}

// LocalLink is a link within a site, without loss.
var LocalLink = Link{Delay: 200 * time.Microsecond, Jitter: 800 * time.Microsecond}

func (l Link) delay(rng *rand.Rand) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(rng.Int64N(int64(l.Jitter)))
}

// Net is the network between the hosts: the default link and the link faults that are active now.
type Net struct {
	Default Link
	faults  []*LinkFault
}

// LinkFault changes the links that it matches until it is removed.
type LinkFault struct {
	matches func(from, to string) bool
	change  func(*Link)
}

// AddFault changes the links that matches accepts, until the returned fault is passed to RemoveFault.
func (n *Net) AddFault(matches func(from, to string) bool, change func(*Link)) *LinkFault {
	fault := &LinkFault{matches, change}
	n.faults = append(n.faults, fault)
	return fault
}

// RemoveFault ends a fault that AddFault began. A second call has no effect.
func (n *Net) RemoveFault(fault *LinkFault) {
	n.faults = slices.DeleteFunc(n.faults, func(f *LinkFault) bool { return f == fault })
}

// link returns the link from one host to another with all active faults applied, in the order of their start.
func (n *Net) link(from, to string) Link {
	l := n.Default
	for _, f := range n.faults {
		if f.matches(from, to) {
			f.change(&l)
		}
	}
	return l
}

// Reaches reports whether the link from one host to another is not cut.
func (n *Net) Reaches(from, to string) bool { return !n.link(from, to).Cut }

// CutLink is a change for AddFault: nothing arrives over the link.
func CutLink(l *Link) { l.Cut = true }
