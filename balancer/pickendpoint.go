package balancer

// pickEndpoint picks the endpoint for the next attempt by the power of two choices: it draws two endpoints in
// normal mode or, if there is none, in overloaded mode, and returns the one with the lower expected delay.
// Where load queries are used, it draws from the endpoints that have answered them. The mode is Blocking if
// no endpoint is available.
func (b *Balancer) pickEndpoint(r *request) (*endpoint, Mode) {
	from := r.class.placement.ring
	if b.queriesLoad {
		from = ring{endpoints: r.queried}
	}
	best, other, mode := b.drawTwo(r, from)
	if mode != Blocking && b.expectedDelay(r, other) < b.expectedDelay(r, best) {
		best = other
	}
	return best, mode
}

// drawTwo draws two of the endpoints that may get a request: two in normal mode or, if there is none, two in
// overloaded mode. If there is only one, it is returned twice.
func (b *Balancer) drawTwo(r *request, from ring) (first, second *endpoint, mode Mode) {
	var byMode [Blocking][]*endpoint
	p := r.class.placement
	b.updatePooledMode(p)
	for i, seen := 0, 0; i < len(from.endpoints) && seen < int(p.subsetSize); i++ {
		e := from.at(i)
		if e.ejected || b.canSend(r, e) != sendAllowed {
			continue
		}
		seen++
		b.endSlowStartIfWarm(e)
		mode := b.updateMode(p, e)
		if b.waitsTooLong(r, e) {
			mode = max(mode, Overloaded)
		}
		if mode != Blocking && !b.limitedBySlowStart(e) {
			byMode[mode] = append(byMode[mode], e)
		}
	}
	for mode, pool := range byMode {
		if n := float64(len(pool)); n > 0 {
			i := int(b.random() * n)
			j := (i + 1 + int(b.random()*(n-1))) % len(pool)
			return pool[i], pool[j], Mode(mode)
		}
	}
	return nil, nil, Blocking
}

// waitsTooLong reports whether an endpoint that has just reported its number of requests would answer this
// one, given its expected work, too late for its latency objective.
func (b *Balancer) waitsTooLong(r *request, e *endpoint) bool {
	if !b.queriesLoad || e.reportedAt < r.loadQueryAt {
		return false
	}
	work := e.inFlight/b.endpointConcurrency + r.relativeWork*r.class.relativeCost // mean requests
	wait := work * b.serviceTime / b.warmFraction(e)                               // s
	return wait > maxWaitFraction*r.class.LatencyObjective.Seconds()
}

// expectedDelay estimates the delay of a request at an endpoint from the work in flight there, the request's
// own work and the endpoint's latency. Where load queries are used, the number of requests that the endpoint
// reported replaces the work in flight. The result can only be compared between endpoints.
func (b *Balancer) expectedDelay(r *request, e *endpoint) float64 {
	if b.queriesLoad {
		return (e.inFlight + 1) * b.expectedLatency(e)
	}
	return (b.knownLoad(e) + r.relativeWork*r.class.relativeCost) * b.expectedLatency(e)
}
