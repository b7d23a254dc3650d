package membership

import (
	"math/rand/v2"

	"wrenspread/internal/membership/wire"
)

// Core is one node's part in keeping the view. It is not safe for use by two goroutines at once.
type Core struct {
	cfg     Config
	fleet   uint32
	random  *rand.Rand
	actions []Action
	stats   Stats

	now, wakeAt, nextPeriodAt Time // the latest event; when the last Wake runs out; when the next period begins
	wakePending               bool
	periods                   uint64 // periods so far

	self         *memberState
	byHash       map[uint64]*memberState
	sorted       []*memberState // by hash
	living, dead int            // others
	suspects     int

	version, digest uint64
	rangeSums       [wire.Fanout]uint64
	subrangeSums    [wire.Fanout * wire.Fanout]uint64

	broadcasts      broadcastQueue
	matchingDigests int // datagrams in a row whose senders had the same digest
	probeRound      probeRound
	probe           probe
	seq             uint32
	relays          []relay
	awareness       awareness
	antiEntropy     antiEntropy
	join            seedList
	ownState        ownState

	strangerBudget   int // answers left for strangers in this period
	correctionBudget int // datagrams left in it for senders with an old statement of this node
	yielded, left    bool
	leavePeriodsLeft int // periods in which the leave is still to be broadcast; 0: not leaving
}

// Stats count what the core has done and met since its start.
type Stats struct {
	Sent, Bytes     uint64 // datagrams and bytes sent
	Received        uint64 // datagrams of this fleet that could be read
	Dropped         uint64 // datagrams of other fleets, of other kinds, or not to be read
	Refused         uint64 // strangers rejected as the view is full
	Probes, Failed  uint64 // probes begun, probes without any answer
	Refuted         uint64 // accusations of oneself that were refuted
	Late            uint64 // wakes that came late
	Synced          uint64 // digests sent since views differed
	Health          int    // 0 well, to 4: timeouts stretched to five times
	Living, Members int    // others living; all remembered, own included
}

// New returns a core that has not said anything yet; the first Tick starts it. cfg has passed Check.
func New(cfg Config, now Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:          cfg,
		fleet:        wire.FleetHash(cfg.Fleet),
		now:          now,
		nextPeriodAt: now,
		wakeAt:       now,
		byHash:       map[uint64]*memberState{},
		random:       rand.New(rand.NewPCG(cfg.RandomSeed, wire.Hash(cfg.Name))),
	}
	c.seq = c.random.Uint32()
	c.join.set(cfg.Seeds, cfg.Addr, c.random)
	st := cfg.own()
	c.self = c.addMember(st)
	c.updateMember(c.self, st)
	c.actions = nil
	return c
}

// Stats returns the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Health, s.Living, s.Members = c.awareness.score, c.living, len(c.sorted)
	return s
}

// Handle takes an event and gives what is to be done.
func (c *Core) Handle(now Time, e Event) []Action {
	c.actions = nil
	c.now = max(now, c.now)
	if c.yielded || c.left {
		return nil
	}
	c.checkWakeLateness()
	switch e := e.(type) {
	case Received:
		c.received(e)
	case MetadataChanged:
		c.metadataChanged(e.Metadata)
	case Leave:
		c.leave()
	case Join:
		c.join.set(e.Addrs, c.cfg.Addr, c.random)
	}
	if !c.yielded && !c.left {
		c.runDue()
	}
	if _, tick := e.(Tick); !c.yielded && !c.left {
		c.requestWake(tick)
	}
	return c.actions
}

// runDue does what the time has come for.
func (c *Core) runDue() {
	if c.now >= c.nextPeriodAt {
		c.endProbe()
		c.runPeriod()
		c.nextPeriodAt = max(c.nextPeriodAt+c.probeInterval(), c.now+c.probeInterval()/2)
	}
	c.sendIndirectProbes()
	c.expireRelays()
}

// runPeriod is one period: the same few datagrams each time, however large the fleet is.
func (c *Core) runPeriod() {
	c.periods++
	c.strangerBudget = strangersPerPeriod
	c.correctionBudget = correctionsPerPeriod
	c.antiEntropy.credit = syncPerPeriod
	c.expireSuspects()
	c.expireDeparted()
	if c.leavePeriodsLeft > 0 {
		c.leavePeriod()
		return
	}
	c.startProbe()
	c.notifySuspect()
	c.gossipBroadcasts()
	c.probeDead()
	c.probeSeed()
	c.startAntiEntropy()
}

// requestWake asks for the next tick if it differs from the one asked for, or that one has come.
func (c *Core) requestWake(tick bool) {
	due := c.nextPeriodAt
	if c.probe.awaitsDirectAck() {
		due = min(due, c.probe.indirectAt)
	}
	for _, r := range c.relays {
		if !r.nacked {
			due = min(due, r.nackAt)
		}
	}
	if tick || due != c.wakeAt {
		c.wakeAt = due
		c.actions = append(c.actions, Wake{After: due - c.now})
	}
}

// newDatagram fills the head.
func (c *Core) newDatagram(d wire.Datagram) []byte {
	d.Fleet, d.Sender, d.Generation, d.Digest = c.fleet, c.self.hash, c.self.statement.Generation, c.digest
	return d.Encode()
}

func (c *Core) newHeader(kind wire.Kind) []byte {
	return c.newDatagram(wire.Datagram{Header: wire.Header{Kind: kind}})
}

func (c *Core) newNumbered(kind wire.Kind, seq uint32, target uint64) []byte {
	return c.newDatagram(wire.Datagram{Header: wire.Header{Kind: kind}, Seq: seq, Target: target})
}

func (c *Core) sendTo(r *memberState, b []byte) {
	c.send(Send{Name: r.statement.Name, To: r.statement.Addr, Data: b})
}

func (c *Core) send(s Send) {
	c.stats.Sent++
	c.stats.Bytes += uint64(len(s.Data))
	c.actions = append(c.actions, s)
}
