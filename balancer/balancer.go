// Package balancer makes the decisions of a load-balancing proxy: which endpoint gets a request, when another
// attempt is made, when a request is shed. It does no I/O, reads no clock and starts no goroutine: the caller
// passes events to Balancer.Handle and carries out the returned actions in order.
//
// The interface is in settings.go, events.go, actions.go and learned.go. Each decision has a file of its own:
//
//	handle.go           the dispatch of events, and the periodic round of checks
//	requests.go         a request from its arrival to its final answer
//	pickendpoint.go     the choice of the endpoint for an attempt
//	loadquery.go        load queries to endpoints before an attempt
//	shedding.go         the requests that are shed when no endpoint is below its limit
//	sendrules.go        the rules that every attempt has to pass
//	attempts.go         an attempt from its start to its end
//	retrybudget.go      the budgets of retries and recovery probes
//	lostattempts.go     attempts that are given up as lost, and replaced by a retry
//	endpointset.go      the listed endpoints, and the subset that this proxy uses
//	inflightlimit.go    the limit on requests in flight at an endpoint
//	overload.go         the overload mode of an endpoint
//	latency.go          estimates of latency and rate, by endpoint and by class
//	outlier.go          the ejection of outliers, and their return
//	recoveryprobe.go    requests that test an ejected endpoint
//	slowstart.go        the rate of attempts at an endpoint that has just started
//	gossip.go           the load that proxies report to each other, by endpoint
//	limits.go           the operators' rate limits (package ratelimit)
//
// A mean request is a request whose work is the mean over all requests. It is the unit of work: a request
// with twice the mean work counts as two mean requests.
//
// The state that the decisions share is in balancer.go, endpoint.go, placement.go and request.go.
package balancer

import (
	"fmt"
	"math"
	"time"

	"wrenspread/internal/splitmix"
)

// Time is a reading of the caller's monotonic clock, whose origin is arbitrary.
type Time = time.Duration

// forever is a time that never comes.
const forever Time = math.MaxInt64

const (
	// logInterval is the shortest time between two log lines about one endpoint: an endpoint that keeps failing
	// and recovering must not fill the disk.
	logInterval = 5 * time.Second
)

// Balancer makes the decisions of one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings    Settings
	randomState uint64   // of a SplitMix64 generator
	now         Time     // time of the event that is being handled
	actions     []Action // of the event that is being handled
	ticking     bool     // the timer of the round of checks has been set
	handedOver  bool     // a new process of this proxy serves the new requests

	classes         map[string]*class
	previousClasses map[string]*class // classes of the previous settings
	classOrder      []*class
	tenants         map[string]*tenant
	placements      []*placement

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival; answered ones are dropped by the round of checks
	awaitingLoad []*request // requests that wait for the results of load queries

	endpointSet
	fleetEstimates
	budgets
	gossipState
	discoveryPoller

	periodStart Time // start of the present shedding period
	queriesLoad bool // endpoints are queried for their load before each attempt
	// The limiters are indexed by tableInForce and shadowTable.
	limiters    [2]limiter
	degradation int // present degradation level; 0: none
}

// endpointSet holds the listed endpoints and the subset of them that this proxy uses.
type endpointSet struct {
	endpoints map[EndpointID]*endpoint
	// An operator may name endpoints that are not listed, or not listed yet.
	maintenance      map[EndpointID]bool // endpoints in maintenance
	maintenanceEnded map[EndpointID]Time // when the recently ended maintenance of an endpoint ended
	// inherited is what a previous process learned of endpoints that have not been listed yet.
	inherited    map[EndpointID]LearnedEndpoint
	ring         ring // all listed endpoints
	ejected      ring // all ejected endpoints, and some that have returned since the last round of checks
	unresponsive ring // all unresponsive endpoints, and some that have responded since
	// origin is the ring position at which this proxy's subset of the endpoints starts.
	origin      uint64
	baseSubset  []*endpoint // the endpoints with inBaseSubset set
	ringVersion int         // number of changes to the list or the settings; invalidates endpointPeers.peers
	// The embedded subset is the part of the complete list that this proxy was given.
	subset
}

// fleetEstimates are estimates over all endpoints that this proxy uses.
type fleetEstimates struct {
	hasEstimates        bool    // enough responses have arrived for the estimates to be used
	responses           float64 // number of responses
	meanLatency         float64 // s, smoothed
	baseLatency         float64 // s, mean latency while the fleet is not loaded
	serviceTime         float64 // s, of a mean request without queueing
	endpointConcurrency float64 // requests that an endpoint works on at the same time, by load reports
	meanRate            float64 // responses per second of the mean endpoint
	peakRate            float64 // highest recent meanRate
	meanWeight          float64 // weight of the mean endpoint
	tightestObjective   float64 // s, the smallest latency objective, scaled to a mean request
}

// New returns the balancer of a proxy that has just started. Equal settings, seeds and events lead to equal
// actions.
func New(settings Settings, seed int64) *Balancer {
	b := &Balancer{randomState: uint64(seed)*2 + 1, requests: map[RequestID]*request{}}
	b.retryBudget = maxRetryBudget
	b.idleProbeWait = maxIdleWithoutProbe
	b.endpointConcurrency = 1
	b.tightestObjective = math.Inf(1)
	b.endpoints = map[EndpointID]*endpoint{}
	b.maintenance = map[EndpointID]bool{}
	b.maintenanceEnded = map[EndpointID]Time{}
	b.applySettings(settings)
	b.proxiesPerEndpoint = float64(b.settings.Proxies)
	return b
}

// Unavailable returns the number of listed endpoints that get no requests at present, or only recovery
// probes: those that are ejected and those in maintenance.
func (b *Balancer) Unavailable() (count int) {
	for _, e := range b.ejected.endpoints {
		if e.ejected {
			count++
		}
	}
	for id := range b.maintenance {
		if e := b.endpoints[id]; e != nil && !e.ejected {
			count++
		}
	}
	return count
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// logEndpoint logs a line about an endpoint unless one was logged within the last logInterval.
func (b *Balancer) logEndpoint(e *endpoint, line string) {
	if b.now >= e.nextLogAt {
		e.nextLogAt = b.now + logInterval
		b.emit(Log{fmt.Sprintf("server %d %s", e.ID, line)})
	}
}

// random returns a number in [0, 1). The order of the draws must not change: a seed has to reproduce a run.
func (b *Balancer) random() float64 {
	b.randomState += splitmix.Increment
	return float64(splitmix.Mix(b.randomState)>>11) / (1 << 53)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + b.random()))
}

// secondsToDuration converts a number of seconds.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
