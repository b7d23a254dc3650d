package client

import "time"

// Times of calls to the platform's discovery. They follow from two bounds.
//
// The bound after a silent call: a change that a silent call misses must be known 6 s after the call fell
// silent or, for a call with a hold, 2 s after the end of its hold if that is later. A call is silent if its
// response is not complete at the end of the call's hold and grace: the connection was not established, or
// all or a part of the response is missing. After any failed call, silent or not, no existing connection is
// used again, and the next call has no hold, so that its failure is noticed after the grace alone.
//
// If lists are pushed, two silent calls in a row fit into the bound of the first call, even if the connection
// fell silent right after a response: immediateResponsePause, holdPushed and gracePushed of the first call,
// gracePushed of the second call, which follows at once, and 1.5 * minPlatformBackoff take 5.7 s. If lists
// are polled, the call after a silent call is made within holdPolled + gracePolled + silentRetrySpread,
// 21.75 s of 22 s; if that call is silent, too, the balancer is notified gracePolled later.
//
// The bound after any failure: a change must be known 6 s after discovery has the change and can be reached,
// whatever calls failed before. No call after a failure has a hold. A call that began just before discovery
// could be reached therefore ends after its grace, and the next call follows after the longest backoff.
// Pushed lists: gracePushed, 1.5 * maxPlatformBackoff and a response within gracePushed take 2.4 s. Polled
// lists: gracePolled, balancer.MaxPollBackoff and a response within gracePolled take 5.7 s;
// balancer/discovery.go describes fleets of over 36 proxies when calls stay silent for long. Lists of the
// project's registry, once a list is known: responseGrace, maxBackoff and a response within responseGrace
// take 5.5 s.
const (
	holdPushed = 3500 * time.Millisecond // short: a watch costs the agent nothing and the proxy little
	holdPolled = 20 * time.Second        // long: each call costs the shared service work
	minHold    = time.Millisecond        // the call is answered at once with the changes so far
	// gracePushed is short, as the agent is on this machine: three calls fit into the 4 s after a move.
	gracePushed = time.Second
	gracePolled = 1500 * time.Millisecond // the shared service answers calls one after the other
	// immediateResponsePause is the pause after a response without changes that came at once. With a pause of
	// 200 ms discovery would no longer count the calls as one watch.
	immediateResponsePause = 100 * time.Millisecond

	minPlatformBackoff = 50 * time.Millisecond  // after the second failure in a row
	maxPlatformBackoff = 250 * time.Millisecond // short: changes that the agent has count as known in an outage

	// silentRetrySpread spreads the calls of proxies whose calls to the shared service failed at the same time.
	silentRetrySpread = 250 * time.Millisecond
	// moveSpread spreads the first calls of proxies whose discovery moved. After it two polled calls still fit
	// into the 4 s after a move.
	moveSpread = 600 * time.Millisecond
	// moveGrace is the time for the end of a response that had begun to arrive at a move. It is a part of
	// moveSpread if lists are polled, and precedes the three calls to the agent if they are pushed.
	moveGrace = 500 * time.Millisecond
)
