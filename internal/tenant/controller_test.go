package tenant

import (
	"errors"
	"time"
)

// controller is one lease holder with the real Machine, and a shell whose calls
// take their time, so that it may die, or sleep while another follows, at each.
type conductor struct {
	w      *world
	fence  uint64
	rate   float64
	tree   bool
	m      *StateMachine
	dead   bool
	asleep time.Duration
}

// grant gives the lease to another controller.
func (w *world) grant() {
	w.fence++
	c := &conductor{w: w, fence: w.fence, rate: 1 + (w.Float64()-0.5)/1000, tree: w.tree && w.fence%4 != 3}
	w.conductors = append(w.conductors, c)
	w.note("conductor %d", c.fence)
	c.load()
}

// die ends the last controller and has another follow; one that only sleeps wakes later
// and goes on where it was.
func (w *world) die(sleeps time.Duration) {
	c := w.conductors[len(w.conductors)-1]
	if c.dead = sleeps == 0; !c.dead {
		c.asleep = w.now + sleeps
	}
	w.after(ttl, w.grant)
}

func (c *conductor) clock() time.Duration { return time.Duration(float64(c.w.now) * c.rate) }

// call is one call of the controller's; it may be its last.
func (c *conductor) call(serve func(), answered func(ok bool)) {
	if c.dead {
		return
	}
	if c.w.calls++; c.w.calls == c.w.dieAt {
		c.w.die(c.w.dieSleeps)
		if c.w.IntN(2) == 0 {
			return
		}
	}
	c.w.call(func() bool { return false }, serve, func(ok bool) { c.wake(func() { answered(ok) }) })
}

func (c *conductor) wake(do func()) {
	switch {
	case c.dead:
	case c.asleep > c.w.now:
		c.w.after(c.asleep-c.w.now, func() { c.wake(do) })
	default:
		do()
	}
}

func (c *conductor) load() {
	var s Stored
	c.call(func() { s = c.w.stored() }, func(ok bool) {
		if !ok {
			c.load()
			return
		}
		c.m = Load(c.clock(), s, Times{Prepare: 6 * time.Second, Switch: 1500 * time.Millisecond, Tombstone: c.w.tomb()}, c.tree)
		c.round()
	})
}

func (w *world) tomb() time.Duration {
	if w.broken["no tombstone"] {
		return 0
	}
	return testTomb
}

func (c *conductor) round() {
	var l Observation
	c.call(func() { l = c.w.look() }, func(ok bool) {
		if !ok {
			c.load()
			return
		}
		puts, err := c.m.Handle(c.clock(), l)
		if err != nil {
			c.w.fail("%v", err)
		}
		c.carryOut(puts)
	})
}

// carryOut makes the writes of the first stage at once, and the others after them.
func (c *conductor) carryOut(puts []RecordWrite) {
	if len(puts) == 0 {
		c.w.after(150*time.Millisecond, func() { c.wake(c.round) })
		return
	}
	n := 1
	for n < len(puts) && puts[n].Stage == puts[0].Stage {
		n++
	}
	left, failed := n, false
	for _, p := range puts[:n] {
		var version uint64
		var err error
		c.call(func() { version, err = c.w.put(p, c.fence) }, func(ok bool) {
			if left--; ok && err == nil {
				c.m.RecordWritten(p, version)
			}
			failed = failed || !ok || err != nil
			switch {
			case left > 0:
			case failed && errors.Is(err, ErrSuperseded) && c.fence != c.w.fence:
				c.dead = true
			case failed:
				c.load()
			default:
				c.carryOut(puts[n:])
			}
		})
	}
}
