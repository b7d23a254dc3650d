package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Link is the way from one end to another.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration // drawn evenly up to this; it reorders
	Loss   float64       // the part of datagrams that does not arrive
	Twice  float64       // the part that arrives twice
	Cut    bool
}

// Near is a link within a site.
var Near = Link{Delay: 200 * time.Microsecond, Jitter: 800 * time.Microsecond}

func (l Link) delay(rng *rand.Rand) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(rng.Int64N(int64(l.Jitter)))
}

// Net is what lies between the ends: the usual link, and what is wrong with some of them now.
type Net struct {
	Usual  Link
	faults []*Wrong
}

// Wrong is something that is wrong with some links, until it is mended.
type Wrong struct {
	on     func(from, to string) bool
	change func(*Link)
}

// Break changes the links that on picks, until the result is given to Mend.
func (n *Net) Break(on func(from, to string) bool, change func(*Link)) *Wrong {
	w := &Wrong{on, change}
	n.faults = append(n.faults, w)
	return w
}

// Mend takes back what Break did. It may be told twice.
func (n *Net) Mend(w *Wrong) {
	n.faults = slices.DeleteFunc(n.faults, func(f *Wrong) bool { return f == w })
}

func (n *Net) link(from, to string) Link {
	l := n.Usual
	for _, f := range n.faults {
		if f.on(from, to) {
			f.change(&l)
		}
	}
	return l
}

// Reaches says that datagrams from one end can arrive at another.
func (n *Net) Reaches(from, to string) bool { return !n.link(from, to).Cut }

// Cut is a change for Break.
func Cut(l *Link) { l.Cut = true }
