package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"wrenspread/balancer"
)

// slowStartScenario describes a simulation in which endpoint 1 starts. It runs the balancers of all proxies
// on one clock.
type slowStartScenario struct {
	proxies, endpoints int
	load               float64       // arrivals, as a fraction of the capacity of all endpoints when warm
	endpointRate       float64       // mean requests per second that a warm endpoint can serve
	minLatency         time.Duration // shortest latency of a response
	hidesQueue         bool          // the latency of endpoint 1 does not show its queue
	downFor            time.Duration // endpoint 1 is down for this long before its start; 0: it joins the list
	burstAt            time.Duration // when arrivals rise by half for burstDuration, after the start; 0: never
	listingDelay       time.Duration // time after the start at which the last proxy learns of it
	proxiesRestart     bool          // each proxy restarts once in the slow start, without learned state
	// From this time after the start on, six in ten of the other endpoints refuse connections; 0: never.
	refusalsAt time.Duration
	// From this time after the start on, connections to endpoint 1 fail for 2 s; 0: never.
	cutOffAt          time.Duration
	mixedWork         bool          // some requests are four times as heavy as others
	overloadFactor    float64       // Settings.OverloadFactor
	overloadDuration  time.Duration // Settings.OverloadDuration
	slowStartDuration time.Duration // Settings.SlowStartDuration
	subsetFactor      int           // proxies know this multiple of the endpoints that they use; 0: all
	subsetsMove       bool          // a third of the proxies change their index, and so their subset
	proxyCountsDiffer bool          // every other proxy's settings name half the number of proxies
	// Capacity of endpoint 1 relative to the mean; the others have 0.6 and 1.4 in turn, and lists show it as the
	// weight. 0: all are equal.
	endpointSize float64
	deadProxies  float64 // fraction of proxies that end before the start; the others get their clients
}

const (
	slowStartInitial = 0.16
	burstDuration    = 4 * time.Second
	burstFactor      = 1.5
)

// scheduledEvent is an event that is due for an incarnation of a proxy, 0 for any. If event is nil, run is
// called instead.
type scheduledEvent struct {
	at          time.Duration
	proxy       int
	incarnation int
	event       balancer.Event
	run         func(proxyIndex int)
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(scheduledEvent)) }
func (q *eventQueue) Pop() (e any)      { e, *q = (*q)[len(*q)-1], (*q)[:len(*q)-1]; return e }

// arrivedWork is work that reached endpoint 1, in mean requests.
type arrivedWork struct {
	at   time.Duration
	work float64
}

type slowStartFleet struct {
	slowStartScenario
	baseSettings               balancer.Settings
	random                     *rand.Rand
	now, start                 time.Duration
	queue                      eventQueue
	balancers                  []*balancer.Balancer
	incarnations, proxyIndexes []int
	deathOrder                 []int                 // proxies in reverse order of their ends
	listOrder                  []balancer.EndpointID // endpoints in the order of lists
	listedAt                   []time.Duration       // by proxy: when it learns of the start
	idleAt                     []time.Duration       // by endpoint: when its queue is empty
	attempts                   map[balancer.RequestID]int
	answered                   map[balancer.RequestID]bool
	work                       map[balancer.RequestID]float64
	arrivals                   []arrivedWork // from proxies that knew of the start
	nextRequest                int
	subsetEntries, subsetExits int // proxies whose move took endpoint 1 into their base subset, or out of it
}

func playSlowStart(d slowStartScenario, seed int64) *slowStartFleet {
	f := &slowStartFleet{slowStartScenario: d, random: rand.New(rand.NewSource(seed)), now: time.Hour, start: time.Hour + 8*time.Second,
		balancers: make([]*balancer.Balancer, d.proxies), incarnations: make([]int, d.proxies), proxyIndexes: make([]int, d.proxies), listedAt: make([]time.Duration, d.proxies),
		idleAt: make([]time.Duration, d.endpoints+1), attempts: map[balancer.RequestID]int{}, answered: map[balancer.RequestID]bool{},
		work: map[balancer.RequestID]float64{}}
	f.baseSettings = balancer.Settings{Proxies: d.proxies, MaxAttempts: 3, AllowCancel: true, MinEventInterval: 5 * time.Millisecond,
		ConnectTimeout: 100 * time.Millisecond, SlowStartInitial: slowStartInitial, SlowStartDuration: d.slowStartDuration, OverloadFactor: d.overloadFactor,
		WeightKnown: d.endpointSize > 0, OverloadDuration: d.overloadDuration, SendRetryAfter: true, MaxRetryAfter: time.Second, Classes: []balancer.Class{
			{Name: "a", PriorityWeight: 3, LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: balancer.Idempotent},
			{Name: "b", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Idempotency: balancer.Idempotent}}}
	if f.deathOrder = rand.New(rand.NewSource(seed)).Perm(d.proxies); d.deadProxies == 0 {
		slices.Sort(f.deathOrder)
	}
	f.sortEndpoints()
	for i := range f.balancers {
		f.proxyIndexes[i] = i
		f.listedAt[i] = f.start + time.Duration(f.random.Float64()*float64(d.listingDelay))
		f.startProxy(i)
		heap.Push(&f.queue, scheduledEvent{f.listedAt[i], i, 0, nil, f.sendStart})
		if d.proxiesRestart {
			at := f.start + time.Duration(f.random.Float64()*float64(f.slowStartDuration))
			heap.Push(&f.queue, scheduledEvent{at, i, 0, nil, f.startProxy})
		}
		if d.subsetsMove && i%3 == 0 {
			at := f.start + time.Duration(f.random.Float64()*float64(f.slowStartDuration))
			heap.Push(&f.queue, scheduledEvent{at, i, 0, nil, f.moveSubset})
		}
	}
	f.play()
	return f
}

// startProxy starts a proxy, with the list that it has at present.
func (f *slowStartFleet) startProxy(i int) {
	f.balancers[i], f.incarnations[i] = balancer.New(f.settingsOf(i), f.random.Int63()), f.incarnations[i]+1
	f.feed(i, f.listFor(i))
}

// play runs the simulation until endpoint 1 is warm. It delivers due events, and arrivals: a third of the
// proxies get several times as many as the others.
func (f *slowStartFleet) play() {
	for end := f.start + f.slowStartDuration; f.now < end; {
		rate := f.endpointRate * f.load * float64(f.endpoints)
		if at := f.now - f.start; f.burstAt > 0 && at >= f.burstAt && at < f.burstAt+burstDuration {
			rate *= burstFactor
		}
		f.now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		arrival := f.now
		for len(f.queue) > 0 && f.queue[0].at <= arrival {
			p := heap.Pop(&f.queue).(scheduledEvent)
			f.now = p.at
			switch e, ended := p.event.(balancer.AttemptEnded); {
			case p.event == nil:
				p.run(p.proxy)
			case p.incarnation > 0 && p.incarnation != f.incarnations[p.proxy]:
			case ended:
				e.RequestAnswered = f.answered[e.ID] || e.Outcome == balancer.OK
				f.answered[e.ID] = e.RequestAnswered
				f.feed(p.proxy, e)
			default:
				f.feed(p.proxy, p.event)
			}
		}
		f.now = arrival
		f.nextRequest++
		id, class := balancer.RequestID(fmt.Sprint(f.nextRequest)), "a"
		if f.work[id] = 1; f.mixedWork {
			f.work[id] = 0.5
			if f.random.Intn(3) == 0 {
				f.work[id], class = 2, "b"
			}
		}
		alive := len(f.balancers)
		if f.now > f.start-4*time.Second {
			alive = max(1, int(float64(alive)*(1-f.deadProxies)))
		}
		i := f.random.Intn(alive)
		if i%3 > 0 && f.random.Intn(3) > 0 {
			i -= i % 3
		}
		i = f.deathOrder[i]
		f.feed(i, balancer.RequestArrived{ID: id, Class: class, Timeout: 2 * time.Second})
	}
}

// capacityFraction is the fraction of its capacity that endpoint 1 has at a time.
func (f *slowStartFleet) capacityFraction(at time.Duration) float64 {
	return slowStartInitial + (1-slowStartInitial)*math.Min(1, math.Max(0, float64(at-f.start)/float64(f.slowStartDuration)))
}

func (f *slowStartFleet) feed(i int, e balancer.Event) {
	for _, a := range f.balancers[i].Handle(f.now, e) {
		switch a := a.(type) {
		case balancer.StartAttempt:
			took, outcome := f.serve(i, int(a.Endpoint), f.work[a.ID], a.Timeout)
			end := balancer.AttemptEnded{ID: a.ID, Attempt: f.attempts[a.ID], Endpoint: a.Endpoint, Outcome: outcome, Elapsed: took}
			f.attempts[a.ID]++
			heap.Push(&f.queue, scheduledEvent{f.now + took, i, f.incarnations[i], end, nil})
		case balancer.CancelAttempt:
			end := balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: balancer.Cancelled}
			heap.Push(&f.queue, scheduledEvent{f.now + time.Millisecond, i, f.incarnations[i], end, nil})
		case balancer.Reject:
			f.answered[a.ID] = true
		case balancer.Fail:
			f.answered[a.ID] = true
		case balancer.SetTimer:
			heap.Push(&f.queue, scheduledEvent{f.now + a.After, i, f.incarnations[i], balancer.TimerFired{Token: a.Token}, nil})
		}
	}
}

// serve returns the latency and the outcome of an attempt. An endpoint serves requests in turn, and takes
// minLatency at least. While it is below its capacity, an endpoint in slow start seems as fast as the others.
func (f *slowStartFleet) serve(i, id int, work float64, timeout time.Duration) (time.Duration, balancer.Outcome) {
	rate, refused := f.endpointRate*f.relativeSize(id), f.refusalsAt > 0 && id%5 > 1 && f.now > f.start+f.refusalsAt
	if id == 1 {
		rate *= f.capacityFraction(f.now)
		at := f.now - f.start
		refused = at < 0 && at > -f.downFor || f.cutOffAt > 0 && at > f.cutOffAt && at < f.cutOffAt+2*time.Second
		if !refused && at >= 0 && f.now >= f.listedAt[i] {
			f.arrivals = append(f.arrivals, arrivedWork{f.now, work})
		}
	}
	if refused {
		return time.Millisecond, balancer.ConnectFailed
	}
	f.idleAt[id] = max(f.idleAt[id], f.now) + time.Duration(work/rate*float64(time.Second))
	took := max(f.idleAt[id]-f.now, f.minLatency)
	if f.hidesQueue && id == 1 {
		took = f.minLatency
	}
	if took > timeout && timeout > 0 {
		return timeout, balancer.TimedOut
	}
	return took, balancer.OK
}

// countOverloadedWindows counts the windows of the length overloadDuration, one from each arrival on, in
// which endpoint 1 gets more than N + 2 sqrt(N) + 2 during its slow start. N is what the settings allow in
// the window: its capacity at the start of the window, times the overload factor, times the length. worst is
// the highest fraction of this bound in any window, used the fraction of the sum of all N that was used.
func (f *slowStartFleet) countOverloadedWindows() (windows, over int, worst, used float64) {
	warm := slices.IndexFunc(f.arrivals, func(s arrivedWork) bool { return s.at >= f.start+f.slowStartDuration })
	if warm < 0 {
		warm = len(f.arrivals)
	}
	all, k, sum := 0.0, 0, 0.0
	for _, s := range f.arrivals[:warm] {
		for ; k < warm && f.arrivals[k].at < s.at+f.overloadDuration; k++ {
			sum += f.arrivals[k].work
		}
		n := f.endpointRate * f.relativeSize(1) * f.capacityFraction(s.at) * f.overloadFactor * f.overloadDuration.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		if windows++; sum > bound {
			over++
		}
		worst, sum, all = math.Max(worst, sum/bound), sum-s.work, all+s.work
	}
	return windows, over, worst, all / (f.endpointRate * f.relativeSize(1) * (1 + slowStartInitial) / 2 * f.overloadFactor * f.slowStartDuration.Seconds())
}
