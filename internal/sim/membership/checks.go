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
	// maxDatagramsPerSecond is the most datagrams a node may send per second, averaged over rateWindow. In each
	// period of 200 ms a node may begin a probe with three helpers, notify a suspect, send a broadcast, query a
	// dead member and a seed, and spend 24 datagrams on digests. On average the node sends as many answers as
	// that.
	maxDatagramsPerSecond = 2 * 5 * (7 + 24)
	rateWindow            = 10 * time.Second
	// noAccusationTime is how long after a pause a node must not accuse any member: it first has to receive the
	// answers to the datagrams that it sent before the pause.
	noAccusationTime = 400 * time.Millisecond
	// noticeablePause is the shortest pause that a node must notice. A node waits 60 ms for an answer, so a
	// shorter pause does not make it late.
	noticeablePause = 100 * time.Millisecond
)

// checks returns the checks that must hold at any time, whatever the faults.
func (f *Fleet) checks() []sim.Check {
	return append(
		[]sim.Check{f.sizeCheck(), f.rateCheck(), f.generationCheck(), f.accusationCheck()},
		f.leaveCheck(),
	)
}

// sizeCheck checks that no node sends a datagram of more than maxDatagramBytes.
func (f *Fleet) sizeCheck() sim.Check {
	return sim.Check{Name: "size", Throughout: func() error {
		for _, host := range f.Nodes {
			if host.LargestDatagram > maxDatagramBytes {
				return fmt.Errorf("%s sent a datagram of %d bytes, which is too large", host.Name, host.LargestDatagram)
			}
		}
		return nil
	}}
}

// rateCheck checks that no node sends more than maxDatagramsPerSecond within rateWindow.
func (f *Fleet) rateCheck() sim.Check {
	var windowStart time.Duration
	sent := map[*sim.Host]int{}
	return sim.Check{Name: "pace", Throughout: func() error {
		now := f.World.Now()
		if now-windowStart < rateWindow {
			return nil
		}
		for _, h := range f.Nodes {
			if rate := float64(h.SentDatagrams-sent[h]) / (now - windowStart).Seconds(); rate > maxDatagramsPerSecond {
				return fmt.Errorf("%s sent %.0f datagrams a second", h.Name, rate)
			}
			sent[h] = h.SentDatagrams
		}
		windowStart = now
		return nil
	}}
}

// checkOf returns a check that fails once *broken is not nil.
func checkOf(name string, broken *error) sim.Check {
	return sim.Check{Name: name, Throughout: func() error { return *broken }}
}

// generationCheck checks that in the view of a process no member returns to an earlier generation, even if
// the process has forgotten the member in the meantime.
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
					"%s has generation %d of %s after generation %d",
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

// accusationCheck checks that a node does not accuse any member within noAccusationTime after a noticeable
// pause.
func (f *Fleet) accusationCheck() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		host := f.World.Host(n.host)
		accusedByNode := slices.Contains(strings.Split(c.Member.Accusers, ","), n.Name)
		if c.Member.Health == membership.Suspect && accusedByNode && host.PausedFor >= noticeablePause &&
			f.World.Now()-host.ResumedAt < noAccusationTime {
			broken = fmt.Errorf(
				"%s suspects %s %v after the end of its pause",
				n.host,
				c.Member.Name,
				f.World.Now()-host.ResumedAt,
			)
		}
	})
	return checkOf("blame", &broken)
}

// leaveCheck checks that no view changes a member from left to dead within a generation. A member that the
// view has forgotten in the meantime does not count.
func (f *Fleet) leaveCheck() sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if c.Before.Health == membership.Left && c.Member.Health == membership.Dead &&
			c.Member.Generation == c.Before.Generation &&
			c.Member.Name != "" {
			broken = fmt.Errorf("%s has %s as dead, want it as left", n.host, c.Member.Name)
		}
	})
	return checkOf("left", &broken)
}

// neverCheck checks that no view gives another member the health h. It fits only plays whose faults must not
// lead to that health.
func (f *Fleet) neverCheck(name string, h membership.Health) sim.Check {
	var broken error
	f.Watch(func(n *Node, _ time.Duration, c membership.MemberChanged) {
		if m := c.Member; m.Health == h && n.Name != m.Name {
			broken = fmt.Errorf("%s has %s as %v, accused by %s", n.host, m.Name, m.Health, m.Accusers)
		}
	})
	return checkOf(name, &broken)
}
