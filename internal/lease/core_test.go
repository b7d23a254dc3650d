package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// sim runs the cores of several processes against the registry's state machine, on clocks that run at
// different rates, with messages that are delayed or lost.
type sim struct {
	rng             *rand.Rand
	realTime        time.Duration
	state           *registry.State
	expiry          *registry.SessionExpiry
	leaderRate      float64 // rate of the leader's clock
	processes       []*simProcess
	inFlight        []message
	pausesProcesses bool // processes, and their work with them, are paused from time to time
	checksTokens    bool // the resource checks fencing tokens
	highestWritten  uint64
	lastWriter      string // the process that wrote last, and its token
	violation       string
	highestGranted  uint64 // the highest fencing token that was granted
	grants          int
}

// message is a call in transit, to be delivered at a time.
type message struct {
	at      time.Duration
	deliver func()
}

// simProcess is a process of the simulation with its core and its work.
type simProcess struct {
	core         *core
	candidacy    *candidacy
	rate         float64
	session      string
	sessions     int
	runningToken uint64
	stopAt       time.Duration // real time at which the work stops; 0: its context is not cancelled
	pausedUntil  time.Duration // real time until which the process is paused
	cutOffUntil  time.Duration // real time until which the process is cut off from the registry
	renewAt      time.Duration // time of the next renewal by the process's clock
}

const (
	simTTL  = 2 * time.Second
	simStep = 20 * time.Millisecond
	simTime = 40 * time.Second
)

// leaderNow returns the time of the leader's clock.
func (s *sim) leaderNow() time.Duration { return time.Duration(s.leaderRate * float64(s.realTime)) }

// now returns the time of the process's clock.
func (p *simProcess) now(s *sim) time.Duration { return time.Duration(p.rate*float64(s.realTime)) + 1 }

// drawRate draws the rate of a clock, often at one of its bounds.
func (s *sim) drawRate() float64 {
	return []float64{1 - maxClockDrift, 1, 1 + maxClockDrift}[s.rng.IntN(3)]
}

// send delivers a message of a process after a random delay, or never.
func (s *sim) send(p *simProcess, deliver func()) {
	if s.realTime < p.cutOffUntil {
		return
	}
	delay := time.Duration(s.rng.IntN(60)) * time.Millisecond
	switch s.rng.IntN(40) {
	case 0:
		return
	case 1:
		delay = time.Duration(s.rng.Int64N(int64(3 * simTTL)))
	}
	s.inFlight = append(s.inFlight, message{s.realTime + delay, deliver})
}

// apply applies a command to the state and checks that the fencing token does not fall.
func (s *sim) apply(c registry.Command) registry.Result {
	c.Grant = []string{"d"}
	r := s.state.Apply(c)
	lease, _ := s.state.Lease("d") // an unused lease does not exist, its token is then 0
	if lease.Token != 0 && lease.Token < s.highestGranted {
		s.violation = fmt.Sprintf("fencing token %d after %d", lease.Token, s.highestGranted)
	}
	if lease.Token > s.highestGranted {
		s.highestGranted = lease.Token
		s.grants++
	}
	return r
}

// newSim returns a simulation of three processes whose cores assume a TTL.
func newSim(seed uint64, ttl time.Duration) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), state: registry.NewState(), checksTokens: true}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	s.leaderRate = s.drawRate()
	s.expiry = registry.NewSessionExpiry(nil, 0)
	for range 3 {
		p := &simProcess{core: &core{ttl: ttl}, rate: s.drawRate()}
		p.candidacy = p.core.add(
			registry.Candidacy{Lease: "d", Priority: s.rng.IntN(2), Preempt: s.rng.IntN(3) == 0},
			0,
		)
		s.processes = append(s.processes, p)
	}
	return s
}

// run runs the simulation until it ends or a check fails.
func (s *sim) run() {
	for ; s.realTime < simTime && s.violation == ""; s.realTime += simStep {
		s.runLeader()
		flight := s.inFlight
		s.inFlight = nil
		for _, m := range flight {
			if m.at <= s.realTime {
				m.deliver()
			} else {
				s.inFlight = append(s.inFlight, m)
			}
		}
		for i, p := range s.processes {
			s.stepProcess(i, p)
		}
		s.checkOverlap()
	}
}

// runLeader expires sessions as the leader does. From time to time another leader takes over, or the holder
// is asked to transfer the lease.
func (s *sim) runLeader() {
	if s.rng.IntN(400) == 0 {
		s.leaderRate = s.drawRate()
		s.expiry = registry.NewSessionExpiry(s.state.Sessions(), s.leaderNow())
	}
	if ids := s.expiry.Due(s.leaderNow()); len(ids) > 0 {
		s.apply(registry.Command{Op: registry.OpCloseSessions, Sessions: ids})
	}
	if s.rng.IntN(300) == 0 {
		s.apply(registry.Command{Op: registry.OpTransfer, Name: "d"})
	}
}

// stepProcess runs one step of a process, unless the process is paused.
func (s *sim) stepProcess(i int, p *simProcess) {
	if s.pausesProcesses && s.rng.IntN(300) == 0 {
		p.pausedUntil = s.realTime + time.Duration(s.rng.Int64N(int64(3*simTTL)))
	}
	if s.realTime < p.pausedUntil {
		return
	}
	if s.rng.IntN(300) == 0 {
		p.cutOffUntil = s.realTime + time.Duration(s.rng.Int64N(int64(3*simTTL)))
	}
	if p.runningToken != 0 {
		s.write(i, p)
	}
	if p.stopAt != 0 && s.realTime >= p.stopAt {
		p.runningToken, p.stopAt = 0, 0
		p.core.workEnded(p.now(s), p.candidacy, []error{nil, fmt.Errorf("failed")}[s.rng.IntN(2)])
		p.candidacy.cancelled = false // the process campaigns again
	} else if p.runningToken != 0 && p.stopAt == 0 && s.rng.IntN(200) == 0 {
		p.runningToken = 0 // the work fails by itself
		p.core.workEnded(p.now(s), p.candidacy, fmt.Errorf("failed"))
	}
	if s.rng.IntN(1000) == 0 { // the process dies and a new one starts
		p.core, p.runningToken, p.stopAt, p.session = &core{ttl: p.core.ttl}, 0, 0, ""
		p.candidacy = p.core.add(registry.Candidacy{Lease: "d"}, 0)
	}
	s.callRegistry(i, p)
	for _, a := range p.core.step(p.now(s)) {
		s.carryOut(p, a)
	}
}

// carryOut carries out an action of a process's core.
func (s *sim) carryOut(p *simProcess, a action) {
	c, cand, id := p.core, a.candidacy, p.session
	switch a.kind {
	case startWork:
		p.runningToken = a.token
	case stopWork:
		p.stopAt = s.realTime + time.Duration(s.rng.Int64N(int64(simTTL/stopFraction-2*simStep)))
	default:
		op := registry.OpCampaign
		if a.kind == releaseLease {
			op = registry.OpRelease
		}
		answered := false
		s.send(p, func() {
			r := s.apply(
				registry.Command{Op: op, Session: &registry.Session{ID: id}, Candidacies: []registry.Candidacy{cand.spec}},
			)
			s.send(p, func() {
				if answered = true; p.core == c && p.session == id {
					c.callEnded(a.kind, cand, r.Code == registry.Applied)
				}
			})
		})
		s.inFlight = append(s.inFlight, message{s.realTime + 4*simTTL, func() {
			if !answered && p.core == c && p.session == id {
				c.callEnded(a.kind, cand, false)
			}
		}})
	}
}

// callRegistry opens or renews a process's session and reads its leases.
func (s *sim) callRegistry(i int, p *simProcess) {
	now, c := p.now(s), p.core
	if now < p.renewAt && !c.needsRenewal() {
		return
	}
	p.renewAt = now + simTTL/4
	if !c.open {
		p.sessions++
		id := fmt.Sprintf("p%d-%d", i, p.sessions)
		s.send(p, func() {
			session := registry.Session{ID: id, Process: fmt.Sprint("p", i), TTL: simTTL}
			s.apply(registry.Command{Op: registry.OpOpenSession, Session: &session})
			s.expiry.Set(session, s.leaderNow())
			s.send(p, func() {
				if p.core == c && !c.open {
					p.session = id
					c.sessionOpened()
				}
			})
		})
		return
	}
	id := p.session
	s.send(p, func() {
		known := s.expiry.Renew(id, s.leaderNow())
		s.send(p, func() {
			if p.core != c || p.session != id {
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
		leases, ok := s.state.Leases(id)
		response := registry.LeasesResponse{Index: s.state.LeasesVersion(), Epoch: "e", Leases: leases}
		s.send(p, func() {
			if ok && p.core == c && p.session == id {
				c.leasesReported(p.now(s), id, response)
			}
		})
	})
}

// write makes one write of a process's work to an external resource. The resource checks the fencing token if
// checksTokens is set.
func (s *sim) write(i int, p *simProcess) {
	writer := fmt.Sprintf("p%d under %d", i, p.runningToken)
	if s.checksTokens && p.runningToken < s.highestWritten {
		return // the resource rejects the write
	}
	if p.runningToken < s.highestWritten {
		s.violation = fmt.Sprintf("at %v %s writes after %s", s.realTime, writer, s.lastWriter)
	}
	s.highestWritten, s.lastWriter = max(s.highestWritten, p.runningToken), writer
}

// checkOverlap checks that the work of at most one process runs, unless processes are paused.
func (s *sim) checkOverlap() {
	working := 0
	for _, p := range s.processes {
		if p.runningToken != 0 {
			working++
		}
	}
	if working > 1 && !s.pausesProcesses {
		s.violation = fmt.Sprintf("at %v the work of %d processes runs at the same time", s.realTime, working)
	}
}

// scheduleCount is the number of drawn schedules. It is smaller under the race detector, which takes ten
// times as long.
var scheduleCount = map[bool]int{false: 1000, true: 200}[raceDetector]

// TestOnlyOneProcessWorksAtATime checks that the work of two processes never runs at the same time, with
// clock rates within maxClockDrift, delayed and lost messages, changes of the leader, failing work and dying
// processes, and that the lease does not stay without a holder.
func TestOnlyOneProcessWorksAtATime(t *testing.T) {
	grants := 0
	for seed := range uint64(scheduleCount) {
		s := newSim(seed, simTTL)
		s.run()
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		grants += s.grants
	}
	if grants < 2*scheduleCount {
		t.Errorf("only %d grants in %d schedules", grants, scheduleCount)
	}
}

// TestFencingRejectsWritesOfPausedProcesses pauses processes in the middle of their work: no write is
// admitted after one with a higher fencing token.
func TestFencingRejectsWritesOfPausedProcesses(t *testing.T) {
	for seed := range uint64(scheduleCount) {
		s := newSim(seed, simTTL)
		s.pausesProcesses = true
		s.run()
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
	}
}

// TestChecksFailWithoutMarginOrFencing checks that the two tests above find violations if work has no margin
// to stop in, or if the resource does not check fencing tokens.
func TestChecksFailWithoutMarginOrFencing(t *testing.T) {
	withoutMargin, withoutFencing := 0, 0
	for seed := range uint64(200) {
		s := newSim(
			seed,
			simTTL*7/6,
		) // safeDuration then covers the complete TTL, without a margin for drift and for stopping work
		s.run()
		if s.violation != "" {
			withoutMargin++
		}
		s = newSim(seed, simTTL)
		s.pausesProcesses, s.checksTokens = true, false
		s.run()
		if s.violation != "" {
			withoutFencing++
		}
	}
	t.Logf("of 200 schedules %d fail without the margin, %d without fencing", withoutMargin, withoutFencing)
	if withoutMargin == 0 || withoutFencing == 0 {
		t.Errorf("of 200 schedules %d fail without the margin, %d without fencing", withoutMargin, withoutFencing)
	}
}

// TestCloseReleasesByReleaseOrder checks that a closing process releases the leases of a higher release order
// first, and releases no lease of a lower order before they are released.
func TestCloseReleasesByReleaseOrder(t *testing.T) {
	c := &core{ttl: simTTL}
	c.sessionOpened()
	response := registry.LeasesResponse{Index: 1}
	for i, releaseOrder := range []int{0, 2, 2, -1} {
		cand := c.add(registry.Candidacy{Lease: fmt.Sprint("d", i)}, releaseOrder)
		response.Leases = append(response.Leases, registry.Lease{Name: cand.spec.Lease, Holder: "me", Token: uint64(i + 2)})
	}
	c.leasesReported(1, "me", response)
	c.renewed(2)
	if n := len(c.step(3)); n != 4 {
		t.Fatalf("%d actions at the start, want 4", n)
	}
	c.closing = true
	for _, want := range []int{2, 1, 1} {
		stops := c.step(4)
		for _, stop := range stops {
			c.workEnded(5, stop.candidacy, nil)
		}
		releases := c.step(6)
		for _, release := range releases {
			c.callEnded(release.kind, release.candidacy, true)
		}
		if len(stops) != want || len(releases) != want || stops[0].kind != stopWork || releases[0].kind != releaseLease {
			t.Fatalf("%+v and then %+v, want %d", stops, releases, want)
		}
	}
	if more := c.step(7); len(more) != 0 {
		t.Errorf("after all leases are released there are actions %+v", more)
	}
}
