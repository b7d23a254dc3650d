package membership

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// Growth says what is measured, at one size.
type Growth struct {
	Nodes  int
	Seed   uint64
	Rival  bool          // everybody asks everybody, instead of the view
	Losses []float64     // at which false deaths are counted
	Hours  float64       // node hours of counting, at each loss
	Cut    time.Duration // of halves, before the heal
	Moves  int           // deaths and joins in each half, evenly over the cut
}

// Grown is what it came to. Times are until all running nodes know, by the changes that they tell; 0: not
// within mostWait.
type Grown struct {
	Nodes       int
	Sent, Bytes float64 // a node and second, with nothing happening
	Joined      time.Duration
	Join        time.Duration // of one more
	Death       time.Duration
	Heal        time.Duration
	Peak        int       // bytes that one node sent in the worst second of the heal
	False       []float64 // deaths of running nodes in anybody's view, a node and hour, by loss
}

const (
	maxWait  = 2 * time.Minute
	idleTime = 10 * time.Second
)

// measurement is one measurement under way.
type measurement struct {
	Growth
	ctx             context.Context // ends it early, within a second of the fleet's time
	world           *sim.World
	fleet           *Fleet
	alive           map[string]int // of how many nodes it is known that they have a name alive
	dead            map[string]int
	falseDeathCount int // times that a running node, which nobody held dead, was taken for dead by somebody
}

// Measure plays a fleet of one size through a join, a death, a cut and losses.
func (g Growth) Measure(ctx context.Context) (out Grown, err error) {
	m := g.begin(ctx)
	out.Nodes = g.Nodes
	names := Names(g.Nodes)
	startTime := max(time.Second, time.Duration(g.Nodes)*time.Second/300)
	m.fleet.StartAll(names, startTime)
	m.run(startTime)
	if out.Joined, err = m.waitFor("all have joined", m.complete); err != nil {
		return out, err
	}
	m.run(5 * time.Second)
	out.Sent, out.Bytes = m.sendRates()

	victim := names[g.Nodes/2]
	m.world.Host(victim).Kill()
	live := g.Nodes - 1
	if out.Death, err = m.waitFor("a death is known", func() bool { return m.dead[victim] == live }); err != nil {
		return out, err
	}
	m.fleet.Start(newcomer)
	if out.Join, err = m.waitFor(
		"a join is known",
		func() bool { return m.alive[newcomer] >= live && m.complete() },
	); err != nil {
		return out, err
	}
	partition := m.world.Net.AddFault(func(from, to string) bool { return m.half(from) != m.half(to) }, sim.CutLink)
	for i := range g.Moves {
		m.run(g.Cut / time.Duration(g.Moves+1))
		m.replaceNodes(i)
	}
	m.run(g.Cut / time.Duration(g.Moves+1))
	m.world.Net.RemoveFault(partition)
	peak := m.peak()
	if out.Heal, err = m.waitFor(
		"the halves are one",
		func() bool { out.Peak = peak(); return m.complete() },
	); err != nil {
		return out, err
	}
	m.run(time.Second) // a heal may be shorter than the second that is counted
	out.Peak = peak()
	for _, loss := range g.Losses {
		m.run(5 * time.Second)
		out.False = append(out.False, m.falseDeaths(loss))
	}
	return out, ctx.Err()
}

// replaceNodes ends a node of each half, one that nobody begins with, and starts another in it.
func (m *measurement) replaceNodes(i int) {
	for side := range 2 {
		index := m.Nodes - 1 - 2*i - side // neighbours are of different halves
		m.world.Host(Names(m.Nodes)[index]).Kill()
		m.fleet.Start(fmt.Sprint("late", 2*i+side))
	}
}

// run plays on, in steps, unless the measurement is ended.
func (m *measurement) run(d time.Duration) {
	for end := m.world.Now() + d; m.world.Now() < end && m.ctx.Err() == nil; {
		m.world.RunTo(min(m.world.Now()+time.Second, end))
	}
}

// newcomer is the node that joins alone. The rival needs it on its list from the beginning.
const newcomer = "x"

func (g Growth) begin(ctx context.Context) *measurement {
	w := sim.New(g.Seed)
	m := &measurement{Growth: g, ctx: ctx, world: w, fleet: NewFleet(w), alive: map[string]int{}, dead: map[string]int{}}
	m.fleet.NoNotes = true
	m.fleet.Seeds = Names(1 + min(g.Moves, 1)) // one in each half
	if g.Rival {
		m.fleet.Seeds = append(Names(g.Nodes), newcomer)
		m.fleet.Core = func(cfg membership.Config, now time.Duration) Core { return newRival(cfg, now) }
	}
	m.fleet.Watch(m.memberChanged)
	return m
}

func (m *measurement) memberChanged(_ *Node, _ time.Duration, c membership.MemberChanged) {
	count := func(x membership.Member, by int) {
		switch {
		case x.Name == "":
		case x.Health <= membership.Suspect:
			m.alive[x.Name] += by
		case x.Health == membership.Dead:
			m.dead[x.Name] += by
		}
	}
	count(c.Before, -1)
	count(c.Member, 1)
	if x := c.Member; x.Health == membership.Dead && m.dead[x.Name] == 1 && m.world.Host(x.Name).Running() {
		m.falseDeathCount++
	}
}

// complete says that every running node has as many alive as there are.
func (m *measurement) complete() bool {
	live := m.fleet.LiveNodes()
	for _, n := range live {
		if n.aliveCount != len(live) {
			return false
		}
	}
	return true
}

func (m *measurement) half(end string) bool { return m.fleet.addrs[end].Addr().As4()[3]%2 == 0 }

func (m *measurement) waitFor(what string, cond func() bool) (time.Duration, error) {
	elapsed, ok := m.world.RunUntil(maxWait, 50*time.Millisecond, func() bool { return m.ctx.Err() != nil || cond() })
	if err := m.ctx.Err(); err != nil {
		return 0, err
	}
	if !ok {
		return 0, fmt.Errorf("%d nodes: not within %v: %s", m.Nodes, maxWait, what)
	}
	return elapsed, nil
}

func (m *measurement) sendRates() (sent, bytes float64) {
	count := func() (sent, bytes int) {
		for _, e := range m.fleet.Nodes {
			sent, bytes = sent+e.SentDatagrams, bytes+e.SentBytes
		}
		return sent, bytes
	}
	s0, b0 := count()
	m.run(idleTime)
	s1, b1 := count()
	nodeSeconds := float64(m.Nodes) * idleTime.Seconds()
	return float64(s1-s0) / nodeSeconds, float64(b1-b0) / nodeSeconds
}

// peak gives, call by call, the most bytes that one node has sent in a second so far.
func (m *measurement) peak() func() int {
	peak, secondStart, bytesBefore := 0, m.world.Now(), map[string]int{}
	for _, e := range m.fleet.Nodes {
		bytesBefore[e.Name] = e.SentBytes
	}
	return func() int {
		if m.world.Now() >= secondStart+time.Second {
			for _, e := range m.fleet.Nodes {
				peak, bytesBefore[e.Name] = max(peak, e.SentBytes-bytesBefore[e.Name]), e.SentBytes
			}
			secondStart += time.Second
		}
		return peak
	}
}

func (m *measurement) falseDeaths(loss float64) float64 {
	lossFault := m.world.Net.AddFault(func(string, string) bool { return true }, func(l *sim.Link) { l.Loss = loss })
	defer m.world.Net.RemoveFault(lossFault)
	m.falseDeathCount = 0
	duration := time.Duration(m.Hours / float64(m.Nodes) * float64(time.Hour))
	m.run(duration)
	return float64(m.falseDeathCount) / (duration.Hours() * float64(m.Nodes))
}
