package balancer

import "time"

// EndpointID names an endpoint. It is opaque.
type EndpointID uint32

// EndpointState is what discovery says of an endpoint.
type EndpointState int

const (
	// Ready endpoints take requests.
	Ready EndpointState = iota
	// Draining endpoints finish what they have.
	Draining
	// Removed endpoints have left the list.
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Zone        string
	MachineType string
	Cell        int // endpoints of one cell share knowledge of idempotency keys
	State       EndpointState
	Weight      float64 // relative to other endpoints, without unit
	StartedAt   Time    // of its process; 0: long ago
}

// endpoint is what the balancer knows of an endpoint.
type endpoint struct {
	Endpoint              // as last listed
	firstListedAt Time    // or when its present process started
	ringPosition  uint64  // hash of its ID
	inBaseSubset  bool    // within the subset that this proxy has when no endpoint is ejected
	inMaintenance bool    // taken out by an operator
	logQuietUntil Time    // no log line about it until then
	roundingPhase float64 // in [0, 1), by which its in-flight limit is rounded

	endpointLoad
	overloadState
	latencyEstimate
	outlierState
	slowStart
	endpointPeers
}

// endpointLoad is what an endpoint has to do, as far as this proxy knows.
type endpointLoad struct {
	inFlight     float64 // attempts of this proxy or, after a load query, all requests that the endpoint has
	inFlightWork float64 // of this proxy's attempts, in mean requests
	reportedAt   Time    // when the last load report came
}

// overloadState is the mode of an endpoint and what it follows from.
type overloadState struct {
	mode          Mode    // by own counts
	localMode     Mode    // by this endpoint's own count alone
	reportedMode  Mode    // by its load reports
	imposedMode   Mode    // by a rejection or a load report
	imposedUntil  Time    // the imposed mode lapses
	inFlightLimit float64 // H of the overload control; 0: not computed yet
	overload      float64 // where its count stands between the limit, 0, and the blocking threshold, 1
}

// latencyEstimate is what responses have shown of an endpoint.
type latencyEstimate struct {
	excessLatency   float64 // s, of a mean request, smoothed, above the fleet's mean
	excessLatencyAt Time
	responseRate    float64 // responses per second to this proxy, smoothed
	responseRateAt  Time
}

// outlierState is what failures have shown of an endpoint.
type outlierState struct {
	ejected bool // it gets recovery probes alone
	// it may be down, and so may come back without having been listed as started
	maybeRestarted      bool
	failureRate         float64       // smoothed fraction of its attempts that fail
	consecutiveFailures int           // since its last success
	unansweredSends     int           // since its last response
	unresponsiveSince   Time          // when the ejectAfter-th of them began
	lastAnsweredSend    Time          // when the last attempt that was answered began
	nextProbeAt         Time          // no recovery probe before
	probeBackoff        time.Duration // wait after the next recovery probe, before jitter
}

// slowStart is the token bucket that limits how fast work goes to an endpoint that has just started.
type slowStart struct {
	slowStarting      bool
	slowStartSince    Time
	slowStartTokens   float64 // attempts that may begin
	slowStartTokensAt Time
}

// endpointPeers is what this proxy knows of the other proxies that work with an endpoint.
type endpointPeers struct {
	peers        []int // indexes of these proxies, as peersOf found them
	peersVersion int   // ringVersion at that time
	peerLoads    []peerLoad
}

// isUnresponsive reports whether a listed endpoint has several attempts that it does not answer.
func (e *endpoint) isUnresponsive() bool {
	return e.State != Removed && e.unansweredSends >= ejectAfter
}

// forget drops what was learned of an earlier process of the endpoint.
func (e *endpoint) forgetFailures(now Time) {
	e.ejected = false
	e.consecutiveFailures = 0
	e.unansweredSends = 0
	e.failureRate = 0
	e.imposedUntil = now
}
