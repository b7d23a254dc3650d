package membership

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// Growth describes a measurement of the view's cost and speed in a fleet of one size.
type Growth struct {
	Nodes          int
	Seed           uint64
	Rival          bool          // measures the type rival, in which every node probes every other node
	Losses         []float64     // fractions of lost datagrams at which false deaths are counted
	NodeHours      float64       // node hours of counting at each loss
	Cut            time.Duration // how long the two halves of the fleet are cut off from each other
	ChangesPerHalf int           // deaths and joins in each half, spread evenly over the cut
}

// GrowthResult is the result of a Growth. Each time in it ends when all running nodes have reported the
// change of their view.
type GrowthResult struct {
	Nodes                              int
	DatagramsPerSecond, BytesPerSecond float64       // per node, in a fleet without changes
	Joined                             time.Duration // from the last start until all nodes have joined
	Join                               time.Duration // of one further node
	Death                              time.Duration // of one node
	Heal                               time.Duration // of the cut, until all views are complete
	PeakBytes                          int           // most bytes that one node sent in a second of the heal
	FalseDeaths                        []float64     // of running nodes, per node and hour, by loss
}

const (
	// maxWait bounds each measured time; a longer wait is an error.
	maxWait = 2 * time.Minute
	// idleTime is how long the send rates are measured, in a fleet without changes.
	idleTime = 10 * time.Second
)

// measurement is the state of a running Growth.Measure.
type measurement struct {
	Growth
	ctx             context.Context // ends the measurement early, within a second of simulated time
	world           *sim.World
	fleet           *Fleet
	alive           map[string]int // by name: number of views in which the member is alive or suspect
	dead            map[string]int // by name: number of views in which the member is dead
	falseDeathCount int            // number of times that a running node became dead in a first view
}

// Measure simulates a fleet of one size through a join, a death, a cut into halves and losses of datagrams.
func (g Growth) Measure(ctx context.Context) (out GrowthResult, err error) {
	m := g.begin(ctx)
	out.Nodes = g.Nodes
	names := Names(g.Nodes)
	startTime := max(time.Second, time.Duration(g.Nodes)*time.Second/300)
	m.fleet.StartAll(names, startTime)
	m.run(startTime)
	if out.Joined, err = m.waitFor("all nodes have joined", m.complete); err != nil {
		return out, err
	}
	m.run(5 * time.Second)
	out.DatagramsPerSecond, out.BytesPerSecond = m.sendRates()

	victim := names[g.Nodes/2]
	m.world.Host(victim).Kill()
	live := g.Nodes - 1
	if out.Death, err = m.waitFor(
		"all nodes know of the death",
		func() bool { return m.dead[victim] == live },
	); err != nil {
		return out, err
	}
	m.fleet.Start(newcomer)
	if out.Join, err = m.waitFor(
		"all nodes know of the join",
		func() bool { return m.alive[newcomer] >= live && m.complete() },
	); err != nil {
		return out, err
	}
	partition := m.world.Net.AddFault(
		func(from, to string) bool { return m.half(from) != m.half(to) },
		sim.CutLink,
	)
	for i := range g.ChangesPerHalf {
		m.run(g.Cut / time.Duration(g.ChangesPerHalf+1))
		m.replaceNodes(i)
	}
	m.run(g.Cut / time.Duration(g.ChangesPerHalf+1))
	m.world.Net.RemoveFault(partition)
	peak := m.peak()
	if out.Heal, err = m.waitFor(
		"all views are complete after the cut",
		func() bool { out.PeakBytes = peak(); return m.complete() },
	); err != nil {
		return out, err
	}
	m.run(time.Second) // peak counts full seconds, and the heal may take less than one
	out.PeakBytes = peak()
	for _, loss := range g.Losses {
		m.run(5 * time.Second)
		out.FalseDeaths = append(out.FalseDeaths, m.falseDeaths(loss))
	}
	return out, ctx.Err()
}

// replaceNodes kills one node in each half and starts a new node in its place. i is the number of earlier
// calls. The killed nodes are not seeds.
func (m *measurement) replaceNodes(i int) {
	for side := range 2 {
		index := m.Nodes - 1 - 2*i - side // adjacent nodes belong to different halves
		m.world.Host(Names(m.Nodes)[index]).Kill()
		m.fleet.Start(fmt.Sprint("late", 2*i+side))
	}
}

// run simulates for a time, in steps, unless the context ends.
func (m *measurement) run(d time.Duration) {
	for end := m.world.Now() + d; m.world.Now() < end && m.ctx.Err() == nil; {
		m.world.RunTo(min(m.world.Now()+time.Second, end))
	}
}

// newcomer is the node that joins alone. The rival's list of peers is fixed, so it has the newcomer from the
// beginning.
const newcomer = "x"

// begin prepares a world and a fleet without nodes.
func (g Growth) begin(ctx context.Context) *measurement {
	w := sim.New(g.Seed)
	m := &measurement{
		Growth: g,
		ctx:    ctx,
		world:  w,
		fleet:  NewFleet(w),
		alive:  map[string]int{},
		dead:   map[string]int{},
	}
	m.fleet.NoNotes = true
	m.fleet.Seeds = Names(1 + min(g.ChangesPerHalf, 1)) // one in each half, if nodes are to join in both
	if g.Rival {
		m.fleet.Seeds = append(Names(g.Nodes), newcomer)
		m.fleet.Core = func(cfg membership.Config, now time.Duration) Core { return newRival(cfg, now) }
	}
	m.fleet.Watch(m.memberChanged)
	return m
}

// memberChanged keeps the counts of views by member health, and the count of false deaths.
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

// complete reports whether every running node has as many living members as there are running nodes.
func (m *measurement) complete() bool {
	live := m.fleet.LiveNodes()
	for _, n := range live {
		if n.aliveCount != len(live) {
			return false
		}
	}
	return true
}

// half reports which half of the fleet a host belongs to, by its address.
func (m *measurement) half(host string) bool { return m.fleet.addrs[host].Addr().As4()[3]%2 == 0 }

// waitFor simulates until cond holds, and returns how long that took. A wait longer than maxWait is an error.
// condition describes cond in that error.
func (m *measurement) waitFor(condition string, cond func() bool) (time.Duration, error) {
	elapsed, ok := m.world.RunUntil(
		maxWait,
		50*time.Millisecond,
		func() bool { return m.ctx.Err() != nil || cond() },
	)
	if err := m.ctx.Err(); err != nil {
		return 0, err
	}
	if !ok {
		return 0, fmt.Errorf("%d nodes: not reached within %v: %s", m.Nodes, maxWait, condition)
	}
	return elapsed, nil
}

// sendRates runs the simulation for idleTime and returns the datagrams and bytes sent per node and second in
// that time: the growth of the nodes' counters, divided by the number of nodes and by idleTime. If the
// context ends the run early, the rates are too low.
func (m *measurement) sendRates() (sent, bytes float64) {
	count := func() (sent, bytes int) {
		for _, host := range m.fleet.Nodes {
			sent, bytes = sent+host.SentDatagrams, bytes+host.SentBytes
		}
		return sent, bytes
	}
	s0, b0 := count()
	m.run(idleTime)
	s1, b1 := count()
	nodeSeconds := float64(m.Nodes) * idleTime.Seconds()
	return float64(s1-s0) / nodeSeconds, float64(b1-b0) / nodeSeconds
}

// peak returns a function that returns the most bytes that one node has sent in a second so far. The function
// must be called several times a second.
func (m *measurement) peak() func() int {
	peak, secondStart, bytesBefore := 0, m.world.Now(), map[string]int{}
	for _, host := range m.fleet.Nodes {
		bytesBefore[host.Name] = host.SentBytes
	}
	return func() int {
		if m.world.Now() >= secondStart+time.Second {
			for _, host := range m.fleet.Nodes {
				peak, bytesBefore[host.Name] = max(peak, host.SentBytes-bytesBefore[host.Name]), host.SentBytes
			}
			secondStart += time.Second
		}
		return peak
	}
}

// falseDeaths simulates a loss of datagrams, and returns the false deaths per node and hour.
func (m *measurement) falseDeaths(loss float64) float64 {
	lossFault := m.world.Net.AddFault(
		func(string, string) bool { return true },
		func(l *sim.Link) { l.Loss = loss },
	)
	defer m.world.Net.RemoveFault(lossFault)
	m.falseDeathCount = 0
	duration := time.Duration(m.NodeHours / float64(m.Nodes) * float64(time.Hour))
	m.run(duration)
	return float64(m.falseDeathCount) / (duration.Hours() * float64(m.Nodes))
}
