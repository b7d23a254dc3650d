package balancer

import "time"

const (
	// minPollBackoff is the mean backoff after the first failed poll; while polls fail it grows to four times
	// that.
	minPollBackoff = 200 * time.Millisecond
	// pollSpacing is the backoff that each proxy of the fleet adds, as all may poll one discovery service at the
	// same time.
	pollSpacing = 50 * time.Millisecond
	// immediateFailure is the time after which a failed poll is taken to have waited in the queue of discovery.
	immediateFailure = 500 * time.Millisecond
	// congestionTimeout is the time for which slow polls have to fail before discovery is taken to be congested.
	congestionTimeout = 20 * time.Second
	// provenCongestionTimeout replaces congestionTimeout where an answer has shown that the polls of all proxies
	// fit into maxPollRoundTime.
	provenCongestionTimeout = 10 * congestionTimeout
	// maxPollRoundTime is the time in which discovery has to answer one poll of each proxy in turn.
	maxPollRoundTime = 3400 * time.Millisecond
)

// MaxPollBackoff bounds the time from an UpdateFailed to the next Subscribe. A proxy must learn of a change
// within 6 s of the moment from which discovery has the change and can be reached, however many polls have
// failed before. A poll that began just before this moment may stay unanswered for 1.5 s, and the next one
// may be answered after another 1.5 s (package registry/client). With the backoff that makes 1.5 s + 2.7 s +
// 1.5 s; the rest is a margin for the proxy's own clock. The backoff is shorter where the settings
// require a shorter poll interval.
const MaxPollBackoff = 2700 * time.Millisecond

// maxMeanPollBackoff is the longest mean backoff: jitter extends a backoff to MaxPollBackoff at most.
const maxMeanPollBackoff = MaxPollBackoff * 2 / 3

// discoveryPoller is the state of this proxy's polls of discovery and of its watch.
type discoveryPoller struct {
	watching           bool          // discovery has accepted a watch, which has not ended
	pollInFlight       bool          // a poll waits for its answer
	nextPollAt         Time          // time before which no poll is made
	lastPollAt         Time          // when the last poll began
	failingSince       Time          // time of the first of the failures in a row; 0: the last poll did not fail
	lastFailureWasSlow bool          // the last poll that failed did so after immediateFailure or later
	fastestAnswer      time.Duration // shortest time in which a poll was answered; 0: none was
}

// pollDiscovery polls discovery if the next poll is due. While a poll waits for its answer or a watch is open
// it makes no new poll, which would lose its place in the queue of discovery.
func (b *Balancer) pollDiscovery() {
	if b.settings.PollForEndpoints && !b.watching && !b.pollInFlight && b.now >= b.nextPollAt {
		b.pollInFlight = true
		b.lastPollAt = b.now
		b.emit(Subscribe{On: true})
	}
}

// discoveryAnswered handles the answer to a poll.
func (b *Balancer) discoveryAnswered() {
	if elapsed := b.now - b.lastPollAt; b.fastestAnswer == 0 || elapsed < b.fastestAnswer {
		b.fastestAnswer = elapsed
	}
	b.watching = true
	b.pollInFlight = false
	b.failingSince = 0
	b.lastFailureWasSlow = false
}

// discoveryFailed handles the failure of a poll, or the end of a watch.
func (b *Balancer) discoveryFailed() {
	if b.failingSince == 0 {
		b.failingSince = b.now
	}
	b.lastFailureWasSlow = b.pollInFlight && b.now-b.lastPollAt >= immediateFailure
	b.watching = false
	b.pollInFlight = false
	b.nextPollAt = b.now + b.jitter(b.pollBackoff())
}

// minPollWait is the shortest mean wait between polls. Discovery serves all proxies in turn: proxies that
// start together and poll at once would fill its queue with polls that time out there and are then repeated.
func (b *Balancer) minPollWait() time.Duration {
	spacing := time.Duration(b.settings.Proxies) * pollSpacing
	return max(minPollBackoff, min(spacing, b.settings.PollInterval/2))
}

// pollBackoff is the mean wait after a failed poll, before jitter.
func (b *Balancer) pollBackoff() time.Duration {
	minWait := b.minPollWait()
	if minWait > maxMeanPollBackoff && b.discoveryCongested() {
		return max(minWait, b.settings.PollInterval)
	}
	failingFor := b.now - b.failingSince
	return min(maxMeanPollBackoff, max(minWait, min(failingFor, 4*minPollBackoff, b.settings.PollInterval/2)))
}

// discoveryCongested reports whether polls may fail because they queue at a discovery service that is too
// slow for all proxies to poll at this rate, so that none would ever be answered. From here an outage looks
// the same. Discovery is therefore taken to be congested only after congestionTimeout, and never after a poll
// that failed at once. An answered poll has waited for its turn at least: if the fastest answer, times the
// number of proxies, is within maxPollRoundTime, the polls of all proxies fit, unless discovery has become
// slower since. That is assumed only after provenCongestionTimeout.
func (b *Balancer) discoveryCongested() bool {
	timeout := congestionTimeout
	if b.fastestAnswer > 0 && time.Duration(b.settings.Proxies)*b.fastestAnswer <= maxPollRoundTime {
		timeout = provenCongestionTimeout
	}
	return b.lastFailureWasSlow && b.now-b.failingSince > timeout
}
