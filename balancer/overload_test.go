package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

// When all endpoints slow down at the same time, none is ejected, and each still has as many requests in
// flight as before.
func TestCommonSlowdownEjectsNoEndpoint(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.run(5*time.Second, 80, "low")
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return 150 * time.Millisecond, balancer.OK
	}
	r.reset()
	r.run(5*time.Second, 80, "low")
	if r.logLines > 0 {
		t.Errorf("%d log lines about ejected endpoints", r.logLines)
	}
	for id := balancer.EndpointID(1); id <= 4; id++ {
		if r.sent[id] < 25 { // one request in flight, as before, makes 33 in 5 s
			t.Errorf("endpoint %d got only %d attempts", id, r.sent[id])
		}
	}
}

// Light traffic is not rejected, also with many endpoints and few requests.
func TestLightTrafficIsNotRejected(t *testing.T) {
	settings := rigSettings()
	settings.Proxies = 6
	r := newRig(t, settings, 15)
	r.run(4*time.Second, 30, "low")
	r.reset()
	r.run(20*time.Second, 30, "low")
	if r.rejected > 3 {
		t.Errorf("%d of 600 requests rejected in light traffic", r.rejected)
	}
}

// Overload sheds the class with the lower priority weight first.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	idleAt := map[balancer.EndpointID]time.Duration{}
	// An endpoint serves one request at a time, in 20 ms.
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		idleAt[id] = max(idleAt[id], r.now) + 20*time.Millisecond
		return idleAt[id] - r.now, balancer.OK
	}
	rejectedByClass := map[string]int{}
	for range 400 {
		for _, c := range []string{"high", "low", "low", "low"} {
			before := r.rejected
			r.nextID++
			r.feed(balancer.RequestArrived{ID: balancer.RequestID(fmt.Sprint(r.nextID)), Class: c, Timeout: time.Second})
			rejectedByClass[c] += r.rejected - before
		}
		r.run(15*time.Millisecond, 0, "")
	}
	if rejectedByClass["low"] < 200 || rejectedByClass["high"]*6 > rejectedByClass["low"] {
		t.Errorf("rejected on arrival: %v", rejectedByClass)
	}
}

// With an empty list, or only draining endpoints, requests are rejected at once. Settings without classes and
// events about unknown requests do no harm.
func TestRequestsAreRejectedWithoutUsableEndpoint(t *testing.T) {
	drainingOnly := []balancer.Endpoint{{ID: 1, State: balancer.Draining}}
	for _, list := range [][]balancer.Endpoint{nil, drainingOnly} {
		for _, s := range []balancer.Settings{{}, rigSettings()} {
			r := newRig(t, s, 0)
			r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Endpoints: list})
			r.feed(balancer.RequestArrived{ID: "a", Class: "unknown", Timeout: time.Second})
			if _, ok := r.lastAnswer["a"].(balancer.Reject); !ok || len(r.sent) != 0 {
				t.Errorf("%v: answer %v, attempts %v", list, r.lastAnswer["a"], r.sent)
			}
		}
	}
	r := newRig(t, balancer.Settings{}, 2) // settings without classes
	r.feed(balancer.RequestArrived{ID: "a", Class: "x", Timeout: 0})
	if _, ok := r.lastAnswer["a"].(balancer.Reject); !ok {
		t.Error("a request with timeout 0 was not rejected")
	}
	r.feed(balancer.RequestArrived{ID: "b", Class: "x", Timeout: time.Second})
	r.feed(balancer.AttemptEnded{ID: "unknown", Attempt: 3, Endpoint: 9, Outcome: balancer.OK, LoadReport: &balancer.LoadReport{}})
	r.feed(balancer.RequestAbandoned{ID: "unknown"})
	r.feed(balancer.TimerFired{Token: 99})
	r.run(2*time.Second, 50, "x")
	if r.sent[1]+r.sent[2] == 0 {
		t.Error("no attempt without classes")
	}
}

// An endpoint that rejects a request gets no requests for imposedModeTTL, and then gets requests again.
func TestRejectionBlocksEndpointOnlyForModeTTL(t *testing.T) {
	r := newRig(t, rigSettings(), 1)
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return time.Millisecond, balancer.Rejected
	}
	r.run(5*time.Millisecond, 200, "low")
	r.run(100*time.Millisecond, 0, "low")
	r.reset()
	r.run(800*time.Millisecond, 20, "low")
	if r.sent[1] != 0 {
		t.Errorf("%d attempts to a blocked endpoint", r.sent[1])
	}
	r.run(200*time.Millisecond, 0, "low")
	r.run(200*time.Millisecond, 20, "low")
	if r.sent[1] == 0 {
		t.Error("the blocking mode did not lapse")
	}
}

// One class suddenly costs eleven times as much on a lightly loaded fleet: no endpoint is at fault, and most
// requests of the other class must still be served. Guards against limits that are derived from what a
// lightly loaded fleet has in flight (without the smallest window 60 of 300 requests were served in time).
// The requests that are still rejected are the cost of not knowing that the endpoints could serve more.
func TestSuddenlyExpensiveClassEjectsNoEndpoint(t *testing.T) {
	r := newRig(t, rigSettings(), 6)
	runBothClasses := func(length time.Duration) {
		for end := r.now + length; r.now < end; {
			r.run(50*time.Millisecond, 61, "low")
			r.run(50*time.Millisecond, 21, "nonidempotent")
		}
	}
	runBothClasses(10 * time.Second)
	r.extraLatency = func(id balancer.RequestID) time.Duration {
		if strings.HasPrefix(string(id), "nonidempotent") {
			return 500 * time.Millisecond
		}
		return 0
	}
	r.reset()
	r.inTime = map[string]int{}
	runBothClasses(10 * time.Second)
	if r.logLines > 0 {
		t.Errorf("%d log lines about endpoints ejected because of heavy requests", r.logLines)
	}
	if r.inTime["low"] < 190 {
		t.Errorf("%d of 300 requests of the unchanged class were served in time, %d rejected", r.inTime["low"], r.rejected)
	}
	minSent, maxSent := r.sent[1], r.sent[1]
	for _, n := range r.sent {
		minSent, maxSent = min(minSent, n), max(maxSent, n)
	}
	if len(r.sent) < 6 || maxSent > 2*minSent {
		t.Errorf("uneven load on equal endpoints: %v", r.sent)
	}
}

// Overload whose rejected clients retry, twice each: the class with high priority must be served, the queues
// of the endpoints must stay short, and clients must not all get the same Retry-After.
func TestOverloadWithClientRetriesServesHighPriority(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.retries, r.timeout = 2, 1200*time.Millisecond
	idleAt := map[balancer.EndpointID]time.Duration{}
	longestWait := time.Duration(0)
	// An endpoint serves one request at a time, in 20 ms.
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		idleAt[id] = max(idleAt[id], r.now) + 20*time.Millisecond
		longestWait = max(longestWait, idleAt[id]-r.now)
		return idleAt[id] - r.now, balancer.OK
	}
	runBothClasses := func(length time.Duration, rate float64) int {
		start := r.nextID
		for end := r.now + length; r.now < end; {
			r.run(50*time.Millisecond, 40, "high")
			r.run(50*time.Millisecond, rate, "low")
		}
		return r.nextID - start
	}
	runBothClasses(10*time.Second, 60)
	r.inTime, longestWait, r.retryAfters = map[string]int{}, 0, nil
	runBothClasses(10*time.Second, 600) // 20 and 300 per second; the endpoints can serve 200
	if r.inTime["high"] < 170 {
		t.Errorf("%d of 200 requests of class high in time", r.inTime["high"])
	}
	if r.inTime["low"] < 1000 {
		t.Errorf("%d requests of class low in time, of about 1800 that the endpoints could serve", r.inTime["low"])
	}
	if longestWait > 300*time.Millisecond {
		t.Errorf("longest queue of an endpoint: %v", longestWait)
	}
	distinct := map[time.Duration]bool{}
	for _, retryAfter := range r.retryAfters {
		distinct[retryAfter] = true
	}
	if len(distinct) < len(r.retryAfters)/4 {
		t.Errorf("%d rejections with %d different Retry-After values", len(r.retryAfters), len(distinct))
	}
}

// Guards against forgetting the base latency of the fleet: an overload of a minute must not make the queues
// that it causes look normal, as they would then grow until endpoints slow down.
func TestLongOverloadDoesNotLengthenQueues(t *testing.T) {
	settings := rigSettings()
	// The objective is distant, so that only the base latency bounds the queue.
	settings.Classes[1].LatencyObjective = 10 * time.Second
	r := newRig(t, settings, 4)
	idleAt := map[balancer.EndpointID]time.Duration{}
	var totalWait, responses time.Duration
	// An endpoint serves one request at a time, in 20 ms.
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		idleAt[id] = max(idleAt[id], r.now) + 20*time.Millisecond
		totalWait, responses = totalWait+idleAt[id]-r.now, responses+1
		return idleAt[id] - r.now, balancer.OK
	}
	r.run(10*time.Second, 100, "low")
	r.run(10*time.Second, 400, "low")
	totalWait, responses = 0, 0
	r.run(5*time.Second, 400, "low")
	earlyWait := totalWait / responses
	r.run(60*time.Second, 400, "low")
	totalWait, responses = 0, 0
	r.run(5*time.Second, 400, "low")
	if lateWait := totalWait / responses; lateWait > earlyWait*5/4 {
		t.Errorf("mean wait %v after 10 s of overload, %v after 75 s", earlyWait, lateWait)
	} else {
		t.Log(earlyWait, lateWait)
	}
}
