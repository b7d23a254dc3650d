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
	mostWait = 2 * time.Minute
	idle     = 10 * time.Second
)

// grower is one measurement under way.
type grower struct {
	Growth
	ctx   context.Context // ends it early, within a second of the fleet's time
	w     *sim.World
	f     *Fleet
	alive map[string]int // of how many nodes it is known that they have a name alive
	dead  map[string]int
	wrong int // times that a running node, which nobody held dead, was taken for dead by somebody
}

// Measure plays a fleet of one size through a join, a death, a cut and losses.
func (g Growth) Measure(ctx context.Context) (out Grown, err error) {
	m := g.begin(ctx)
	out.Nodes = g.Nodes
	names := Names(g.Nodes)
	over := max(time.Second, time.Duration(g.Nodes)*time.Second/300)
	m.f.StartAll(names, over)
	m.run(over)
	if out.Joined, err = m.until("all have joined", m.whole); err != nil {
		return out, err
	}
	m.run(5 * time.Second)
	out.Sent, out.Bytes = m.pace()

	victim := names[g.Nodes/2]
	m.w.End(victim).Kill()
	live := g.Nodes - 1
	if out.Death, err = m.until("a death is known", func() bool { return m.dead[victim] == live }); err != nil {
		return out, err
	}
	m.f.Start(newcomer)
	if out.Join, err = m.until(
		"a join is known",
		func() bool { return m.alive[newcomer] >= live && m.whole() },
	); err != nil {
		return out, err
	}
	half := m.w.Net.Break(func(from, to string) bool { return m.side(from) != m.side(to) }, sim.Cut)
	for i := range g.Moves {
		m.run(g.Cut / time.Duration(g.Moves+1))
		m.move(i)
	}
	m.run(g.Cut / time.Duration(g.Moves+1))
	m.w.Net.Mend(half)
	peak := m.peak()
	if out.Heal, err = m.until(
		"the halves are one",
		func() bool { out.Peak = peak(); return m.whole() },
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

// move ends a node of each half, one that nobody begins with, and starts another in it.
func (m *grower) move(i int) {
	for side := range 2 {
		at := m.Nodes - 1 - 2*i - side // neighbours are of different halves
		m.w.End(Names(m.Nodes)[at]).Kill()
		m.f.Start(fmt.Sprint("late", 2*i+side))
	}
}

// run plays on, in steps, unless the measurement is ended.
func (m *grower) run(d time.Duration) {
	for end := m.w.Now() + d; m.w.Now() < end && m.ctx.Err() == nil; {
		m.w.RunTo(min(m.w.Now()+time.Second, end))
	}
}

// newcomer is the node that joins alone. The rival needs it on its list from the beginning.
const newcomer = "x"

func (g Growth) begin(ctx context.Context) *grower {
	w := sim.New(g.Seed)
	m := &grower{Growth: g, ctx: ctx, w: w, f: NewFleet(w), alive: map[string]int{}, dead: map[string]int{}}
	m.f.Quiet = true
	m.f.Seeds = Names(1 + min(g.Moves, 1)) // one in each half
	if g.Rival {
		m.f.Seeds = append(Names(g.Nodes), newcomer)
		m.f.Core = func(cfg membership.Config, now time.Duration) Core { return newRival(cfg, now) }
	}
	m.f.Watch(m.saw)
	return m
}

func (m *grower) saw(_ *Node, _ time.Duration, c membership.MemberChanged) {
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
	if x := c.Member; x.Health == membership.Dead && m.dead[x.Name] == 1 && m.w.End(x.Name).Up() {
		m.wrong++
	}
}

// whole says that every running node has as many alive as there are.
func (m *grower) whole() bool {
	live := m.f.Live()
	for _, n := range live {
		if n.living != len(live) {
			return false
		}
	}
	return true
}

func (m *grower) side(end string) bool { return m.f.addrs[end].Addr().As4()[3]%2 == 0 }

func (m *grower) until(what string, cond func() bool) (time.Duration, error) {
	took, ok := m.w.Until(mostWait, 50*time.Millisecond, func() bool { return m.ctx.Err() != nil || cond() })
	if err := m.ctx.Err(); err != nil {
		return 0, err
	}
	if !ok {
		return 0, fmt.Errorf("%d nodes: not within %v: %s", m.Nodes, mostWait, what)
	}
	return took, nil
}

func (m *grower) pace() (sent, bytes float64) {
	count := func() (sent, bytes int) {
		for _, e := range m.f.Nodes {
			sent, bytes = sent+e.Sent, bytes+e.Bytes
		}
		return sent, bytes
	}
	s0, b0 := count()
	m.run(idle)
	s1, b1 := count()
	per := float64(m.Nodes) * idle.Seconds()
	return float64(s1-s0) / per, float64(b1-b0) / per
}

// peak gives, call by call, the most bytes that one node has sent in a second so far.
func (m *grower) peak() func() int {
	most, at, before := 0, m.w.Now(), map[string]int{}
	for _, e := range m.f.Nodes {
		before[e.Name] = e.Bytes
	}
	return func() int {
		if m.w.Now() >= at+time.Second {
			for _, e := range m.f.Nodes {
				most, before[e.Name] = max(most, e.Bytes-before[e.Name]), e.Bytes
			}
			at += time.Second
		}
		return most
	}
}

func (m *grower) falseDeaths(loss float64) float64 {
	wrong := m.w.Net.Break(func(string, string) bool { return true }, func(l *sim.Link) { l.Loss = loss })
	defer m.w.Net.Mend(wrong)
	m.wrong = 0
	took := time.Duration(m.Hours / float64(m.Nodes) * float64(time.Hour))
	m.run(took)
	return float64(m.wrong) / (took.Hours() * float64(m.Nodes))
}
