// Package membership simulates the nodes' view of each other (internal/membership): random schedules of
// faults with checks, fixed scenarios whose timelines are in testdata, and the growth of the view's cost with
// the size of the fleet. Tests and wrenspread-lab use it.
package membership

import (
	"net/netip"
	"strings"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// Core is the interface of membership.Core, which the rival implements too.
type Core interface {
	Handle(now time.Duration, e membership.Event) []membership.Action
	View() membership.View
}

// Node is one process with a view of the fleet.
type Node struct {
	Core       Core
	Name       string // in the fleet; see nameAt
	Generation uint64 // of the process, at its start

	fleet      *Fleet
	host       string
	wakeAt     time.Duration     // time of the next requested Tick
	self       membership.Member // the node as its own view has it
	yielded    bool              // the process has yielded its name to a later process
	leaving    bool
	aliveCount int // members that are alive or suspect in the view, including the node itself
}

// Handle translates a simulated event into an event of the core, and returns the effects of the core's
// actions.
func (n *Node) Handle(now time.Duration, e sim.Event) []sim.Effect {
	switch e := e.(type) {
	case sim.Started, sim.Tick:
		return n.step(now, membership.Tick{})
	case sim.Message:
		return n.step(now, membership.Received{From: n.fleet.assignedAddress(e.From), Data: e.Data})
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

// step passes an event to the core and returns the effects of the core's actions.
func (n *Node) step(now time.Duration, e membership.Event) (out []sim.Effect) {
	if n.fleet.IgnoresPauses { // broken variant: ticks that fell due during a pause arrive as if in time
		for ; n.wakeAt > 0 && n.wakeAt < now-20*time.Millisecond; n.wakeAt += 20 * time.Millisecond {
			out = append(out, n.effects(n.wakeAt, n.Core.Handle(n.wakeAt, membership.Tick{}))...)
		}
	}
	return append(out, n.effects(now, n.Core.Handle(now, e))...)
}

// effects translates the actions of the core into effects.
func (n *Node) effects(now time.Duration, actions []membership.Action) (out []sim.Effect) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			if to, ok := n.fleet.hostsByAddr[a.To]; ok {
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

// memberChanged updates aliveCount and self, calls the watchers, and returns the change's text for the
// timeline, "" for none.
func (n *Node) memberChanged(now time.Duration, c membership.MemberChanged) string {
	m, b := c.Member, c.Before
	isAlive, wasAlive := m.Name != "" && m.Health <= membership.Suspect,
		b.Name != "" && b.Health <= membership.Suspect
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

// twinMark marks a host whose node has the same name as the node of another host: the node of host n3' is
// named n3.
const twinMark = "'"

// nameAt returns the name in the fleet of the node on a host.
func nameAt(host string) string {
	name, _, _ := strings.Cut(host, twinMark)
	return name
}

// assignedAddress returns the address of a host that has one already.
func (f *Fleet) assignedAddress(host string) netip.AddrPort { return f.addrs[host] }
