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
	maxDatagramBytes = 256
	// maxDatagramsPerSecond is the most datagrams a node may send within paceTime, on average a second. Each period of 200 ms
	// it may begin a probe with three helpers, warn a suspect, tell news, ask a dead member and a seed, and
	// spend 24 datagrams on digests; besides it answers what it is asked, which is as much again on average.
	maxDatagramsPerSecond = 2 * 5 * (7 + 24)
	rateWindow            = 10 * time.Second
	// noAccusationTime is how long a woken node may accuse nobody: the answers to what it sent before it stood still
	// must come first.
	noAccusationTime = 400 * time.Millisecond
	// noticeablePause is a pause that a node must notice: it waits 60 ms for an answer, and a shorter one is no
	// lateness.
	noticeablePause = 100 * time.Millisecond
)

// checks are those that hold throughout, whatever goes wrong.
func (f *Fleet) checks() []sim.Check {
	return append([]sim.Check{f.sizeCheck(), f.paceCheck(), f.generationCheck(), f.accusationCheck()}, f.leaveCheck())
}

func (f *Fleet) sizeCheck() sim.Check {
	return sim.Check{Name: "size", Throughout: func() error {
		for _, e := range f.Nodes {
			if e.LargestDatagram > maxDatagramBytes {
				return fmt.Errorf("%s sent a datagram of %d bytes", e.Name, e.LargestDatagram)
			}
		}
		return nil
	}}
}

func (f *Fleet) paceCheck() sim.Check {
	var windowStart time.Duration
	sent := map[*sim.Host]int{}
	return sim.Check{Name: "pace", Throughout: func() error {
		now := f.World.Now()
		if now-windowStart < rateWindow {
			return nil
		}
		for _, e := range f.Nodes {
			if rate := float64(e.SentDatagrams-sent[e]) / (now - windowStart).Seconds(); rate > maxDatagramsPerSecond {
				return fmt.Errorf("%s sent %.0f datagrams a second", e.Name, rate)
			}
			sent[e] = e.SentDatagrams
		}
		windowStart = now
		return nil
	}}
}

// checkOf returns a check that holds until something is put into the error.
func checkOf(name string, broken *error) sim.Check {
	return sim.Check{Name: name, Throughout: func() error { return *broken }}
}

// generationCheck says that in a process's view no name goes back to a previous generation, even if it was forgotten
// between.
func (f *Fleet) generationCheck() sim.Check {
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
					n.host,
					m.Generation,
					m.Name,
					highest[n][m.Name],
				)
			}
			highest[n][m.Name] = max(highest[n][m.Name], m.Generation)
		}
	})
	return checkOf("lives", &broken)
}

// accusationCheck says that a node which was woken accuses nobody before it can have heard of anybody.
func (f *Fleet) accusationCheck() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		e := f.World.Host(n.host)
		accusedByNode := slices.Contains(strings.Split(c.Member.Accusers, ","), n.Name)
		if c.Member.Health == membership.Suspect && accusedByNode && e.PausedFor >= noticeablePause &&
			f.World.Now()-e.ResumedAt < noAccusationTime {
			broken = fmt.Errorf("%s suspects %s %v after it was woken", n.host, c.Member.Name, f.World.Now()-e.ResumedAt)
		}
	})
	return checkOf("blame", &broken)
}

// leaveCheck says that whoever has said that it leaves and was gone thereby is not taken for dead by those that
// knew it, while they remember it and no other process of the name has come.
func (f *Fleet) leaveCheck() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if c.Before.Health == membership.Left && c.Member.Health == membership.Dead &&
			c.Member.Generation == c.Before.Generation &&
			c.Member.Name != "" {
			broken = fmt.Errorf("%s takes %s for dead, which has left", n.host, c.Member.Name)
		}
	})
	return checkOf("left", &broken)
}

// neverCheck says that nobody is taken for suspect, or dead, by anybody. It is no check for schedules in which
// that is right.
func (f *Fleet) neverCheck(name string, h membership.Health) sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if m := c.Member; m.Health == h && n.Name != m.Name {
			broken = fmt.Errorf("%s has %s %v, accused by %s", n.host, m.Name, m.Health, m.Accusers)
		}
	})
	return checkOf(name, &broken)
}
