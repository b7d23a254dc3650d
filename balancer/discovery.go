package balancer

import "time"

const (
	minPollBackoff = 200 * time.Millisecond // grows to four times that while polls fail
	// per proxy: all may poll one discovery service at the same time
	pollSpacing       = 50 * time.Millisecond
	immediateFailure  = 500 * time.Millisecond // a poll that fails sooner waited in no queue
	congestionTimeout = 20 * time.Second       // of failing polls without an answer
	// the same where an answer has shown that polls fit into maxPollRound
	provenCongestionTimeout = 10 * congestionTimeout
	maxPollRound            = 3400 * time.Millisecond // in which a poll of each proxy in turn has to be answered
)

// MaxPollBackoff bounds the wait from UpdateFailed to the next Subscribe. A change is to be known 6 s after
// discovery has it and can be reached, whatever polls failed before. A poll that began just before that
// moment may stay unanswered for 1.5 s, and the next may be answered as late (package registry/client): 1.5 s
// + 2.7 s + 1.5 s, and some for the proxy's own clock. Where the settings want shorter poll intervals, the
// wait is shorter still.
const MaxPollBackoff = 2700 * time.Millisecond

// meanPollBackoff is the mean wait of which jitter makes MaxPollBackoff at most.
const meanPollBackoff = MaxPollBackoff * 2 / 3

// discoveryPoller is what is known of the polls of discovery.
type discoveryPoller struct {
	subscribed        bool          // a watch is held
	polling           bool          // a poll is under way
	nextPollAt        Time          // no poll before
	lastPollAt        Time          // when the last began
	failingSince      Time          // 0: the last poll did not fail
	lastFailureWaited bool          // the last poll that failed had waited for its answer
	fastestAnswer     time.Duration // 0: none has come
}

// pollDiscovery makes a poll whose time has come. One that waits for its answer, or a held watch, is left
// alone: a new poll would lose its turn.
func (b *Balancer) pollDiscovery() {
	if b.settings.PollForEndpoints && !b.subscribed && !b.polling && b.now >= b.nextPollAt {
		b.polling = true
		b.lastPollAt = b.now
		b.emit(Subscribe{On: true})
	}
}

// discoveryAnswered takes the answer to a poll.
func (b *Balancer) discoveryAnswered() {
	if took := b.now - b.lastPollAt; b.fastestAnswer == 0 || took < b.fastestAnswer {
		b.fastestAnswer = took
	}
	b.subscribed = true
	b.polling = false
	b.failingSince = 0
	b.lastFailureWaited = false
}

// discoveryFailed takes a poll that came to nothing, or the end of a watch.
func (b *Balancer) discoveryFailed() {
	if b.failingSince == 0 {
		b.failingSince = b.now
	}
	b.lastFailureWaited = b.polling && b.now-b.lastPollAt >= immediateFailure
	b.subscribed = false
	b.polling = false
	b.nextPollAt = b.now + b.jitter(b.pollBackoff())
}

// minPollWait is the shortest wait between polls. Discovery serves all proxies in turn: those that start and
// poll together would fill its queue with polls that fail in it and so are made again.
func (b *Balancer) minPollWait() time.Duration {
	spacing := time.Duration(b.settings.Proxies) * pollSpacing
	return max(minPollBackoff, min(spacing, b.settings.PollInterval/2))
}

// pollBackoff is the mean wait after failed polls, before jitter.
func (b *Balancer) pollBackoff() time.Duration {
	least := b.minPollWait()
	if least > meanPollBackoff && b.discoveryCongested() {
		return max(least, b.settings.PollInterval)
	}
	failing := b.now - b.failingSince
	return min(meanPollBackoff, max(least, min(failing, 4*minPollBackoff, b.settings.PollInterval/2)))
}

// discoveryCongested reports whether polls may fail in the queue of a discovery service that is too slow for
// so many proxies at this rate, so that none would ever be answered. An outage looks the same from here, so
// it is believed only after congestionTimeout, and not of a poll that was refused at once. An answer takes
// its turn at least: one that came within maxPollRound for each proxy has shown that the polls of all fit,
// unless discovery has become slower since, which is believed after provenCongestionTimeout.
func (b *Balancer) discoveryCongested() bool {
	timeout := congestionTimeout
	if b.fastestAnswer > 0 && time.Duration(b.settings.Proxies)*b.fastestAnswer <= maxPollRound {
		timeout = provenCongestionTimeout
	}
	return b.lastFailureWaited && b.now-b.failingSince > timeout
}
