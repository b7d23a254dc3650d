package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

const (
	mostDatagram = 256
	// mostPace is the most datagrams a node may send within paceTime, on average a second. Each period of 200 ms
	// it may begin a probe with three helpers, warn a suspect, tell news, ask a dead member and a seed, and
	// spend 24 datagrams on digests; besides it answers what it is asked, which is as much again on average.
	mostPace = 2 * 5 * (7 + 24)
	paceTime = 10 * time.Second
	// blameless is how long a woken node may accuse nobody: the answers to what it sent before it stood still
	// must come first.
	blameless = 400 * time.Millisecond
	// stoodStill is a pause that a node must notice: it waits 60 ms for an answer, and a shorter one is no
	// lateness.
	stoodStill = 100 * time.Millisecond
)

// checks are those that hold throughout, whatever goes wrong.
func (f *Fleet) checks() []sim.Check {
	return append([]sim.Check{f.sizes(), f.pace(), f.lives(), f.blame()}, f.left())
}

func (f *Fleet) sizes() sim.Check {
	return sim.Check{Name: "size", Throughout: func() error {
		for _, e := range f.Nodes {
			if e.Biggest > mostDatagram {
				return fmt.Errorf("%s sent a datagram of %d bytes", e.Name, e.Biggest)
			}
		}
		return nil
	}}
}

func (f *Fleet) pace() sim.Check {
	var from time.Duration
	sent := map[*sim.End]int{}
	return sim.Check{Name: "pace", Throughout: func() error {
		now := f.World.Now()
		if now-from < paceTime {
			return nil
		}
		for _, e := range f.Nodes {
			if per := float64(e.Sent-sent[e]) / (now - from).Seconds(); per > mostPace {
				return fmt.Errorf("%s sent %.0f datagrams a second", e.Name, per)
			}
			sent[e] = e.Sent
		}
		from = now
		return nil
	}}
}

// holds returns a check that holds until something is put into the error.
func holds(name string, broken *error) sim.Check {
	return sim.Check{Name: name, Throughout: func() error { return *broken }}
}

// lives says that in a process's view no name goes back to a previous generation, even if it was forgotten
// between.
func (f *Fleet) lives() sim.Check {
	var broken error
	highest := map[*Node]map[string]uint64{}
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if highest[n] == nil {
			highest[n] = map[string]uint64{}
		}
		if m := c.Member; m.Name != "" {
			if m.Generation < highest[n][m.Name] {
				broken = fmt.Errorf(
					"%s goes back to life %d of %s after %d",
					n.end,
					m.Generation,
					m.Name,
					highest[n][m.Name],
				)
			}
			highest[n][m.Name] = max(highest[n][m.Name], m.Generation)
		}
	})
	return holds("lives", &broken)
}

// blame says that a node which was woken accuses nobody before it can have heard of anybody.
func (f *Fleet) blame() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		e := f.World.End(n.end)
		mine := slices.Contains(strings.Split(c.Member.Accusers, ","), n.Name)
		if c.Member.Health == membership.Suspect && mine && e.Stood >= stoodStill &&
			f.World.Now()-e.Woken < blameless {
			broken = fmt.Errorf("%s suspects %s %v after it was woken", n.end, c.Member.Name, f.World.Now()-e.Woken)
		}
	})
	return holds("blame", &broken)
}

// left says that whoever has said that it leaves and was gone thereby is not taken for dead by those that
// knew it, while they remember it and no other process of the name has come.
func (f *Fleet) left() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if c.Before.Health == membership.Left && c.Member.Health == membership.Dead &&
			c.Member.Generation == c.Before.Generation &&
			c.Member.Name != "" {
			broken = fmt.Errorf("%s takes %s for dead, which has left", n.end, c.Member.Name)
		}
	})
	return holds("left", &broken)
}

// never says that nobody is taken for suspect, or dead, by anybody. It is no check for schedules in which
// that is right.
func (f *Fleet) never(name string, h membership.Health) sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if m := c.Member; m.Health == h && n.Name != m.Name {
			broken = fmt.Errorf("%s has %s %v, accused by %s", n.end, m.Name, m.Health, m.Accusers)
		}
	})
	return holds(name, &broken)
}
