package sim

import "time"

const (
	// inbox is how many datagrams wait for a process that stands still: as many small ones as the kernel keeps
	// in a socket's usual buffer of 212,992 bytes, at 768 bytes each.
	inbox   = 277
	anyLife = -1 // a datagram is for whoever is there when it arrives
)

// End is a place in the network where a process may run: a machine with one socket.
type End struct {
	Name        string
	Sent, Bytes int // datagrams so far
	// bytes of the biggest; datagrams that came while nobody was there or the buffer was full
	Biggest, Lost int
	Woken, Stood  time.Duration // true time of the last Resume, and how long it had stood still

	world   *World
	start   func(now time.Duration) Actor
	actor   Actor
	life    int // of the process, from 1
	rate    float64
	skew    time.Duration
	timers  map[string]uint64
	count   uint64
	still   bool
	stopped time.Duration // when, by the true time
	held    []task        // while it stands still
	late    time.Duration
	free    time.Duration // when a late process is through with what came before
}

// Up says that a process runs there, be it standing still.
func (e *End) Up() bool { return e.actor != nil }

// Still says that the process stands still.
func (e *End) Still() bool { return e.still }

// Actor is the process that runs there, nil if there is none.
func (e *End) Actor() Actor { return e.actor }

// Life counts the processes that ran there.
func (e *End) Life() int { return e.life }

// Clock is what the machine's monotonic clock shows.
func (e *End) Clock() time.Duration {
	return e.skew + time.Duration(e.rate*float64(e.world.now))
}

// Start starts a process that remembers nothing. One that runs already is ended before.
func (e *End) Start() {
	e.Kill()
	e.life++
	e.timers = map[string]uint64{}
	e.actor = e.start(e.Clock())
	e.Handle(Started{})
}

// Kill ends the process without a word.
func (e *End) Kill() { e.actor, e.held, e.still, e.late, e.free = nil, nil, false, 0, 0 }

// Stop lets the process stand still until Resume.
func (e *End) Stop() {
	if e.Up() && !e.still {
		e.still, e.stopped = true, e.world.now
	}
}

// Resume wakes the process: what came and what fell due meanwhile comes now, the datagrams or the timers
// first as it is drawn.
func (e *End) Resume() {
	if !e.still {
		return
	}
	e.still, e.Woken, e.Stood = false, e.world.now, e.world.now-e.stopped
	held := e.held
	e.held = nil
	ticksFirst := e.world.rng.IntN(2) == 0
	for _, first := range []bool{true, false} {
		for _, t := range held {
			if _, tick := t.e.(Tick); (tick == ticksFirst) == first {
				t.at = e.world.now + 1
				e.world.queue.push(t)
			}
		}
	}
}

// Slow makes the process late: it takes up to so long over each event. 0 ends that.
func (e *End) Slow(most time.Duration) { e.late = most }

// Tell sends a message from outside to the process, if it runs.
func (e *End) Tell(what any) { e.Handle(Told{what}) }

// arrive takes an event that the world has for the end now.
func (e *End) arrive(t task) {
	switch {
	case !e.Up(), t.life != anyLife && t.life != e.life:
		if t.life == anyLife {
			e.Lost++
		}
	case t.timer > 0 && e.timers[t.e.(Tick).Timer] != t.timer:
	case e.still:
		if t.life == anyLife && len(e.held) >= inbox {
			e.Lost++
			return
		}
		e.held = append(e.held, t)
	case e.late > 0 && t.at >= e.free:
		e.free = t.at + time.Duration(e.world.rng.Int64N(int64(e.late)))
		fallthrough
	case t.at < e.free:
		t.at = e.free
		t.life = e.life
		e.world.queue.push(task{at: t.at, do: func() {
			if e.life == t.life {
				e.Handle(t.e)
			}
		}})
	default:
		e.Handle(t.e)
	}
}

// Handle passes an event to the process and carries out the actions that it returns.
func (e *End) Handle(ev Event) {
	if !e.Up() {
		return
	}
	if e.still {
		e.held = append(e.held, task{to: e, e: ev, life: e.life})
		return
	}
	for _, f := range e.actor.Handle(e.Clock(), ev) {
		switch f := f.(type) {
		case Send:
			e.world.send(e, f)
		case Wake:
			e.count++
			e.timers[f.Timer] = e.count
			at := e.world.now + time.Duration(float64(max(f.After, 0))/e.rate) + 1 // so that the clock has passed it
			e.world.queue.push(task{at: at, to: e, e: Tick{f.Timer}, life: e.life, timer: e.count})
		case Say:
			e.world.Say(e.Name, f.What)
		case Call:
			e.world.call(e, f)
		case Exit:
			e.world.Say(e.Name, "exits")
			e.Kill()
			return
		}
	}
}
