package balancer

import "time"

// tickInterval is the period of the round of checks; it is well below any latency objective.
const tickInterval = 25 * time.Millisecond

// Handle processes an event and returns the resulting actions in order. now must not decrease between calls.
func (b *Balancer) Handle(now Time, event Event) []Action {
	b.now = now
	b.actions = nil
	if !b.ticking {
		b.startTicking()
	}
	switch event := event.(type) {
	case RequestArrived:
		b.requestArrived(event)
	case RequestReceived:
		b.requestReceived(b.requests[event.ID], event.Timeout)
	case RequestSent:
		b.requestSent(b.requests[event.ID], event.Timeout)
	case RequestAbandoned:
		b.closeRequest(b.requests[event.ID])
	case AttemptEnded:
		b.attemptEnded(event)
	case ResponseStarted:
		if r := b.requests[event.ID]; r != nil && event.Attempt >= 0 && event.Attempt < len(r.attempts) {
			b.responseStarted(r, &r.attempts[event.Attempt], event.Elapsed)
		}
	case LoadQueryEnded:
		b.loadQueryEnded(event)
	case SettingsChanged:
		b.applySettings(event.Settings)
		b.rebuildSubsets(nil, b.subset)
	case EndpointsUpdated:
		b.updateEndpoints(event)
	case Maintenance:
		b.setMaintenance(event)
	case Restored:
		b.restore(event.Learned)
	case HandedOver:
		b.handedOver = true
	case MessageReceived:
		b.receiveGossip(event)
	case TableChanged:
		b.setTable(event)
	case DegradationChanged:
		b.degradation = event.Level
	case TimerFired:
		if event.Token != loadQueryToken {
			b.tick()
			b.emit(b.tickTimer())
		}
		b.finishLoadQueries()
	}
	return b.actions
}

func (b *Balancer) tickTimer() SetTimer {
	return SetTimer{After: max(tickInterval, b.settings.MinEventInterval)}
}

// startTicking sets the first timer. It delays the first poll of discovery at random, as proxies may start
// together.
func (b *Balancer) startTicking() {
	b.ticking = true
	b.periodStart = b.now
	b.nextPollAt = b.now + time.Duration(b.random()*float64(b.minPollWait()))
	b.emit(b.tickTimer())
}

// tick is the periodic round of checks.
func (b *Balancer) tick() {
	b.updateCandidates()
	b.ejectUnresponsive()
	for _, p := range b.placements {
		b.updatePooledMode(p)
		for _, e := range p.candidates {
			b.updateMode(p, e)
			p.overloadSum += e.overloadFraction
			p.overloadSamples++
		}
	}
	b.checkOpenRequests()
	if b.now-b.periodStart >= sheddingPeriod {
		b.periodStart = b.now
		for _, p := range b.placements {
			p.startSheddingPeriod()
		}
	}
	b.pollDiscovery()
}

// checkOpenRequests gives up requests whose deadline has passed, as the end of an attempt may never be
// reported, and drops lost attempts.
func (b *Balancer) checkOpenRequests() {
	open := b.openRequests[:0]
	for _, r := range b.openRequests {
		if !r.answered && !r.responseStarted && b.now >= r.deadline {
			b.giveUp(r)
		}
		if !r.answered {
			b.dropLostAttempts(r)
			open = append(open, r)
		}
	}
	b.openRequests = open
}
