package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wrenspread/internal/timeline"
)

const (
	// MaxClockDrift is the largest relative difference between the rate of a host's clock and true time. Fleet
	// control has to tolerate this drift.
	MaxClockDrift = 0.001
	// maxLogEvents bounds the timeline events stored for one simulation; later events are dropped.
	maxLogEvents = 200_000
)

// World is one running simulation: its true time, hosts, network and registry, and the log of what happened.
// It is not safe for concurrent use.
type World struct {
	Net     Net
	Service *Service // the registry; nil: none
	// Intercept, if set, sees each datagram before the network does and returns the datagrams that are sent in
	// its place. Tests use it to make broken variants of a core.
	Intercept func(from, to string, data []byte) [][]byte
	PlayState any // state of the play, for its own kinds of fault

	rng   *rand.Rand
	now   time.Duration
	queue queue
	hosts map[string]*Host
	order []*Host // the hosts in the order in which they were added
	log   []timeline.Event
}

// New returns a world without hosts, whose random draws follow from seed.
func New(seed uint64) *World {
	return &World{
		rng:   rand.New(rand.NewPCG(seed, 0x5eed)),
		hosts: map[string]*Host{},
		Net:   Net{Default: LocalLink},
	}
}

// Now returns the true time since the beginning of the simulation.
func (w *World) Now() time.Duration { return w.now }

// Rand returns the world's random source, for what a play draws while the simulation runs.
func (w *World) Rand() *rand.Rand { return w.rng }

// Note adds an event to a column of the timeline.
func (w *World) Note(column, text string) {
	if len(w.log) < maxLogEvents {
		w.log = append(w.log, timeline.Event{At: w.now, Column: column, Text: text})
	}
}

// Log returns the timeline events so far.
func (w *World) Log() []timeline.Event { return w.log }

// Add adds a host and starts its first process. start is called for each new process of the host and returns
// its Actor. The host's name is also its address in the network.
func (w *World) Add(name string, start func(now time.Duration) Actor) *Host {
	if w.hosts[name] != nil {
		panic(fmt.Sprintf("two hosts named %s", name))
	}
	h := &Host{
		Name:        name,
		world:       w,
		start:       start,
		clockRate:   1 + MaxClockDrift*(2*w.rng.Float64()-1),
		clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour))),
	}
	w.hosts[name] = h
	w.order = append(w.order, h)
	h.Start()
	return h
}

// Host returns a host by name, nil if there is none.
func (w *World) Host(name string) *Host { return w.hosts[name] }

// Hosts returns all hosts in the order in which they were added.
func (w *World) Hosts() []*Host { return w.order }

// After calls run when delay of true time has passed.
func (w *World) After(delay time.Duration, run func()) {
	w.queue.push(task{at: w.now + delay, run: run})
}

// RunTo simulates until the true time reaches until.
func (w *World) RunTo(until time.Duration) {
	for len(w.queue.tasks) > 0 && w.queue.tasks[0].at <= until {
		t := w.queue.pop()
		w.now = t.at
		if t.run != nil {
			t.run()
			continue
		}
		t.host.arrive(t)
	}
	w.now = max(w.now, until)
}

// RunUntil simulates until cond holds, for limit at most, and checks cond after each step. It returns the
// simulated time that passed and whether cond became true.
func (w *World) RunUntil(limit, step time.Duration, cond func() bool) (elapsed time.Duration, ok bool) {
	from := w.now
	for w.now-from < limit {
		w.RunTo(min(w.now+step, from+limit))
		if cond() {
			return w.now - from, true
		}
	}
	return w.now - from, false
}

// send passes a datagram of a host through Intercept to the network.
func (w *World) send(from *Host, s Send) {
	datagrams := [][]byte{s.Data}
	if w.Intercept != nil {
		datagrams = w.Intercept(from.Name, s.To, s.Data)
	}
	for _, data := range datagrams {
		from.SentDatagrams++
		from.SentBytes += len(data)
		from.LargestDatagram = max(from.LargestDatagram, len(data))
		if to := w.hosts[s.To]; to != nil {
			w.deliver(from.Name, to, Message{From: from.Name, Data: data})
		}
	}
}

// Inject sends a datagram to a host as if it came from another, over the link between the two.
func (w *World) Inject(from, to string, data []byte) {
	if h := w.hosts[to]; h != nil {
		w.deliver(from, h, Message{From: from, Data: data})
	}
}

// deliver schedules the arrival of a datagram, unless the link is cut or loses the datagram.
func (w *World) deliver(from string, to *Host, m Message) {
	l := w.Net.link(from, to.Name)
	if l.Cut || l.Loss > 0 && w.rng.Float64() < l.Loss {
		return
	}
	copies := 1
	if l.Duplicate > 0 && w.rng.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		w.queue.push(task{at: w.now + l.delay(w.rng), host: to, event: m, processNumber: anyProcess})
	}
}
