package balancer

// pickEndpoint picks the endpoint for the next attempt by the power of two choices: of two random candidates
// in normal mode, else in overloaded mode, the one with the lower expected delay. Where load queries are
// used, the candidates are the endpoints that have answered. The mode is Blocking if there is no endpoint.
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

// drawTwo draws two of the endpoints that may get a request: of those in normal mode or, if there are none,
// of those in overloaded mode. Both are the same if there is one alone.
func (b *Balancer) drawTwo(r *request, from ring) (first, second *endpoint, mode Mode) {
	var byMode [Blocking][]*endpoint
	p := r.class.placement
	b.updatePooled(p)
	for i, seen := 0, 0; i < len(from.endpoints) && seen < int(p.subsetSize); i++ {
		e := from.at(i)
		if e.ejected || b.canSend(r, e) != sendAllowed {
			continue
		}
		seen++
		b.endSlowStartIfWarm(e)
		mode := b.overloadMode(p, e)
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

// waitsTooLong reports whether an endpoint that has just said how many requests it has would answer this one,
// with its expected work, too late for its latency objective.
func (b *Balancer) waitsTooLong(r *request, e *endpoint) bool {
	if !b.queriesLoad || e.reportedAt < r.loadQueryAt {
		return false
	}
	work := e.inFlight/b.endpointConcurrency + r.relativeWork*r.class.relativeCost // mean requests
	wait := work * b.serviceTime / b.warmFraction(e)                               // s
	return wait > maxWaitShare*r.class.LatencyObjective.Seconds()
}

// expectedDelay is what a request may expect at an endpoint: the work in flight there and its own, at the
// endpoint's pace. After a load query the endpoint's own count stands for the work. It is comparable between
// endpoints only.
func (b *Balancer) expectedDelay(r *request, e *endpoint) float64 {
	if b.queriesLoad {
		return (e.inFlight + 1) * b.expectedLatency(e)
	}
	return (b.knownLoad(e) + r.relativeWork*r.class.relativeCost) * b.expectedLatency(e)
}
