package sim

import "time"

const (
	// maxPendingDatagrams bounds the datagrams that wait for a paused process. The kernel buffers as many small
	// datagrams in a socket's default buffer of 212,992 bytes, at 768 bytes each.
	maxPendingDatagrams = 277
	// anyProcess addresses a task to the process that runs when the task is due. Datagrams use it.
	anyProcess = -1
)

// Host is a simulated machine with one socket and one clock, on which at most one process runs at a time.
type Host struct {
	Name                     string
	SentDatagrams, SentBytes int // totals since the host was added
	// LargestDatagram is the size in bytes of the largest datagram sent. LostDatagrams counts datagrams that
	// arrived while no process ran or the socket buffer was full.
	LargestDatagram, LostDatagrams int
	// ResumedAt is the true time of the last Resume, PausedFor how long the process had been paused then.
	ResumedAt, PausedFor time.Duration

	world         *World
	start         func(now time.Duration) Actor
	actor         Actor
	processNumber int     // number of the current or last process, from 1
	clockRate     float64 // clock seconds per true second
	clockOffset   time.Duration
	timers        map[string]uint64 // by timer: the number of its last Wake
	wakeCount     uint64            // Wakes so far; each Wake is numbered by it
	paused        bool
	pausedAt      time.Duration // true time at which the pause began
	pending       []task        // events that wait for Resume
	maxDelay      time.Duration // upper bound of the drawn time per event; 0: no delay
	busyUntil     time.Duration // when a delayed process has handled its earlier events
}

// Running reports whether the host has a process, paused or not.
func (h *Host) Running() bool { return h.actor != nil }

// Paused reports whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// Actor returns the process of the host, nil if there is none.
func (h *Host) Actor() Actor { return h.actor }

// ProcessNumber returns how many processes have been started on the host.
func (h *Host) ProcessNumber() int { return h.processNumber }

// Clock returns the time of the host's own monotonic clock, which has an offset and a drift.
func (h *Host) Clock() time.Duration {
	return h.clockOffset + time.Duration(h.clockRate*float64(h.world.now))
}

// Start starts a process without any state of a previous one. A process that still runs is killed first.
func (h *Host) Start() {
	h.Kill()
	h.processNumber++
	h.timers = map[string]uint64{}
	h.actor = h.start(h.Clock())
	h.Handle(Started{})
}

// Kill ends the process at once. The process handles no further event, not even pending ones.
func (h *Host) Kill() { h.actor, h.pending, h.paused, h.maxDelay, h.busyUntil = nil, nil, false, 0, 0 }

// Pause stops the process from handling events until Resume, as SIGSTOP does.
func (h *Host) Pause() {
	if h.Running() && !h.paused {
		h.paused, h.pausedAt = true, h.world.now
	}
}

// Resume lets a paused process handle the events that have arrived or fallen due during the pause. A draw
// decides whether the timers or all other events come first.
func (h *Host) Resume() {
	if !h.paused {
		return
	}
	h.paused, h.ResumedAt, h.PausedFor = false, h.world.now, h.world.now-h.pausedAt
	pending := h.pending
	h.pending = nil
	ticksFirst := h.world.rng.IntN(2) == 0
	for _, first := range []bool{true, false} {
		for _, t := range pending {
			if _, tick := t.event.(Tick); (tick == ticksFirst) == first {
				t.at = h.world.now + 1
				h.world.queue.push(t)
			}
		}
	}
}

// SetMaxDelay makes the process slow: handling each event takes a drawn time below maxDelay. 0 ends the
// delay.
func (h *Host) SetMaxDelay(maxDelay time.Duration) { h.maxDelay = maxDelay }

// HandleExternal passes the process, if one runs, an External event.
func (h *Host) HandleExternal(value any) { h.Handle(External{value}) }

// arrive handles, buffers, delays or drops an event that is due now. Events for an earlier process and ticks
// of replaced timers are dropped.
func (h *Host) arrive(t task) {
	switch {
	case !h.Running(), t.processNumber != anyProcess && t.processNumber != h.processNumber:
		if t.processNumber == anyProcess {
			h.LostDatagrams++
		}
	case t.timer > 0 && h.timers[t.event.(Tick).Timer] != t.timer:
	case h.paused:
		if t.processNumber == anyProcess && len(h.pending) >= maxPendingDatagrams {
			h.LostDatagrams++
			return
		}
		h.pending = append(h.pending, t)
	case h.maxDelay > 0 && t.at >= h.busyUntil:
		h.busyUntil = t.at + time.Duration(h.world.rng.Int64N(int64(h.maxDelay)))
		fallthrough
	case t.at < h.busyUntil:
		t.at = h.busyUntil
		t.processNumber = h.processNumber
		h.world.queue.push(task{at: t.at, run: func() {
			if h.processNumber == t.processNumber {
				h.Handle(t.event)
			}
		}})
	default:
		h.Handle(t.event)
	}
}

// Handle passes an event to the process and carries out the effects that the process returns.
func (h *Host) Handle(event Event) {
	if !h.Running() {
		return
	}
	if h.paused {
		h.pending = append(h.pending, task{host: h, event: event, processNumber: h.processNumber})
		return
	}
	for _, effect := range h.actor.Handle(h.Clock(), event) {
		switch effect := effect.(type) {
		case Send:
			h.world.send(h, effect)
		case Wake:
			h.wakeCount++
			h.timers[effect.Timer] = h.wakeCount
			// One more nanosecond, so that the host's clock has passed the time despite rounding.
			at := h.world.now + time.Duration(float64(max(effect.After, 0))/h.clockRate) + 1
			h.world.queue.push(task{
				at:            at,
				host:          h,
				event:         Tick{effect.Timer},
				processNumber: h.processNumber,
				timer:         h.wakeCount,
			})
		case Note:
			h.world.Note(h.Name, effect.Text)
		case Call:
			h.world.call(h, effect)
		case Exit:
			h.world.Note(h.Name, "exits")
			h.Kill()
			return
		}
	}
}
