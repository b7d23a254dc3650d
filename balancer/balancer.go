// Package balancer makes the decisions of a load-balancing proxy: which endpoint gets a request, when another
// attempt is made, when a request is shed. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events (Balancer.Handle) and carries out the actions that it returns, in order.
//
// The interface is in settings.go, events.go, actions.go and learned.go. Each decision stands in one file:
//
//	handle.go           what each event leads to, and the periodic round of checks
//	requests.go         a request from its arrival to its one final answer
//	pickendpoint.go     which endpoint gets an attempt
//	loadquery.go        asking endpoints for their load before an attempt
//	shedding.go         which requests are shed when no endpoint is below its limit
//	sendrules.go        the rules that every attempt has to pass
//	attempts.go         an attempt from its start to its end
//	retrybudget.go      how many retries and recovery probes there may be
//	lostattempts.go     which attempts are given up for another
//	endpointset.go      which endpoints there are, and the subset that this proxy works with
//	inflightlimit.go    how many requests an endpoint may have
//	overload.go         the overload mode of an endpoint
//	latency.go          estimates of the latency and rate of endpoints and classes
//	outlier.go          which endpoints are ejected, and when they are back
//	recoveryprobe.go    requests that test an ejected endpoint
//	slowstart.go        how fast work goes to an endpoint that has just started
//	gossip.go           what proxies tell each other of the endpoints that they share
//	limits.go           how the operators' rate limits (package ratelimit) are applied
//
// The state that the decisions share is in balancer.go, endpoint.go, placement.go and request.go.
package balancer

import (
	"fmt"
	"math"
	"time"

	"wrenspread/internal/splitmix"
)

// Time is a reading of the caller's monotonic clock. Its zero has no meaning of its own.
type Time = time.Duration

const forever Time = math.MaxInt64

const (
	// between log lines on one endpoint: one that fails and recovers must not fill a disk
	logInterval = 5 * time.Second
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings    Settings
	randomState uint64   // of a SplitMix64 generator
	now         Time     // of the event that is being handled
	actions     []Action // that it has led to so far
	ticking     bool     // the timer of the round of checks is set
	handedOver  bool     // a new process serves in place of this one

	classes         map[string]*class
	previousClasses map[string]*class // of the settings before
	classOrder      []*class
	tenants         map[string]*tenant
	placements      []*placement

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	awaitingLoad []*request // held until endpoints have answered a load query

	endpointSet
	fleetEstimates
	budgets
	gossipState
	discoveryPoller

	periodStart Time // of the present shedding period
	queriesLoad bool // endpoints are asked for their load before each attempt
	limiters    [2]limiter
	degradation int // present level of degradation, 0: none
}

// endpointSet holds the endpoints and the subset of them that this proxy works with.
type endpointSet struct {
	endpoints        map[EndpointID]*endpoint
	maintenance      map[EndpointID]bool            // taken out by an operator, listed or not
	maintenanceEnded map[EndpointID]Time            // recently returned by an operator, listed or not
	inherited        map[EndpointID]LearnedEndpoint // learned by an earlier process, of endpoints not listed yet
	ring             ring                           // all that are not removed
	ejected          ring                           // those of them that are ejected; some may not be any more
	unresponsive     ring                           // those of them that answer nothing; the same
	// position on the ring from which this proxy takes its subset
	origin      uint64
	baseSubset  []*endpoint // those with inBaseSubset set
	ringVersion int         // counts the changes of endpoints and settings
	subset                  // of the complete list, that this proxy was given
}

// fleetEstimates are estimates over all endpoints that this proxy works with.
type fleetEstimates struct {
	hasEstimates        bool    // there have been enough responses to rely on them
	responses           float64 // count
	meanLatency         float64 // s, smoothed
	baseLatency         float64 // s, of the fleet while it is not loaded
	serviceTime         float64 // s, of a mean request without queueing
	endpointConcurrency float64 // requests that an endpoint works on at once, by load reports
	meanRate            float64 // responses per second of the mean endpoint
	peakRate            float64 // the highest that this has been lately
	meanWeight          float64 // weight of the mean endpoint
	tightestObjective   float64 // s, the smallest latency objective, for a request of mean cost
}

// New makes the balancer of a proxy that has just started. The same seed and events give the same actions.
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

// Ejected returns how many listed endpoints get no requests now, or recovery probes alone: ejected ones and
// those in maintenance.
func (b *Balancer) Ejected() (count int) {
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

// logEndpoint logs a line about an endpoint, unless it has been the subject of one within logInterval.
func (b *Balancer) logEndpoint(e *endpoint, line string) {
	if b.now >= e.logQuietUntil {
		e.logQuietUntil = b.now + logInterval
		b.emit(Log{fmt.Sprintf("server %d %s", e.ID, line)})
	}
}

// random returns a number in [0, 1). The order of the draws is part of the behaviour that seeds reproduce.
func (b *Balancer) random() float64 {
	b.randomState += splitmix.Increment
	return float64(splitmix.Mix(b.randomState)>>11) / (1 << 53)
}

// jitter returns a time from half of d to one and a half of it.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + b.random()))
}

// seconds converts a figure in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
