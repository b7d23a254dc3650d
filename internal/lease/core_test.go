package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// sim plays processes' cores against the service's state machine, on clocks that
// run at different rates, with messages that are late or lost.
type sim struct {
	chance  *rand.Rand
	real    time.Duration
	state   *registry.State
	due     *registry.SessionExpiry
	rate    float64 // of the leader's clock
	procs   []*player
	flight  []message
	trouble bool // processes stand still now and then, and their work with them
	guard   bool // the resource checks fences
	high    uint64
	last    string // who wrote last, and under what
	wrong   string
	granted uint64 // the highest fence
	grants  int
}

type message struct {
	at time.Duration
	do func()
}

type player struct {
	c       *core
	want    *candidacy
	rate    float64
	session string
	n       int
	running uint64
	stopAt  time.Duration // real; 0: it was not told to stop
	still   time.Duration // until then it stands still
	cut     time.Duration // until then it is cut off from the service
	renewAt time.Duration // local
}

const (
	simTTL  = 2 * time.Second
	simStep = 20 * time.Millisecond
	simTime = 40 * time.Second
)

func (s *sim) leader() time.Duration { return time.Duration(s.rate * float64(s.real)) }

func (p *player) now(s *sim) time.Duration { return time.Duration(p.rate*float64(s.real)) + 1 }

// drawRate draws a clock's rate, often at its bounds.
func (s *sim) drawRate() float64 {
	return []float64{1 - maxClockDrift, 1, 1 + maxClockDrift}[s.chance.IntN(3)]
}

// send has something of a process's done after a while, or never.
func (s *sim) send(p *player, do func()) {
	if s.real < p.cut {
		return
	}
	late := time.Duration(s.chance.IntN(60)) * time.Millisecond
	switch s.chance.IntN(40) {
	case 0:
		return
	case 1:
		late = time.Duration(s.chance.Int64N(int64(3 * simTTL)))
	}
	s.flight = append(s.flight, message{s.real + late, do})
}

func (s *sim) apply(c registry.Command) registry.Result {
	c.Grant = []string{"d"}
	r := s.state.Apply(c)
	d, _ := s.state.Lease("d") // forgotten where nobody wants it
	if d.Token != 0 && d.Token < s.granted {
		s.wrong = fmt.Sprintf("fence %d after %d", d.Token, s.granted)
	}
	if d.Token > s.granted {
		s.granted = d.Token
		s.grants++
	}
	return r
}

func newSim(seed uint64, ttl time.Duration) *sim {
	s := &sim{chance: rand.New(rand.NewPCG(seed, 7)), state: registry.NewState(), guard: true}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	s.rate = s.drawRate()
	s.due = registry.NewSessionExpiry(nil, 0)
	for range 3 {
		p := &player{c: &core{ttl: ttl}, rate: s.drawRate()}
		p.want = p.c.add(
			registry.Candidacy{Lease: "d", Priority: s.chance.IntN(2), Preempt: s.chance.IntN(3) == 0},
			0,
		)
		s.procs = append(s.procs, p)
	}
	return s
}

func (s *sim) run() {
	for ; s.real < simTime && s.wrong == ""; s.real += simStep {
		s.serve()
		flight := s.flight
		s.flight = nil
		for _, m := range flight {
			if m.at <= s.real {
				m.do()
			} else {
				s.flight = append(s.flight, m)
			}
		}
		for i, p := range s.procs {
			s.turn(i, p)
		}
		s.overlap()
	}
}

// serve is the leader: it ends sessions, and now and then another follows it.
func (s *sim) serve() {
	if s.chance.IntN(400) == 0 {
		s.rate = s.drawRate()
		s.due = registry.NewSessionExpiry(s.state.Sessions(), s.leader())
	}
	if ids := s.due.Due(s.leader()); len(ids) > 0 {
		s.apply(registry.Command{Op: registry.OpCloseSessions, Sessions: ids})
	}
	if s.chance.IntN(300) == 0 {
		s.apply(registry.Command{Op: registry.OpTransfer, Name: "d"})
	}
}

// turn lets a process do what it does, unless it stands still.
func (s *sim) turn(i int, p *player) {
	if s.trouble && s.chance.IntN(300) == 0 {
		p.still = s.real + time.Duration(s.chance.Int64N(int64(3*simTTL)))
	}
	if s.real < p.still {
		return
	}
	if s.chance.IntN(300) == 0 {
		p.cut = s.real + time.Duration(s.chance.Int64N(int64(3*simTTL)))
	}
	if p.running != 0 {
		s.write(i, p)
	}
	if p.stopAt != 0 && s.real >= p.stopAt {
		p.running, p.stopAt = 0, 0
		p.c.workEnded(p.now(s), p.want, []error{nil, fmt.Errorf("failed")}[s.chance.IntN(2)])
		p.want.cancelled = false // it wants it again
	} else if p.running != 0 && p.stopAt == 0 && s.chance.IntN(200) == 0 {
		p.running = 0 // it fails by itself
		p.c.workEnded(p.now(s), p.want, fmt.Errorf("failed"))
	}
	if s.chance.IntN(1000) == 0 { // it dies, and a new process comes
		p.c, p.running, p.stopAt, p.session = &core{ttl: p.c.ttl}, 0, 0, ""
		p.want = p.c.add(registry.Candidacy{Lease: "d"}, 0)
	}
	s.talk(i, p)
	for _, a := range p.c.step(p.now(s)) {
		s.act(p, a)
	}
}

func (s *sim) act(p *player, a action) {
	c, w, id := p.c, a.candidacy, p.session
	switch a.kind {
	case startWork:
		p.running = a.token
	case stopWork:
		p.stopAt = s.real + time.Duration(s.chance.Int64N(int64(simTTL/stopFraction-2*simStep)))
	default:
		do := registry.OpCampaign
		if a.kind == releaseLease {
			do = registry.OpRelease
		}
		answered := false
		s.send(p, func() {
			r := s.apply(
				registry.Command{Op: do, Session: &registry.Session{ID: id}, Candidacies: []registry.Candidacy{w.spec}},
			)
			s.send(p, func() {
				if answered = true; p.c == c && p.session == id {
					c.callEnded(a.kind, w, r.Code == registry.Applied)
				}
			})
		})
		s.flight = append(s.flight, message{s.real + 4*simTTL, func() {
			if !answered && p.c == c && p.session == id {
				c.callEnded(a.kind, w, false)
			}
		}})
	}
}

// talk opens and renews a process's session, and asks for its duties.
func (s *sim) talk(i int, p *player) {
	now, c := p.now(s), p.c
	if now < p.renewAt && !c.needsRenewal() {
		return
	}
	p.renewAt = now + simTTL/4
	if !c.open {
		p.n++
		id := fmt.Sprintf("p%d-%d", i, p.n)
		s.send(p, func() {
			one := registry.Session{ID: id, Process: fmt.Sprint("p", i), TTL: simTTL}
			s.apply(registry.Command{Op: registry.OpOpenSession, Session: &one})
			s.due.Set(one, s.leader())
			s.send(p, func() {
				if p.c == c && !c.open {
					p.session = id
					c.sessionOpened()
				}
			})
		})
		return
	}
	id := p.session
	s.send(p, func() {
		known := s.due.Renew(id, s.leader())
		s.send(p, func() {
			if p.c != c || p.session != id {
				return
			}
			if known {
				c.renewed(now)
			} else {
				c.sessionLost()
			}
		})
	})
	s.send(p, func() {
		all, ok := s.state.Leases(id)
		a := registry.LeasesResponse{Index: s.state.LeasesVersion(), Epoch: "e", Leases: all}
		s.send(p, func() {
			if ok && p.c == c && p.session == id {
				c.leasesReported(p.now(s), id, a)
			}
		})
	})
}

// write is one write of a process's work to a resource outside.
func (s *sim) write(i int, p *player) {
	who := fmt.Sprintf("p%d under %d", i, p.running)
	if s.guard && p.running < s.high {
		return // turned down
	}
	if p.running < s.high {
		s.wrong = fmt.Sprintf("at %v %s writes after %s", s.real, who, s.last)
	}
	s.high, s.last = max(s.high, p.running), who
}

// overlap looks for two whose work goes on at the same time.
func (s *sim) overlap() {
	n := 0
	for _, p := range s.procs {
		if p.running != 0 {
			n++
		}
	}
	if n > 1 && !s.trouble {
		s.wrong = fmt.Sprintf("at %v the work of %d goes on at once", s.real, n)
	}
}

// schedules is how many are drawn; a part of them under the race detector, which takes ten times as long.
var schedules = map[bool]int{false: 1000, true: 200}[raceDetector]

// TestOneAtATime: with clocks off by the stated bound, late and lost messages,
// failovers, failing work and dying processes, never do two work at once, and the
// duty does not stay without a holder.
func TestOneAtATime(t *testing.T) {
	grants := 0
	for seed := range uint64(schedules) {
		s := newSim(seed, simTTL)
		s.run()
		if s.wrong != "" {
			t.Fatalf("seed %d: %s", seed, s.wrong)
		}
		grants += s.grants
	}
	if grants < 2*schedules {
		t.Errorf("only %d grants in %d schedules", grants, schedules)
	}
}

// TestStandStill: where processes stand still and go on in the middle of their
// work, no write gets through after one under a higher fence.
func TestStandStill(t *testing.T) {
	for seed := range uint64(schedules) {
		s := newSim(seed, simTTL)
		s.trouble = true
		s.run()
		if s.wrong != "" {
			t.Fatalf("seed %d: %s", seed, s.wrong)
		}
	}
}

// TestTheChecksCanFail: without the margin, and without the fences, the checks above find what is wrong.
func TestTheChecksCanFail(t *testing.T) {
	margin, fences := 0, 0
	for seed := range uint64(200) {
		s := newSim(
			seed,
			simTTL*7/6,
		) // safe then gives all of the lease: nothing is left for drift and for the work to stop in
		s.run()
		if s.wrong != "" {
			margin++
		}
		s = newSim(seed, simTTL)
		s.trouble, s.guard = true, false
		s.run()
		if s.wrong != "" {
			fences++
		}
	}
	t.Logf("of 200 schedules %d fail without the margin, %d without the fences", margin, fences)
	if margin == 0 || fences == 0 {
		t.Errorf("of 200 schedules %d fail without the margin, %d without the fences", margin, fences)
	}
}

// TestRanks: at the end what has a higher rank is handed on first, and nothing of a lower one before that is done.
func TestRanks(t *testing.T) {
	c := &core{ttl: simTTL}
	c.sessionOpened()
	a := registry.LeasesResponse{Index: 1}
	for i, rank := range []int{0, 2, 2, -1} {
		w := c.add(registry.Candidacy{Lease: fmt.Sprint("d", i)}, rank)
		a.Leases = append(a.Leases, registry.Lease{Name: w.spec.Lease, Holder: "me", Token: uint64(i + 2)})
	}
	c.leasesReported(1, "me", a)
	c.renewed(2)
	if n := len(c.step(3)); n != 4 {
		t.Fatalf("%d begin", n)
	}
	c.closing = true
	for _, want := range []int{2, 1, 1} {
		stops := c.step(4)
		for _, s := range stops {
			c.workEnded(5, s.candidacy, nil)
		}
		gives := c.step(6)
		for _, g := range gives {
			c.callEnded(g.kind, g.candidacy, true)
		}
		if len(stops) != want || len(gives) != want || stops[0].kind != stopWork || gives[0].kind != releaseLease {
			t.Fatalf("%+v and then %+v, want %d", stops, gives, want)
		}
	}
	if more := c.step(7); len(more) != 0 {
		t.Errorf("after all is handed on there is %+v", more)
	}
}
