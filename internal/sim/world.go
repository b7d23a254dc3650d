package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wrenspread/internal/timeline"
)

const (
	// Drift is how far the rate of a process's clock may be from the true one: the stated bound of fleet
	// control.
	Drift = 0.001
	// mostLog bounds the words kept of one history; a play that says more is drawn without its end.
	mostLog = 200_000
)

// World is one history being made. It is not safe for concurrent use.
type World struct {
	Net     Net
	Service *Service // nil: none
	// Pass, where set, sees each datagram before the network does, and gives what is sent in its place. Broken
	// stand-ins of a core are made with it.
	Pass func(from, to string, data []byte) [][]byte
	Play any // what a play keeps beside, for its own sorts of fault

	rng   *rand.Rand
	now   time.Duration
	queue queue
	ends  map[string]*End
	order []*End
	log   []timeline.Event
}

// New returns an empty world.
func New(seed uint64) *World {
	return &World{rng: rand.New(rand.NewPCG(seed, 0x5eed)), ends: map[string]*End{}, Net: Net{Usual: Near}}
}

// Now is the true time since the beginning.
func (w *World) Now() time.Duration { return w.now }

// Rand is the world's own source of draws, for what a play decides on the way.
func (w *World) Rand() *rand.Rand { return w.rng }

// Say notes something in a column of the timeline.
func (w *World) Say(who, what string) {
	if len(w.log) < mostLog {
		w.log = append(w.log, timeline.Event{At: w.now, Who: who, What: what})
	}
}

// Log is what was said so far.
func (w *World) Log() []timeline.Event { return w.log }

// Add makes a named end whose processes are made by start, and starts the first one. The names are also the
// addresses.
func (w *World) Add(name string, start func(now time.Duration) Actor) *End {
	if w.ends[name] != nil {
		panic(fmt.Sprintf("two ends named %s", name))
	}
	e := &End{
		Name:  name,
		world: w,
		start: start,
		rate:  1 + Drift*(2*w.rng.Float64()-1),
		skew:  time.Duration(w.rng.Int64N(int64(time.Hour))),
	}
	w.ends[name] = e
	w.order = append(w.order, e)
	e.Start()
	return e
}

// End returns an end by name, nil if there is none.
func (w *World) End(name string) *End { return w.ends[name] }

// Ends returns all ends in the order in which they were added.
func (w *World) Ends() []*End { return w.order }

// After has something done later.
func (w *World) After(d time.Duration, do func()) { w.queue.push(task{at: w.now + d, do: do}) }

// RunTo plays until a time.
func (w *World) RunTo(until time.Duration) {
	for len(w.queue.all) > 0 && w.queue.all[0].at <= until {
		t := w.queue.pop()
		w.now = t.at
		if t.do != nil {
			t.do()
			continue
		}
		t.to.arrive(t)
	}
	w.now = max(w.now, until)
}

// Until plays on until cond holds, asked each step, for the given time at most. It gives how long that took.
func (w *World) Until(most, step time.Duration, cond func() bool) (took time.Duration, held bool) {
	from := w.now
	for w.now-from < most {
		w.RunTo(min(w.now+step, from+most))
		if cond() {
			return w.now - from, true
		}
	}
	return w.now - from, false
}

// send hands a datagram of an end to the network.
func (w *World) send(from *End, s Send) {
	all := [][]byte{s.Data}
	if w.Pass != nil {
		all = w.Pass(from.Name, s.To, s.Data)
	}
	for _, data := range all {
		from.Sent++
		from.Bytes += len(data)
		from.Biggest = max(from.Biggest, len(data))
		if to := w.ends[s.To]; to != nil {
			w.carry(from.Name, to, Message{From: from.Name, Data: data})
		}
	}
}

// Inject lets a datagram arrive at an end as if it came from another, over the link between them.
func (w *World) Inject(from, to string, data []byte) {
	if e := w.ends[to]; e != nil {
		w.carry(from, e, Message{From: from, Data: data})
	}
}

func (w *World) carry(from string, to *End, m Message) {
	l := w.Net.link(from, to.Name)
	if l.Cut || l.Loss > 0 && w.rng.Float64() < l.Loss {
		return
	}
	times := 1
	if l.Twice > 0 && w.rng.Float64() < l.Twice {
		times = 2
	}
	for range times {
		w.queue.push(task{at: w.now + l.delay(w.rng), to: to, e: m, life: anyLife})
	}
}
