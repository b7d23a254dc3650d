package tenant

import (
	"errors"
	"time"
)

// testController is a lease holder with a real StateMachine. Its calls take time, and at each call it may
// fail, or may pause while another controller takes over.
type testController struct {
	sim         *simulation
	token       uint64
	rate        float64 // rate of its clock, relative to true time
	hashTree    bool
	machine     *StateMachine
	stopped     bool
	asleepUntil time.Duration
}

// startController gives the lease to a new controller.
func (w *simulation) startController() {
	w.token++
	c := &testController{sim: w, token: w.token, rate: 1 + (w.Float64()-0.5)/1000, hashTree: w.hashTree && w.token%4 != 3}
	w.controllers = append(w.controllers, c)
	w.logf("controller with token %d starts", c.token)
	c.load()
}

// failController stops the last controller and starts another after the TTL. With a pause above 0, the last
// controller is not stopped, but continues after the pause and does not know of its successor.
func (w *simulation) failController(pause time.Duration) {
	c := w.controllers[len(w.controllers)-1]
	if c.stopped = pause == 0; !c.stopped {
		c.asleepUntil = w.now + pause
	}
	w.after(testTTL, w.startController)
}

func (c *testController) clock() time.Duration { return time.Duration(float64(c.sim.now) * c.rate) }

// call makes a call to the registry. At the call failAtCall the controller fails, either before or after it
// has sent the call.
func (c *testController) call(serve func(), answered func(ok bool)) {
	if c.stopped {
		return
	}
	if c.sim.controllerCalls++; c.sim.controllerCalls == c.sim.failAtCall {
		c.sim.failController(c.sim.failurePause)
		if c.sim.IntN(2) == 0 {
			return
		}
	}
	c.sim.call(func() bool { return false }, serve, func(ok bool) { c.whenAwake(func() { answered(ok) }) })
}

// whenAwake runs call when the controller is not paused, unless it has stopped.
func (c *testController) whenAwake(call func()) {
	switch {
	case c.stopped:
	case c.asleepUntil > c.sim.now:
		c.sim.after(c.asleepUntil-c.sim.now, func() { c.whenAwake(call) })
	default:
		call()
	}
}

// load loads the state on record and starts the first round.
func (c *testController) load() {
	var stored Stored
	c.call(func() { stored = c.sim.stored() }, func(ok bool) {
		if !ok {
			c.load()
			return
		}
		c.machine = Load(c.clock(), stored, Times{Prepare: 6 * time.Second, Switch: 1500 * time.Millisecond, Tombstone: c.sim.tombstoneTime()}, c.hashTree)
		c.round()
	})
}

// tombstoneTime returns the tombstone time that controllers use.
func (w *simulation) tombstoneTime() time.Duration {
	if w.mutations["no tombstone"] {
		return 0
	}
	return testTombstone
}

// round makes an observation and carries out the writes that follow from it.
func (c *testController) round() {
	var observation Observation
	c.call(func() { observation = c.sim.observe() }, func(ok bool) {
		if !ok {
			c.load()
			return
		}
		writes, err := c.machine.Handle(c.clock(), observation)
		if err != nil {
			c.sim.fail("%v", err)
		}
		c.carryOut(writes)
	})
}

// carryOut makes the writes of the first stage in parallel, and then those of the later stages. After the
// last, it schedules the next round.
func (c *testController) carryOut(writes []RecordWrite) {
	if len(writes) == 0 {
		c.sim.after(150*time.Millisecond, func() { c.whenAwake(c.round) })
		return
	}
	n := 1
	for n < len(writes) && writes[n].Stage == writes[0].Stage {
		n++
	}
	pending, failed := n, false
	for _, write := range writes[:n] {
		var version uint64
		var err error
		c.call(func() { version, err = c.sim.putRecord(write, c.token) }, func(ok bool) {
			if pending--; ok && err == nil {
				c.machine.RecordWritten(write, version)
			}
			failed = failed || !ok || err != nil
			switch {
			case pending > 0:
			case failed && errors.Is(err, ErrSuperseded) && c.token != c.sim.token:
				c.stopped = true
			case failed:
				c.load()
			default:
				c.carryOut(writes[n:])
			}
		})
	}
}
