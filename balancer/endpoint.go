package balancer

import "time"

// EndpointID identifies an endpoint. The balancer does not interpret it.
type EndpointID uint32

// EndpointState is the state of an endpoint according to discovery.
type EndpointState int

const (
	// Ready endpoints accept requests.
	Ready EndpointState = iota
	// Draining endpoints finish the requests that they have and accept no more.
	Draining
	// Removed endpoints have left the list.
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Zone        string
	MachineType string
	Cell        int // endpoints of one cell share their knowledge of idempotency keys
	State       EndpointState
	Weight      float64 // relative to other endpoints, without a unit
	StartedAt   Time    // when its process started; 0: long ago
}

// endpoint is the balancer's state of a listed endpoint.
type endpoint struct {
	Endpoint              // its last entry in the list
	observedSince Time    // when it was first listed, or began its last slow start
	ringPosition  uint64  // hash of its ID
	inBaseSubset  bool    // in the subset that this proxy uses while no endpoint is ejected
	inMaintenance bool    // taken out by an operator
	nextLogAt     Time    // time before which no log line about it is written
	roundingPhase float64 // in [0, 1); decides whether its in-flight limit is rounded up or down

	endpointLoad
	overloadState
	latencyEstimate
	outlierState
	slowStart
	endpointPeers
}

// endpointLoad is the load of an endpoint, as far as this proxy knows.
type endpointLoad struct {
	inFlight     float64 // attempts of this proxy or, after a load query, all requests at the endpoint
	inFlightWork float64 // expected work of this proxy's attempts, in mean requests
	reportedAt   Time    // when the last load report arrived
}

// overloadState is the overload mode of an endpoint, and the state that determines it.
type overloadState struct {
	mode             Mode    // by the counts of this proxy
	localMode        Mode    // by this endpoint's count alone
	reportedMode     Mode    // by the endpoint's load reports
	imposedMode      Mode    // by a rejection or a load report
	imposedUntil     Time    // when the imposed mode lapses
	inFlightLimit    float64 // attempts of this proxy, see computeInFlightLimit; 0: not computed yet
	overloadFraction float64 // position of the count between the limit (0) and the blocking threshold (1)
}

// latencyEstimate holds the estimates of an endpoint's latency and of the rate of its responses.
type latencyEstimate struct {
	excessLatency   float64 // s, smoothed latency of a mean request, minus the fleet's mean latency
	excessLatencyAt Time    // when excessLatency was updated
	responseRate    float64 // responses per second to this proxy, smoothed
	responseRateAt  Time    // when responseRate was updated
}

// outlierState holds the failures of an endpoint and the state that follows from them.
type outlierState struct {
	ejected bool // it gets only recovery probes
	// maybeRestarted is set if the endpoint may be down: it may come back as a new process that the list does
	// not show.
	maybeRestarted      bool
	failureRate         float64       // smoothed fraction of its attempts that fail
	consecutiveFailures int           // since its last success; a refused connection counts twice
	unansweredSends     int           // attempts since its last response
	unresponsiveSince   Time          // when unansweredSends reached ejectAfterFailures
	lastAnsweredSend    Time          // latest start of an attempt that was answered
	nextProbeAt         Time          // time before which no recovery probe is sent
	probeBackoff        time.Duration // wait after the next recovery probe, before jitter
}

// slowStart is the token bucket that limits the rate of attempts at an endpoint that has just started.
type slowStart struct {
	slowStarting      bool
	slowStartSince    Time
	slowStartTokens   float64 // attempts that may start
	slowStartTokensAt Time    // when slowStartTokens was updated
}

// endpointPeers holds what this proxy knows of the other proxies that use an endpoint.
type endpointPeers struct {
	peers        []int      // indexes of these proxies, as peersOf determined them
	peersVersion int        // Balancer.ringVersion when peers was determined
	peerLoads    []peerLoad // the last report of each proxy
}

// isUnresponsive reports whether ejectAfterFailures or more attempts at a listed endpoint are unanswered.
func (e *endpoint) isUnresponsive() bool {
	return e.State != Removed && e.unansweredSends >= ejectAfterFailures
}

// forgetFailures resets the state that follows from failures of a previous process of the endpoint.
func (e *endpoint) forgetFailures(now Time) {
	e.ejected = false
	e.consecutiveFailures = 0
	e.unansweredSends = 0
	e.failureRate = 0
	e.imposedUntil = now
}
