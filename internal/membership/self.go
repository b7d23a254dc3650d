package membership

import (
	"fmt"
	"net/netip"
	"time"

	"wrenspread/internal/membership/wire"
)

const (
	// restartDetectionTime is how long after it met the fleet a process attributes a higher generation of its
	// name to its own previous process. The previous process had a higher generation if the clock has gone back
	// since. After this time, a higher generation means that another process has the name.
	restartDetectionTime = 10 * time.Second
	// maxConflictingStatements bounds the statements on its own name and generation that a process never made
	// and attributes to its previous process, before an upgrade. Further conflicting statements come from
	// another process of the same name.
	maxConflictingStatements = 3
	// loadStep is the change of load, per mille, from which on a new load is broadcast at once. After smaller
	// changes, only the node's own datagrams carry the new load.
	loadStep = 100
)

// ownState is what the node knows about the use of its own name.
type ownState struct {
	hasMetFleet           bool // the node has received a datagram from a member
	metFleetAt            Time
	hasRaisedGeneration   bool   // the node has taken a generation above a received one
	conflictingStatements int    // received statements on this name and generation that the node never made
	announcedLoad         uint16 // the load that was last broadcast
}

// setMetadata replaces the node's own metadata.
func (c *Core) setMetadata(metadata Metadata) {
	statement := c.self.statement
	if metadata.Load != statement.Metadata.Load {
		statement.LoadSeq++
	}
	statement.Metadata = metadata
	if c.leavePeriodsLeft > 0 {
		statement.Metadata.State = Leaving
	}
	if err := statement.Check(); err != nil {
		c.actions = append(c.actions, Log{Text: "own metadata rejected: " + err.Error()})
		return
	}
	if statement.WithoutVolatile() != c.self.statement.WithoutVolatile() {
		statement.Incarnation++
	}
	c.updateMember(c.self, statement)
	if loadChange := int(metadata.Load) - int(c.ownState.announcedLoad); loadChange >= loadStep ||
		loadChange <= -loadStep {
		c.ownState.announcedLoad = metadata.Load
		c.queueBroadcast(c.self)
	}
}

// receiveOwnStatement handles another node's statement on this node, and reports whether to send that node a
// newer statement.
func (c *Core) receiveOwnStatement(statement wire.Statement, from netip.AddrPort) (correct bool) {
	mine := c.self.statement
	statement.Name = mine.Name
	switch {
	case statement.Generation > mine.Generation:
		c.handleHigherGeneration(statement.Generation, from)
		return !c.hasYielded
	case statement.Generation < mine.Generation, statement.Incarnation < mine.Incarnation:
		return statement.Health > Alive || statement.Generation < mine.Generation
	}
	withOwnHealth := statement
	withOwnHealth.Health = mine.Health
	if withOwnHealth.WithoutVolatile() != mine.WithoutVolatile() {
		c.ownState.conflictingStatements++
		if c.ownState.conflictingStatements > maxConflictingStatements {
			c.actions = append(c.actions, NameConflict{Generation: mine.Generation, From: from})
			c.raiseGeneration(mine.Generation + 1 + c.random.Uint64N(1000))
			return true
		}
	} else if statement.Health <= mine.Health {
		return false
	}
	c.stats.Refuted++
	mine.Incarnation = max(mine.Incarnation, statement.Incarnation) + 1
	if mine.Incarnation == 0 {
		c.raiseGeneration(mine.Generation + 1)
		return true
	}
	c.updateMember(c.self, mine)
	return true
}

// handleHigherGeneration handles a received generation of this node's name that is above the present one. A
// process that has met the fleet only recently and has not raised its generation before assumes that its own
// previous process had the received generation, and raises its generation above it. In any other case a
// second process has the name. The process with the higher generation keeps the name, so this process yields.
// Since a process raises its generation in this way only once, two processes can't raise theirs in turn for
// ever.
func (c *Core) handleHigherGeneration(generation uint64, from netip.AddrPort) {
	if !c.ownState.hasRaisedGeneration &&
		(!c.ownState.hasMetFleet || c.now-c.ownState.metFleetAt < restartDetectionTime) {
		c.raiseGeneration(generation + 1)
		return
	}
	c.hasYielded = true
	c.actions = append(
		c.actions,
		NameConflict{Generation: generation, From: from, Yielded: true},
		Log{
			Text: fmt.Sprintf(
				"another process named %s has the later generation %d and keeps the name: this process sends nothing",
				c.self.statement.Name,
				generation,
			),
		},
	)
}

// raiseGeneration lets the node continue in a higher generation, unless that generation is out of bounds.
func (c *Core) raiseGeneration(generation uint64) {
	if generation >= wire.MaxGeneration {
		return
	}
	c.ownState.hasRaisedGeneration, c.ownState.conflictingStatements = true, 0
	c.actions = append(
		c.actions,
		Log{
			Text: fmt.Sprintf(
				"%s continues in generation %d, above the generation that other nodes know",
				c.self.statement.Name,
				generation,
			),
		},
	)
	statement := c.self.statement
	statement.Generation, statement.Incarnation = generation, 0
	c.updateMember(c.self, statement)
}

// receiveFromOwnName handles a datagram whose sender has this node's name. It ignores datagrams of the
// present generation: they are this node's own pings to a seed address that leads back to the node.
func (c *Core) receiveFromOwnName(d wire.Datagram, from netip.AddrPort) {
	if d.Generation > c.self.statement.Generation {
		c.handleHigherGeneration(d.Generation, from)
	} else if d.Generation < c.self.statement.Generation {
		c.answerStranger(d, from, c.self)
	}
}
