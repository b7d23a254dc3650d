// Package views plays the nodes' own view of each other (internal/fleet) in the simulator: drawn schedules of faults with checks, the
// kept scenarios, and the growth of its cost with the fleet. It is for tests and for indigolab.
package views

import (
	"net/netip"
	"strings"
	"time"

	"indigotack/internal/fleet"
	"indigotack/internal/sim"
)

// Core is the face of fleet.Core, which a rival has too.
type Core interface {
	Handle(now time.Duration, e fleet.Event) []fleet.Action
	View() fleet.View
}

// Node is one process with a view.
type Node struct {
	Core Core
	Name string // in the fleet
	Life uint64 // at its start

	fleet   *Fleet
	end     string
	due     time.Duration
	self    fleet.Member // as its own view has it
	yielded bool
	leaving bool
	living  int // members that it holds alive or suspect, itself too
}

// Handle has the core do what is due and carries it out.
func (n *Node) Handle(now time.Duration, e sim.Event) []sim.Effect {
	switch e := e.(type) {
	case sim.Started, sim.Tick:
		return n.step(now, fleet.Tick{})
	case sim.Message:
		return n.step(now, fleet.Received{From: n.fleet.addr(e.From), Data: e.Data})
	case sim.Told:
		if ev, ok := e.What.(fleet.Event); ok {
			if _, leave := ev.(fleet.Leave); leave {
				n.leaving = true
			}
			return n.step(now, ev)
		}
	}
	return nil
}

func (n *Node) step(now time.Duration, e fleet.Event) (out []sim.Effect) {
	if n.fleet.Blind { // a stand-in that does not notice that it stood still
		for ; n.due > 0 && n.due < now-20*time.Millisecond; n.due += 20 * time.Millisecond {
			out = append(out, n.carry(n.due, n.Core.Handle(n.due, fleet.Tick{}))...)
		}
	}
	return append(out, n.carry(now, n.Core.Handle(now, e))...)
}

func (n *Node) carry(now time.Duration, actions []fleet.Action) (out []sim.Effect) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.Send:
			if to, ok := n.fleet.ends[a.To]; ok {
				out = append(out, sim.Send{To: to, Data: a.Data})
			}
		case fleet.Wake:
			n.due = now + a.After
			out = append(out, sim.Wake{After: a.After})
		case fleet.Changed:
			if said := n.changed(now, a); said != "" && !n.fleet.Quiet {
				out = append(out, sim.Say{What: said})
			}
		case fleet.Conflict:
			n.yielded = n.yielded || a.Yielded
			if a.Yielded {
				out = append(out, sim.Say{What: "falls silent: a later process has its name"})
			} else {
				out = append(out, sim.Say{What: "hears of another of its name"})
			}
		case fleet.Gone:
			out = append(out, sim.Exit{})
		}
	}
	return out
}

// changed keeps count and puts the change into a few words.
func (n *Node) changed(now time.Duration, c fleet.Changed) string {
	m, b := c.Member, c.Before
	is, was := m.Name != "" && m.Health <= fleet.Suspect, b.Name != "" && b.Health <= fleet.Suspect
	switch {
	case is && !was:
		n.living++
	case was && !is:
		n.living--
	}
	if m.Name == n.Name {
		n.self = m
	}
	for _, saw := range n.fleet.watch {
		saw(n, now, c)
	}
	switch {
	case m.Name == "":
		return "forgets: " + b.Name
	case m.Name == n.Name:
		if b.Name != "" && m.Incarnation > b.Incarnation && m.Facts == b.Facts && m.Health == b.Health {
			return "refutes"
		}
		return ""
	case b.Name == "" && m.Health == fleet.Alive:
		return "meets: " + m.Name
	case m.Life > b.Life && b.Name != "" && is:
		return "new life of: " + m.Name
	case m.Health == b.Health:
		if m.Facts.State != b.Facts.State {
			return m.Facts.State.String() + ": " + m.Name
		}
		return ""
	case m.Health == fleet.Alive && was:
		return "clears: " + m.Name
	case m.Health == fleet.Alive:
		return "back: " + m.Name
	case m.Health == fleet.Suspect:
		return "suspects: " + m.Name
	}
	return m.Health.String() + ": " + m.Name
}

// twinMark parts a second process of a name from the name: the end n3'b is another machine with a node named n3.
const twinMark = "'"

// nameAt is the fleet's name of the node at an end.
func nameAt(end string) string {
	name, _, _ := strings.Cut(end, twinMark)
	return name
}

func (f *Fleet) addr(end string) netip.AddrPort { return f.addrs[end] }
