package membership

import (
	"fmt"
	"net/netip"
	"time"

	"wrenspread/internal/membership/wire"
)

const (
	// young is how long after it has met the fleet a process may find that its own former life is remembered as a higher one: its clock
	// has gone back. Later a higher life is another process.
	young = 10 * time.Second
	// echoes is how many words of its own name and life that it never said a process puts down to an upgrade; further ones come
	// from a twin.
	echoes = 3
	// loadStep is the change of load, per mille, that is told at once. Smaller ones ride on the node's own datagrams.
	loadStep = 100
)

// own is what the node knows of its own name.
type own struct {
	met    bool // anybody of the fleet
	metAt  Time
	raised bool // has taken a life above one that it was told
	echoes int
	load   uint16 // told last
}

// factsChanged takes up the node's own facts.
func (c *Core) factsChanged(f Facts) {
	st := c.self.st
	if f.Load != st.Facts.Load {
		st.LoadSeq++
	}
	st.Facts = f
	if c.leaveLeft > 0 {
		st.Facts.State = Leaving
	}
	if err := st.Check(); err != nil {
		c.out = append(c.out, Log{Text: "own facts not taken up: " + err.Error()})
		return
	}
	if st.Plain() != c.self.st.Plain() {
		st.Incarnation++
	}
	c.set(c.self, st)
	if step := int(f.Load) - int(c.own.load); step >= loadStep || step <= -loadStep {
		c.own.load = f.Load
		c.tell(c.self)
	}
}

// toldOfSelf takes what another says of this node, and says whether the other is to be told better.
func (c *Core) toldOfSelf(st wire.Statement, from netip.AddrPort) (answer bool) {
	mine := c.self.st
	st.Name = mine.Name
	switch {
	case st.Life > mine.Life:
		c.higherLife(st.Life, from)
		return !c.yielded
	case st.Life < mine.Life, st.Incarnation < mine.Incarnation:
		return st.Health > Alive || st.Life < mine.Life
	}
	same := st
	same.Health = mine.Health
	if same.Plain() != mine.Plain() {
		c.own.echoes++
		if c.own.echoes > echoes {
			c.out = append(c.out, Conflict{Life: mine.Life, From: from})
			c.takeLife(mine.Life + 1 + c.rng.Uint64N(1000))
			return true
		}
	} else if st.Health <= mine.Health {
		return false
	}
	c.stats.Refuted++
	mine.Incarnation = max(mine.Incarnation, st.Incarnation) + 1
	if mine.Incarnation == 0 {
		c.takeLife(mine.Life + 1)
		return true
	}
	c.set(c.self, mine)
	return true
}

// higherLife hears of a life of its own name above its own. A young process that hears it for the first time takes one more: that was
// itself before a restart. Any other yields: there is a second process, and the later one keeps the name. As a process
// raises its life once, this ends.
func (c *Core) higherLife(life uint64, from netip.AddrPort) {
	if !c.own.raised && (!c.own.met || c.now-c.own.metAt < young) {
		c.takeLife(life + 1)
		return
	}
	c.yielded = true
	c.out = append(c.out, Conflict{Life: life, From: from, Yielded: true},
		Log{Text: fmt.Sprintf("another process named %s, of the later life %d, keeps the name: this one is silent", c.self.st.Name, life)})
}

// takeLife goes on in a life of at least this number.
func (c *Core) takeLife(life uint64) {
	if life >= wire.MaxLife {
		return
	}
	c.own.raised, c.own.echoes = true, 0
	c.out = append(c.out, Log{Text: fmt.Sprintf("%s goes on in life %d, as its name is known in a former one", c.self.st.Name, life)})
	st := c.self.st
	st.Life, st.Incarnation = life, 0
	c.set(c.self, st)
}

// fromOwnName is a datagram of a process of the same name. Own ones that come back through a seed are of the same life.
func (c *Core) fromOwnName(d wire.Datagram, from netip.AddrPort) {
	if d.Life > c.self.st.Life {
		c.higherLife(d.Life, from)
	} else if d.Life < c.self.st.Life {
		c.answerStranger(d, from, c.self)
	}
}
