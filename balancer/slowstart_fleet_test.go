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
	load               float64       // rate of arrivals, as a fraction of the capacity of all endpoints when warm
	endpointRate       float64       // mean requests per second that a warm endpoint can serve
	minLatency         time.Duration // shortest latency of a response
	hidesQueue         bool          // the latency of endpoint 1 does not show its queue
	downFor            time.Duration // how long endpoint 1 is down before its start; 0: it is new in the list
	burstAt            time.Duration // time after the start at which arrivals rise by burstFactor for burstDuration; 0: never
	listingDelay       time.Duration // time after the start at which the last proxy learns of the start
	proxiesRestart     bool          // each proxy restarts once during the slow start, without learned state
	// From this time after the start on, six in ten of the other endpoints refuse connections; 0: never.
	refusalsAt time.Duration
	// From this time after the start on, connections to endpoint 1 fail for 2 s; 0: never.
	connectionsFailAt time.Duration
	mixedWork         bool          // some requests are four times as heavy as others
	overloadFactor    float64       // Settings.OverloadFactor
	overloadDuration  time.Duration // Settings.OverloadDuration
	slowStartDuration time.Duration // Settings.SlowStartDuration
	subsetFactor      int           // proxies know this multiple of the endpoints that they use; 0: all endpoints
	subsetsMove       bool          // a third of the proxies change their index, and so their subset
	proxyCountsDiffer bool          // the settings of every second proxy name half the number of proxies
	// endpointCapacity is the capacity of endpoint 1 relative to the mean. The others have 0.6 and 1.4 in turn,
	// and lists show the capacities as weights. 0: all are equal.
	endpointCapacity float64
	stoppedProxies   float64 // fraction of proxies that stop before the start; their clients use the other proxies
}

const (
	slowStartInitial = 0.16
	burstDuration    = 4 * time.Second
	burstFactor      = 1.5
)

// scheduledEvent is an event that is due for one incarnation of a proxy; incarnation 0 stands for any. If
// event is nil, run is called instead.
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

// slowStartFleet is the state of a simulation of a slowStartScenario.
type slowStartFleet struct {
	slowStartScenario
	baseSettings               balancer.Settings
	random                     *rand.Rand
	now, start                 time.Duration
	queue                      eventQueue
	balancers                  []*balancer.Balancer
	incarnations, proxyIndexes []int
	stopOrder                  []int                 // proxies in reverse order of their stops
	listOrder                  []balancer.EndpointID // endpoints in the order in which lists name them
	listedAt                   []time.Duration       // by proxy: when it learns of the start
	idleAt                     []time.Duration       // by endpoint: when its queue is empty
	attempts                   map[balancer.RequestID]int
	answered                   map[balancer.RequestID]bool
	work                       map[balancer.RequestID]float64
	arrivals                   []arrivedWork // from proxies that knew of the start
	nextRequest                int
	subsetEntries, subsetExits int // proxies whose new index put endpoint 1 into their base subset, or out of it
}

// simulateSlowStart runs a scenario until endpoint 1 is warm.
func simulateSlowStart(scenario slowStartScenario, seed int64) *slowStartFleet {
	f := &slowStartFleet{slowStartScenario: scenario, random: rand.New(rand.NewSource(seed)), now: time.Hour, start: time.Hour + 8*time.Second,
		balancers: make([]*balancer.Balancer, scenario.proxies), incarnations: make([]int, scenario.proxies), proxyIndexes: make([]int, scenario.proxies), listedAt: make([]time.Duration, scenario.proxies),
		idleAt: make([]time.Duration, scenario.endpoints+1), attempts: map[balancer.RequestID]int{}, answered: map[balancer.RequestID]bool{},
		work: map[balancer.RequestID]float64{}}
	f.baseSettings = balancer.Settings{Proxies: scenario.proxies, MaxAttempts: 3, AllowCancel: true, MinEventInterval: 5 * time.Millisecond,
		ConnectTimeout: 100 * time.Millisecond, SlowStartInitial: slowStartInitial, SlowStartDuration: scenario.slowStartDuration, OverloadFactor: scenario.overloadFactor,
		WeightKnown: scenario.endpointCapacity > 0, OverloadDuration: scenario.overloadDuration, SendRetryAfter: true, MaxRetryAfter: time.Second, Classes: []balancer.Class{
			{Name: "a", PriorityWeight: 3, LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: balancer.Idempotent},
			{Name: "b", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Idempotency: balancer.Idempotent}}}
	if f.stopOrder = rand.New(rand.NewSource(seed)).Perm(scenario.proxies); scenario.stoppedProxies == 0 {
		slices.Sort(f.stopOrder)
	}
	f.sortEndpoints()
	for i := range f.balancers {
		f.proxyIndexes[i] = i
		f.listedAt[i] = f.start + time.Duration(f.random.Float64()*float64(scenario.listingDelay))
		f.startProxy(i)
		heap.Push(&f.queue, scheduledEvent{f.listedAt[i], i, 0, nil, f.sendStart})
		if scenario.proxiesRestart {
			at := f.start + time.Duration(f.random.Float64()*float64(f.slowStartDuration))
			heap.Push(&f.queue, scheduledEvent{at, i, 0, nil, f.startProxy})
		}
		if scenario.subsetsMove && i%3 == 0 {
			at := f.start + time.Duration(f.random.Float64()*float64(f.slowStartDuration))
			heap.Push(&f.queue, scheduledEvent{at, i, 0, nil, f.moveSubset})
		}
	}
	f.run()
	return f
}

// startProxy starts a proxy and gives it its present list.
func (f *slowStartFleet) startProxy(i int) {
	f.balancers[i], f.incarnations[i] = balancer.New(f.settingsOf(i), f.random.Int63()), f.incarnations[i]+1
	f.feed(i, f.listFor(i))
}

// run simulates the fleet until endpoint 1 is warm. It delivers due events and creates requests. A third of
// the proxies get several times as many requests as the others.
func (f *slowStartFleet) run() {
	for end := f.start + f.slowStartDuration; f.now < end; {
		rate := f.endpointRate * f.load * float64(f.endpoints)
		if at := f.now - f.start; f.burstAt > 0 && at >= f.burstAt && at < f.burstAt+burstDuration {
			rate *= burstFactor
		}
		f.now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		arrival := f.now
		for len(f.queue) > 0 && f.queue[0].at <= arrival {
			due := heap.Pop(&f.queue).(scheduledEvent)
			f.now = due.at
			switch e, ended := due.event.(balancer.AttemptEnded); {
			case due.event == nil:
				due.run(due.proxy)
			case due.incarnation > 0 && due.incarnation != f.incarnations[due.proxy]:
			case ended:
				e.RequestAnswered = f.answered[e.ID] || e.Outcome == balancer.OK
				f.answered[e.ID] = e.RequestAnswered
				f.feed(due.proxy, e)
			default:
				f.feed(due.proxy, due.event)
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
			alive = max(1, int(float64(alive)*(1-f.stoppedProxies)))
		}
		proxy := f.random.Intn(alive)
		if proxy%3 > 0 && f.random.Intn(3) > 0 {
			proxy -= proxy % 3
		}
		proxy = f.stopOrder[proxy]
		f.feed(proxy, balancer.RequestArrived{ID: id, Class: class, Timeout: 2 * time.Second})
	}
}

// capacityFraction is the fraction of its capacity that endpoint 1 has at a time.
func (f *slowStartFleet) capacityFraction(at time.Duration) float64 {
	return slowStartInitial + (1-slowStartInitial)*math.Min(1, math.Max(0, float64(at-f.start)/float64(f.slowStartDuration)))
}

// feed passes an event to a proxy and carries out the actions.
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

// serve returns the latency and the outcome of an attempt. An endpoint serves requests one after the other; a
// response takes at least minLatency. While its load is below its capacity, an endpoint in slow start seems
// as fast as the others.
func (f *slowStartFleet) serve(i, id int, work float64, timeout time.Duration) (time.Duration, balancer.Outcome) {
	rate, refused := f.endpointRate*f.relativeCapacity(id), f.refusalsAt > 0 && id%5 > 1 && f.now > f.start+f.refusalsAt
	if id == 1 {
		rate *= f.capacityFraction(f.now)
		at := f.now - f.start
		refused = at < 0 && at > -f.downFor || f.connectionsFailAt > 0 && at > f.connectionsFailAt && at < f.connectionsFailAt+2*time.Second
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

// countOverloadedWindows counts the windows in which endpoint 1 gets more than N + 2 sqrt(N) + 2 during its
// slow start. A window has the length overloadDuration and begins with an arrival. N is what the settings
// allow in the window: the endpoint's capacity at the start of the window, times the overload factor, times
// the length. worst is the highest fraction of this bound in any window, used the used fraction of what the
// settings allow in the entire slow start.
func (f *slowStartFleet) countOverloadedWindows() (windows, overloaded int, worst, used float64) {
	warm := slices.IndexFunc(f.arrivals, func(s arrivedWork) bool { return s.at >= f.start+f.slowStartDuration })
	if warm < 0 {
		warm = len(f.arrivals)
	}
	totalWork, windowEnd, windowWork := 0.0, 0, 0.0
	for _, arrival := range f.arrivals[:warm] {
		for ; windowEnd < warm && f.arrivals[windowEnd].at < arrival.at+f.overloadDuration; windowEnd++ {
			windowWork += f.arrivals[windowEnd].work
		}
		allowed := f.endpointRate * f.relativeCapacity(1) * f.capacityFraction(arrival.at) * f.overloadFactor * f.overloadDuration.Seconds()
		bound := allowed + 2*math.Sqrt(allowed) + 2
		if windows++; windowWork > bound {
			overloaded++
		}
		worst, windowWork, totalWork = math.Max(worst, windowWork/bound), windowWork-arrival.work, totalWork+arrival.work
	}
	return windows, overloaded, worst, totalWork / (f.endpointRate * f.relativeCapacity(1) * (1 + slowStartInitial) / 2 * f.overloadFactor * f.slowStartDuration.Seconds())
}
