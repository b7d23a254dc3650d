package membership

import (
	"fmt"
	"net/netip"
	"time"

	"wrenspread/internal/membership/wire"
)

const (
	// youngTime is how long after it has met the fleet a process may find that its own previous generation is
	// remembered as a higher one: its clock has gone back. Later a higher generation is another process.
	youngTime = 10 * time.Second
	// maxOwnEchoes is how many statements about its own name and generation that it never said a process puts
	// down to an upgrade; further ones come from a twin.
	maxOwnEchoes = 3
	// loadStep is the change of load, per mille, that is broadcast at once. Smaller ones ride on the node's own
	// datagrams.
	loadStep = 100
)

// ownState is what the node knows of its own name.
type ownState struct {
	hasMet        bool // anybody of the fleet
	metAt         Time
	hasRaised     bool // has taken a generation above one that it received
	echoes        int
	announcedLoad uint16 // broadcast last
}

// metadataChanged takes up the node's own metadata.
func (c *Core) metadataChanged(f Metadata) {
	st := c.self.statement
	if f.Load != st.Metadata.Load {
		st.LoadSeq++
	}
	st.Metadata = f
	if c.leavePeriodsLeft > 0 {
		st.Metadata.State = Leaving
	}
	if err := st.Check(); err != nil {
		c.actions = append(c.actions, Log{Text: "own facts not taken up: " + err.Error()})
		return
	}
	if st.WithoutVolatile() != c.self.statement.WithoutVolatile() {
		st.Incarnation++
	}
	c.updateMember(c.self, st)
	if step := int(f.Load) - int(c.ownState.announcedLoad); step >= loadStep || step <= -loadStep {
		c.ownState.announcedLoad = f.Load
		c.queueBroadcast(c.self)
	}
}

// receiveOwnStatement takes what another says of this node, and reports whether the other is to be corrected.
func (c *Core) receiveOwnStatement(st wire.Statement, from netip.AddrPort) (answer bool) {
	mine := c.self.statement
	st.Name = mine.Name
	switch {
	case st.Generation > mine.Generation:
		c.meetHigherGeneration(st.Generation, from)
		return !c.yielded
	case st.Generation < mine.Generation, st.Incarnation < mine.Incarnation:
		return st.Health > Alive || st.Generation < mine.Generation
	}
	same := st
	same.Health = mine.Health
	if same.WithoutVolatile() != mine.WithoutVolatile() {
		c.ownState.echoes++
		if c.ownState.echoes > maxOwnEchoes {
			c.actions = append(c.actions, NameConflict{Generation: mine.Generation, From: from})
			c.raiseGeneration(mine.Generation + 1 + c.random.Uint64N(1000))
			return true
		}
	} else if st.Health <= mine.Health {
		return false
	}
	c.stats.Refuted++
	mine.Incarnation = max(mine.Incarnation, st.Incarnation) + 1
	if mine.Incarnation == 0 {
		c.raiseGeneration(mine.Generation + 1)
		return true
	}
	c.updateMember(c.self, mine)
	return true
}

// meetHigherGeneration hears of a generation of its own name above its own. A young process that hears it for
// the first time takes one more: that was itself before a restart. Any other yields: there is a second
// process, and the later one keeps the name. As a process raises its generation once, this ends.
func (c *Core) meetHigherGeneration(generation uint64, from netip.AddrPort) {
	if !c.ownState.hasRaised && (!c.ownState.hasMet || c.now-c.ownState.metAt < youngTime) {
		c.raiseGeneration(generation + 1)
		return
	}
	c.yielded = true
	c.actions = append(
		c.actions,
		NameConflict{Generation: generation, From: from, Yielded: true},
		Log{
			Text: fmt.Sprintf(
				"another process named %s, of the later generation %d, keeps the name: this one is silent",
				c.self.statement.Name,
				generation,
			),
		},
	)
}

// raiseGeneration goes on in a generation of at least this number.
func (c *Core) raiseGeneration(generation uint64) {
	if generation >= wire.MaxGeneration {
		return
	}
	c.ownState.hasRaised, c.ownState.echoes = true, 0
	c.actions = append(
		c.actions,
		Log{
			Text: fmt.Sprintf(
				"%s goes on in generation %d, as its name is known in an earlier one",
				c.self.statement.Name,
				generation,
			),
		},
	)
	st := c.self.statement
	st.Generation, st.Incarnation = generation, 0
	c.updateMember(c.self, st)
}

// receiveFromOwnName is a datagram of a process of the same name. Own ones that come back through a seed are
// of the same generation.
func (c *Core) receiveFromOwnName(d wire.Datagram, from netip.AddrPort) {
	if d.Generation > c.self.statement.Generation {
		c.meetHigherGeneration(d.Generation, from)
	} else if d.Generation < c.self.statement.Generation {
		c.answerStranger(d, from, c.self)
	}
}
