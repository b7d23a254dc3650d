package client

import "time"

// Times of calls to the platform's discovery. They follow from two bounds.
//
// The bound after a silent call: a change that a silent call misses must be known 6 s after the call fell
// silent or, for a call with a hold, 2 s after the end of its hold if that is later. A call is silent if its
// response is not complete at the end of its hold and grace, whether the connection, the first byte or the
// rest of the response is missing. After a silent call, as after any other failure, no existing connection is
// used again, and the next call has no hold, so that its own silence is noticed after the grace alone.
//
// If lists are pushed, two silent calls in a row fit into the bound of the first, even if the connection fell
// silent right after a response: immediateAnswerPause, holdPushed, gracePushed, at once the next call,
// gracePushed and 1.5 * minPlatformBackoff take 5.7 s. If lists are polled, the call after a silent one is
// made within holdPolled + gracePolled + silentRetrySpread, 21.75 s of 22 s; if that call is silent, too, the
// balancer is notified gracePolled later.
//
// The bound after any failure: a change must be known 6 s after discovery has it and can be reached, whatever
// calls failed before. No call after a failure has a hold, so a call that began just before that moment ends
// with its grace, and the next call follows after the longest backoff. Pushed: gracePushed, 1.5 *
// maxPlatformBackoff and a response within gracePushed take 2.4 s. Polled: gracePolled,
// balancer.MaxPollBackoff and a response within gracePolled take 5.7 s; balancer/discovery.go describes
// fleets of over 36 proxies when calls stay silent for long. The project's registry, once a list is known:
// answerGrace, maxBackoff and a response within answerGrace take 5.5 s.
const (
	holdPushed = 3500 * time.Millisecond // a watch costs the agent nothing and the proxy little
	holdPolled = 20 * time.Second        // each call costs the shared service work
	minHold    = time.Millisecond        // of a call that is to be answered at once with the changes so far
	// gracePushed is short, as the agent is on this machine: three calls fit into the 4 s after a move.
	gracePushed = time.Second
	gracePolled = 1500 * time.Millisecond // the shared service answers calls one after the other
	// immediateAnswerPause precedes a call after a response that came without a hold. With a pause of 200 ms
	// discovery would no longer count the calls as one watch.
	immediateAnswerPause = 100 * time.Millisecond

	minPlatformBackoff = 50 * time.Millisecond  // after the second failure in a row
	maxPlatformBackoff = 250 * time.Millisecond // short: what the agent has counts as known even in an outage

	// silentRetrySpread spreads the calls of proxies whose calls to the shared service failed at the same time.
	silentRetrySpread = 250 * time.Millisecond
	// moveSpread spreads the first calls of proxies whose discovery moved: two calls fit into the rest of the 4
	// s.
	moveSpread = 600 * time.Millisecond
	// moveGrace is the time for the rest of a response that had begun to arrive at a move. It passes during
	// moveSpread, or before the three calls to an agent.
	moveGrace = 500 * time.Millisecond
)
