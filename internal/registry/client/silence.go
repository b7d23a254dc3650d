package client

import "time"

// The bound for silence. What a silent call misses counts as known 6 s after it fell silent or, for one that
// is held, 2 s after its hold if that is later. A call is silent if it has no complete answer by the end of
// its hold and grace, wherever it stands still: at the connection, ahead of the first byte or amid the
// answer. After that, and any other failure, no connection of before is used again, and the next call is not
// held, so that its own silence shows after the grace alone.
//
// So two silences in a row fit into the clock of the first where lists are pushed, also if the connection
// fell silent right after an answer: notHeld, holdPushed, gracePushed, at once the next, gracePushed, 1.5 *
// backoffLow, which makes 5.7 s. Where lists are polled, the call after a silent one is made within
// holdPolled + gracePolled + spreadSilent, 21.75 s of 22 s, and if it is silent, too, the balancer knows
// gracePolled later.
//
// The bound for what follows a failure. A change is to be known 6 s after discovery has it and can be
// reached, whatever calls failed before. As no call after a failure is held, one that began just ahead of
// that moment ends with the grace, and the next comes after the longest wait. Pushed: gracePushed, 1.5 *
// backoffHigh, an answer within gracePushed, 2.4 s. Polled: gracePolled, balancer.MaxPollBackoff, an answer
// within gracePolled, 5.7 s; balancer/discovery.go says what fleets of over 36 proxies do when calls stay
// silent for long. The project's registry, once a list is known: answerGrace, maxBackoff, an answer within
// answerGrace, 5.5 s.
const (
	holdPushed = 3500 * time.Millisecond // a watch on the agent costs it nothing, and the proxy little
	holdPolled = 20 * time.Second        // a call to the shared service costs it work
	minHold    = time.Millisecond        // of a call to be answered at once with what is new
	// the agent is on this machine; three calls fit into the 4 s after a move
	gracePushed = time.Second
	gracePolled = 1500 * time.Millisecond // the shared service takes calls in turn
	// before a call that follows an answer that was not held; 200 ms would end the watch
	notHeld = 100 * time.Millisecond

	backoffLow  = 50 * time.Millisecond  // before the second call that fails in a row
	backoffHigh = 250 * time.Millisecond // what the agent holds counts as known, outage or not

	// over which proxies ask again whose calls to the shared service fell silent or broke together
	spreadSilent = 250 * time.Millisecond
	// and whose discovery moved: two calls fit into what is left of the 4 s
	spreadMove = 600 * time.Millisecond
	// for the rest of an answer that has begun to come by then: it passes during spreadMove, or ahead of the
	// three calls
	moveGrace = 500 * time.Millisecond
)
