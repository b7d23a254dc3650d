package membership

import (
	"math/rand/v2"

	"wrenspread/internal/membership/wire"
)

// Core runs the protocol for one node and maintains the node's view. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	fleet   uint32
	random  *rand.Rand
	actions []Action
	stats   Stats

	// now is the time of the latest event, wakeAt when the last Wake expires, and nextPeriodAt when the next
	// period begins.
	now, wakeAt, nextPeriodAt Time
	wakePending               bool   // a Wake has been requested
	periods                   uint64 // number of periods so far

	self                   *memberState
	byHash                 map[uint64]*memberState
	sorted                 []*memberState // all members, self included, by hash
	livingCount, deadCount int            // number of other members that are living, and that are dead
	suspectCount           int            // number of other members that are suspect; they also count as living

	version, digest uint64
	rangeSums       [wire.Fanout]uint64
	subrangeSums    [wire.Fanout * wire.Fanout]uint64

	broadcasts      broadcastQueue
	matchingDigests int // consecutive datagrams whose senders had this node's digest
	probeRound      probeRound
	probe           probe
	lastSeq         uint32
	relays          []relay
	awareness       awareness
	antiEntropy     antiEntropy
	seeds           seedList
	ownState        ownState

	strangerBudget      int // answers to strangers that may still be sent in this period
	correctionBudget    int // corrections that may still be sent in this period
	hasYielded, hasLeft bool
	leavePeriodsLeft    int // periods in which the leave is still to be broadcast; 0 means not leaving
}

// Stats are the core's counters since its start, and its present health and numbers of members.
type Stats struct {
	Sent, Bytes     uint64 // datagrams and bytes sent
	Received        uint64 // decoded datagrams of this fleet
	Dropped         uint64 // datagrams of other fleets, of other kinds, or that could not be decoded
	Refused         uint64 // members rejected because the view is full
	Probes, Failed  uint64 // probes started, probes without any answer
	Refuted         uint64 // accusations of this node that it refuted
	Late            uint64 // wakes that came late
	Synced          uint64 // digests sent because views differed
	Health          int    // awareness score, 0 (good) to 4: timeouts are multiplied by 1 + Health
	Living, Members int    // number of other living members; of all remembered members and this node
}

// New returns a core that has not sent anything yet; the first Tick starts it. cfg has passed Check.
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
	c.lastSeq = c.random.Uint32()
	c.seeds.set(cfg.Seeds, cfg.Addr, c.random)
	statement := cfg.ownStatement()
	c.self = c.addMember(statement)
	c.updateMember(c.self, statement)
	c.actions = nil
	return c
}

// Stats returns the counters and present values.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Health, s.Living, s.Members = c.awareness.score, c.livingCount, len(c.sorted)
	return s
}

// Handle handles an event and returns the actions for the owner to carry out.
func (c *Core) Handle(now Time, e Event) []Action {
	c.actions = nil
	c.now = max(now, c.now)
	if c.hasYielded || c.hasLeft {
		return nil
	}
	c.checkWakeLateness()
	switch e := e.(type) {
	case Received:
		c.receiveDatagram(e)
	case MetadataChanged:
		c.setMetadata(e.Metadata)
	case Leave:
		c.leave()
	case Join:
		c.seeds.set(e.Addrs, c.cfg.Addr, c.random)
	}
	if !c.hasYielded && !c.hasLeft {
		c.runDue()
	}
	if _, tick := e.(Tick); !c.hasYielded && !c.hasLeft {
		c.requestWake(tick)
	}
	return c.actions
}

// runDue does the work that is due: the next period, indirect probes, and answers to relay requests.
func (c *Core) runDue() {
	if c.now >= c.nextPeriodAt {
		c.endProbe()
		c.runPeriod()
		c.nextPeriodAt = max(c.nextPeriodAt+c.probeInterval(), c.now+c.probeInterval()/2)
	}
	c.sendIndirectProbes()
	c.expireRelays()
}

// runPeriod does the work of one period. The number of datagrams that it sends does not depend on the size of
// the fleet.
func (c *Core) runPeriod() {
	c.periods++
	c.strangerBudget = strangersPerPeriod
	c.correctionBudget = correctionsPerPeriod
	c.antiEntropy.datagramCredit = syncPerPeriod
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

// requestWake requests a Tick for the next time at which work is due. It does so if that time has changed, or
// if the present event is a Tick.
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

// newDatagram encodes a datagram with the header filled in.
func (c *Core) newDatagram(d wire.Datagram) []byte {
	d.Fleet, d.Sender, d.Generation, d.Digest = c.fleet, c.self.hash, c.self.statement.Generation, c.digest
	return d.Encode()
}

// newHeader returns a datagram that has only a header, to which statements can be appended.
func (c *Core) newHeader(kind wire.Kind) []byte {
	return c.newDatagram(wire.Datagram{Header: wire.Header{Kind: kind}})
}

// newNumbered returns a datagram of a kind with a sequence number and, for some kinds, a target.
func (c *Core) newNumbered(kind wire.Kind, seq uint32, target uint64) []byte {
	return c.newDatagram(wire.Datagram{Header: wire.Header{Kind: kind}, Seq: seq, Target: target})
}

func (c *Core) sendTo(member *memberState, b []byte) {
	c.send(Send{Name: member.statement.Name, To: member.statement.Addr, Data: b})
}

func (c *Core) send(s Send) {
	c.stats.Sent++
	c.stats.Bytes += uint64(len(s.Data))
	c.actions = append(c.actions, s)
}
