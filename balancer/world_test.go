package balancer_test

// A simulated environment that sends the balancer legal but adverse events. Nothing in this file, in
// world_checker_test.go or in world_events_test.go uses the balancer's code except through its interface.

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"wrenspread/balancer"
)

// sentAttempt is an attempt that the balancer has started, and its outcome.
type sentAttempt struct {
	endpoint balancer.EndpointID
	at       time.Duration
	ended    bool
	outcome  balancer.Outcome
}

// liveRequest is a request that has arrived since the last start of the balancer.
type liveRequest struct {
	class     balancer.Class
	deadline  time.Duration
	attempts  []sentAttempt
	answered  bool
	streaming bool
}

// listedEndpoint is an endpoint that a list has named.
type listedEndpoint struct {
	balancer.Endpoint
	drainListedAt time.Duration // when the list first showed it as draining or removed; 0: it is ready
	startListed   bool          // the list shows when it started
	lastUsedAt    time.Duration // last attempt, outcome or start of a drain; 0: none since CloseIdleConnections
}

// pendingEvent is an event that is scheduled for a time. order is the tie-breaker for equal times.
type pendingEvent struct {
	at    time.Duration
	order int
	event balancer.Event
	id    balancer.RequestID
}

// world is the simulated environment of one balancer.
type world struct {
	settings     balancer.Settings
	random       *rand.Rand
	now          time.Duration
	queue        []pendingEvent
	order        int // number of events that have been scheduled
	requests     map[balancer.RequestID]*liveRequest
	endpoints    map[balancer.EndpointID]*listedEndpoint
	endpointIDs  []balancer.EndpointID
	attemptTimes map[balancer.EndpointID][]time.Duration
	capacity     float64 // requests per second of this proxy that a warm endpoint can serve
	balancer     *balancer.Balancer
	// mutate changes the actions that the balancer returns; nil: they are not changed.
	mutate     func(w *world, a []balancer.Action) []balancer.Action
	events     []balancer.Event
	times      []time.Duration
	actions    []string
	violations []string
	nextID     int
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) schedule(delay time.Duration, pending pendingEvent) {
	w.order++
	pending.at, pending.order = w.now+max(delay, w.settings.MinEventInterval), w.order
	w.queue = append(w.queue, pending)
}

func (w *world) handle(e balancer.Event) {
	w.events, w.times = append(w.events, e), append(w.times, w.now)
	actions := w.balancer.Handle(w.now, e)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, a := range actions {
		w.performAction(a)
	}
}

func newWorld(seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	w := &world{random: r, now: time.Hour, endpoints: map[balancer.EndpointID]*listedEndpoint{}, attemptTimes: map[balancer.EndpointID][]time.Duration{}}
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+r.Intn(hi-lo)) * time.Millisecond }
	w.settings = balancer.Settings{Proxies: 1 + r.Intn(6), Zone: "z0", MaxAttempts: 1 + r.Intn(5), AllowHedging: r.Intn(2) == 0,
		AllowCancel: r.Intn(3) > 0, AllowLoadQueries: r.Intn(2) == 0, LoadReports: balancer.LoadReportSource(r.Intn(3)), AllowGossip: r.Intn(2) == 0, SendRetryAfter: r.Intn(2) == 0,
		MaxRetryAfter: time.Second, ConnectTimeout: 100 * time.Millisecond, MinEventInterval: 5 * time.Millisecond,
		PollForEndpoints: r.Intn(2) == 0, ResponseSlack: 20 * time.Millisecond, PollInterval: 10 * time.Second,
		DrainGrace: ms(0, 1000), DrainClose: time.Duration(r.Intn(2)) * ms(20, 500),
		SlowStartInitial: 0.3, SlowStartDuration: ms(3000, 9000), OverloadFactor: 2.5, OverloadDuration: time.Second}
	for i, n := 0, 1+r.Intn(4); i < n; i++ {
		objective := ms(100, 1500)
		w.settings.Classes = append(w.settings.Classes, balancer.Class{Name: fmt.Sprint("c", i), PriorityWeight: float64(r.Intn(13)), LatencyObjective: objective,
			Deadline: 2*objective + ms(0, 2000), LateWeight: float64(r.Intn(2)) / 2, Idempotency: balancer.Idempotency(r.Intn(3)),
			DedupScope: balancer.DedupScope(r.Intn(3)), DedupWindow: ms(100, 4000), Streamed: r.Intn(4) == 0,
			AllowedZones:        [][]string{nil, nil, {"z0"}, {"z1", "z0"}, {}}[r.Intn(5)],
			AllowedMachineTypes: [][]string{nil, nil, nil, {"k1"}}[r.Intn(4)]})
	}
	if r.Intn(3) == 0 {
		w.settings.Tenants = []balancer.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}

func (w *world) start() {
	w.balancer = balancer.New(w.settings, w.random.Int63())
	w.requests, w.queue = map[balancer.RequestID]*liveRequest{}, nil
	var entries []balancer.Endpoint
	for _, id := range w.endpointIDs {
		if e := w.endpoints[id].Endpoint; e.State != balancer.Removed {
			entries = append(entries, e)
		}
	}
	for len(entries) < 4 {
		entries = append(entries, w.newEndpoint(0))
	}
	w.endpoints, w.endpointIDs = map[balancer.EndpointID]*listedEndpoint{}, nil
	w.updateList(balancer.UpdateCached, entries)
}

// run simulates some time with arrivals at a rate per second. restarts says whether the proxy may be
// restarted.
func (w *world) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool {
			return w.queue[i].at < w.queue[j].at || w.queue[i].at == w.queue[j].at && w.queue[i].order < w.queue[j].order
		})
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			p := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(p)
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if w.random.Float64() < n {
				w.arrive()
			}
		}
		if w.random.Intn(150) == 0 {
			w.changeList()
		}
		if restarts && w.random.Intn(1500) == 0 {
			w.start()
		}
		for _, id := range w.endpointIDs {
			if endpoint := w.endpoints[id]; endpoint.State == balancer.Draining && endpoint.lastUsedAt > 0 && w.settings.DrainClose > 0 &&
				w.now > endpoint.lastUsedAt+w.settings.DrainClose {
				w.addViolation("connections to endpoint %d, which drains, were left open", id)
				endpoint.lastUsedAt = 0
			}
		}
		for id, request := range w.requests {
			if !request.answered && !request.streaming && w.now > request.deadline+w.settings.ResponseSlack+step {
				w.addViolation("request %s has no answer in time", id)
				request.answered = true
			}
		}
	}
}
