// Package membership plays the nodes' own view of each other (internal/membership) in the simulator: drawn
// schedules of faults with checks, the kept scenarios, and the growth of its cost with the fleet. It is for
// tests and for wrenspread-lab.
package membership

import (
	"net/netip"
	"strings"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// Core is the interface of membership.Core, which a rival has too.
type Core interface {
	Handle(now time.Duration, e membership.Event) []membership.Action
	View() membership.View
}

// Node is one process with a view.
type Node struct {
	Core       Core
	Name       string // in the fleet
	Generation uint64 // at its start

	fleet      *Fleet
	host       string
	wakeAt     time.Duration
	self       membership.Member // as its own view has it
	yielded    bool
	leaving    bool
	aliveCount int // members that it holds alive or suspect, itself too
}

// Handle has the core do what is due and carries it out.
func (n *Node) Handle(now time.Duration, e sim.Event) []sim.Effect {
	switch e := e.(type) {
	case sim.Started, sim.Tick:
		return n.step(now, membership.Tick{})
	case sim.Message:
		return n.step(now, membership.Received{From: n.fleet.addr(e.From), Data: e.Data})
	case sim.External:
		if ev, ok := e.Value.(membership.Event); ok {
			if _, leave := ev.(membership.Leave); leave {
				n.leaving = true
			}
			return n.step(now, ev)
		}
	}
	return nil
}

func (n *Node) step(now time.Duration, e membership.Event) (out []sim.Effect) {
	if n.fleet.IgnoresPauses { // a stand-in that does not notice that it stood still
		for ; n.wakeAt > 0 && n.wakeAt < now-20*time.Millisecond; n.wakeAt += 20 * time.Millisecond {
			out = append(out, n.effects(n.wakeAt, n.Core.Handle(n.wakeAt, membership.Tick{}))...)
		}
	}
	return append(out, n.effects(now, n.Core.Handle(now, e))...)
}

func (n *Node) effects(now time.Duration, actions []membership.Action) (out []sim.Effect) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			if to, ok := n.fleet.hostNames[a.To]; ok {
				out = append(out, sim.Send{To: to, Data: a.Data})
			}
		case membership.Wake:
			n.wakeAt = now + a.After
			out = append(out, sim.Wake{After: a.After})
		case membership.MemberChanged:
			if text := n.memberChanged(now, a); text != "" && !n.fleet.NoNotes {
				out = append(out, sim.Note{Text: text})
			}
		case membership.NameConflict:
			n.yielded = n.yielded || a.Yielded
			if a.Yielded {
				out = append(out, sim.Note{Text: "falls silent: a later process has its name"})
			} else {
				out = append(out, sim.Note{Text: "hears of another of its name"})
			}
		case membership.LeaveDone:
			out = append(out, sim.Exit{})
		}
	}
	return out
}

// memberChanged keeps count and puts the change into a few words.
func (n *Node) memberChanged(now time.Duration, c membership.MemberChanged) string {
	m, b := c.Member, c.Before
	isAlive, wasAlive := m.Name != "" && m.Health <= membership.Suspect, b.Name != "" && b.Health <= membership.Suspect
	switch {
	case isAlive && !wasAlive:
		n.aliveCount++
	case wasAlive && !isAlive:
		n.aliveCount--
	}
	if m.Name == n.Name {
		n.self = m
	}
	for _, onChange := range n.fleet.watchers {
		onChange(n, now, c)
	}
	switch {
	case m.Name == "":
		return "forgets: " + b.Name
	case m.Name == n.Name:
		if b.Name != "" && m.Incarnation > b.Incarnation && m.Metadata == b.Metadata && m.Health == b.Health {
			return "refutes"
		}
		return ""
	case b.Name == "" && m.Health == membership.Alive:
		return "meets: " + m.Name
	case m.Generation > b.Generation && b.Name != "" && isAlive:
		return "new life of: " + m.Name
	case m.Health == b.Health:
		if m.Metadata.State != b.Metadata.State {
			return m.Metadata.State.String() + ": " + m.Name
		}
		return ""
	case m.Health == membership.Alive && wasAlive:
		return "clears: " + m.Name
	case m.Health == membership.Alive:
		return "back: " + m.Name
	case m.Health == membership.Suspect:
		return "suspects: " + m.Name
	}
	return m.Health.String() + ": " + m.Name
}

// twinMark parts a second process of a name from the name: the end n3'b is another machine with a node named
// n3.
const twinMark = "'"

// nameAt is the fleet's name of the node at an end.
func nameAt(end string) string {
	name, _, _ := strings.Cut(end, twinMark)
	return name
}

func (f *Fleet) addr(end string) netip.AddrPort { return f.addrs[end] }
