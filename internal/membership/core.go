package membership

import (
	"math/rand/v2"

	"wrenspread/internal/membership/wire"
)

// Core is one node's part in keeping the view. It is not safe for use by two goroutines at once.
type Core struct {
	cfg   Config
	fleet uint32
	rng   *rand.Rand
	out   []Action
	stats Stats

	now, due, next Time // the latest event; when the last Wake runs out; when the next period begins
	awake          bool
	beats          uint64 // periods so far

	self         *record
	byHash       map[uint64]*record
	order        []*record // by hash
	living, dead int       // others
	suspects     int

	number, root uint64
	sums16       [wire.Fanout]uint64
	sums256      [wire.Fanout * wire.Fanout]uint64

	news   news
	agreed int // datagrams in a row whose senders had the same digest
	round  round
	probe  probe
	seq    uint32
	relays []relay
	health health
	sync   syncing
	join   joining
	own    own

	strangers     int // answers left for strangers in this period
	corrections   int // datagrams left in it for senders with an old word of this node
	yielded, gone bool
	leaveLeft     int // periods in which the leave is still to be told; 0: not leaving
}

// Stats count what the core has done and met since its start.
type Stats struct {
	Sent, Bytes     uint64 // datagrams and bytes handed out
	Received        uint64 // datagrams of this fleet that could be read
	Dropped         uint64 // datagrams of other fleets, of other kinds, or not to be read
	Refused         uint64 // strangers that found no room
	Probes, Failed  uint64 // probes begun, probes without any answer
	Refuted         uint64 // accusations of oneself that were refuted
	Late            uint64 // wakes that came late
	Synced          uint64 // digests sent since views differed
	Health          int    // 0 well, to 4: time-outs stretched to five times
	Living, Members int    // others living; all remembered, own included
}

// New gives a core that has not said anything yet; the first Tick starts it. cfg has passed Check.
func New(cfg Config, now Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{cfg: cfg, fleet: wire.FleetHash(cfg.Fleet), now: now, next: now, due: now, byHash: map[uint64]*record{},
		rng: rand.New(rand.NewPCG(cfg.Seed, wire.Hash(cfg.Name)))}
	c.seq = c.rng.Uint32()
	c.join.set(cfg.Seeds, cfg.Addr, c.rng)
	st := cfg.own()
	c.self = c.admit(st)
	c.set(c.self, st)
	c.out = nil
	return c
}

// Stats gives the counts so far.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Health, s.Living, s.Members = c.health.level, c.living, len(c.order)
	return s
}

// Handle takes an event and gives what is to be done.
func (c *Core) Handle(now Time, e Event) []Action {
	c.out = nil
	c.now = max(now, c.now)
	if c.yielded || c.gone {
		return nil
	}
	c.noteLate()
	switch e := e.(type) {
	case Received:
		c.received(e)
	case FactsChanged:
		c.factsChanged(e.Facts)
	case Leave:
		c.leave()
	case Join:
		c.join.set(e.Addrs, c.cfg.Addr, c.rng)
	}
	if !c.yielded && !c.gone {
		c.run()
	}
	if _, tick := e.(Tick); !c.yielded && !c.gone {
		c.wake(tick)
	}
	return c.out
}

// run does what the time has come for.
func (c *Core) run() {
	if c.now >= c.next {
		c.endProbe()
		c.beat()
		c.next = max(c.next+c.period(), c.now+c.period()/2)
	}
	c.askOthers()
	c.expireRelays()
}

// beat is one period: the same few datagrams each time, however large the fleet is.
func (c *Core) beat() {
	c.beats++
	c.strangers, c.corrections, c.sync.credit = strangersPerPeriod, correctionsPerPeriod, syncPerPeriod
	c.expireSuspects()
	c.putAway()
	if c.leaveLeft > 0 {
		c.leaving()
		return
	}
	c.startProbe()
	c.warnSuspect()
	c.spread()
	c.askDead()
	c.askSeeds()
	c.startSync()
}

// wake asks for the next tick if it differs from the one asked for, or that one has come.
func (c *Core) wake(tick bool) {
	due := c.next
	if c.probe.waits() {
		due = min(due, c.probe.askAt)
	}
	for _, r := range c.relays {
		if !r.nacked {
			due = min(due, r.due)
		}
	}
	if tick || due != c.due {
		c.due = due
		c.out = append(c.out, Wake{After: due - c.now})
	}
}

// datagram fills the head.
func (c *Core) datagram(d wire.Datagram) []byte {
	d.Fleet, d.Sender, d.Life, d.Digest = c.fleet, c.self.hash, c.self.st.Life, c.root
	return d.Encode()
}

func (c *Core) head(kind wire.Kind) []byte {
	return c.datagram(wire.Datagram{Head: wire.Head{Kind: kind}})
}

func (c *Core) numbered(kind wire.Kind, seq uint32, target uint64) []byte {
	return c.datagram(wire.Datagram{Head: wire.Head{Kind: kind}, Seq: seq, Target: target})
}

func (c *Core) sendTo(r *record, b []byte) { c.send(Send{Name: r.st.Name, To: r.st.Addr, Data: b}) }

func (c *Core) send(s Send) {
	c.stats.Sent++
	c.stats.Bytes += uint64(len(s.Data))
	c.out = append(c.out, s)
}
