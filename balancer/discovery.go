package balancer

import "time"

const (
	// minPollBackoff is the mean backoff after the first failed poll. While polls fail, the mean backoff grows
	// to four times minPollBackoff.
	minPollBackoff = 200 * time.Millisecond
	// pollSpacing times the number of proxies is the shortest mean backoff in a large fleet, as all proxies may
	// poll one discovery service at the same time.
	pollSpacing = 50 * time.Millisecond
	// A poll that fails after slowFailureThreshold or later is taken to have waited in discovery's queue.
	slowFailureThreshold = 500 * time.Millisecond
	// congestionTimeout is the time for which polls have to fail, the last of them slowly, before discovery is
	// taken to be congested.
	congestionTimeout = 20 * time.Second
	// provenCongestionTimeout replaces congestionTimeout if an answer has shown that the polls of all proxies
	// fit into maxPollRoundTime.
	provenCongestionTimeout = 10 * congestionTimeout
	// maxPollRoundTime is the time within which discovery must be able to answer one poll of each proxy.
	maxPollRoundTime = 3400 * time.Millisecond
)

// MaxPollBackoff bounds the time from an UpdateFailed to the next Subscribe. Once discovery has a change and
// can be reached, each proxy must learn of the change within 6 s, however many polls have failed before. In
// the worst case, a poll that began just before stays unanswered for 1.5 s, then the proxy waits 2.7 s, and
// the next poll is answered after another 1.5 s (package registry/client). The remaining 0.3 s are a margin
// for the proxy's own clock. The backoff is shorter where the settings require a shorter poll interval.
const MaxPollBackoff = 2700 * time.Millisecond

// maxMeanPollBackoff is the longest mean backoff. Jitter extends it by half, to MaxPollBackoff.
const maxMeanPollBackoff = MaxPollBackoff * 2 / 3

// discoveryPoller is the state of this proxy's polls of discovery. A poll is a Subscribe action. When
// discovery answers it, a watch begins.
type discoveryPoller struct {
	watching           bool          // the last poll was answered, and its watch has not ended
	pollInFlight       bool          // a poll waits for its answer
	nextPollAt         Time          // time before which no poll is made
	lastPollAt         Time          // when the last poll began
	failingSince       Time          // when the present series of failures began; 0: there is none
	lastFailureWasSlow bool          // the last failed poll took slowFailureThreshold or longer
	fastestAnswer      time.Duration // shortest time in which a poll was answered; 0: none was answered
}

// pollDiscovery polls discovery if the next poll is due. It makes no new poll while a watch is open or while
// a poll is unanswered: that poll would lose its place in discovery's queue.
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
	b.lastFailureWasSlow = b.pollInFlight && b.now-b.lastPollAt >= slowFailureThreshold
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

// discoveryCongested reports whether discovery is taken to be too slow for all proxies to poll at this rate.
// Their polls would then time out in its queue and be repeated, and none would ever be answered. To this
// proxy an outage looks the same. It therefore assumes congestion only if polls have failed for longer than
// congestionTimeout and the last of them did not fail at once.
//
// An answered poll has taken at least as long as discovery needs for one poll. If the fastest answer, times
// the number of proxies, is within maxPollRoundTime, the polls of all proxies fit, unless discovery has
// become slower since. Congestion is then assumed only after provenCongestionTimeout.
func (b *Balancer) discoveryCongested() bool {
	timeout := congestionTimeout
	if b.fastestAnswer > 0 && time.Duration(b.settings.Proxies)*b.fastestAnswer <= maxPollRoundTime {
		timeout = provenCongestionTimeout
	}
	return b.lastFailureWasSlow && b.now-b.failingSince > timeout
}
