package balancer

import (
	"slices"
	"time"
)

const (
	// loadQueryToken is the token of the timer that ends load queries; the round of checks has token 0.
	loadQueryToken = 1
	// maxLoadQueryPrice is the part of the score that load queries before each attempt may cost, by
	// Prices.LoadQuery.
	maxLoadQueryPrice = 0.005
	// loadQueryTimeout is a few round trips, well below any latency objective.
	loadQueryTimeout = 5 * time.Millisecond
	// maxLoadQueryRounds is the number of rounds, of up to two endpoints each, after which no further endpoint
	// is queried and all count as full.
	maxLoadQueryRounds = 3
)

// queryLoad queries two endpoints for their load and delays the request until both have answered or
// loadQueryTimeout has passed. It returns false and queries no endpoint if load queries are not used, if the
// request has had maxLoadQueryRounds, or if no endpoint is available. Load queries are used because, with
// many proxies, the count of one proxy is 0 or 1 and says nothing about an endpoint's load.
func (b *Balancer) queryLoad(r *request) bool {
	first, second, mode := b.drawTwo(r, r.class.placement.ring)
	if !b.queriesLoad || r.loadQueryRounds >= maxLoadQueryRounds || mode == Blocking {
		return false
	}
	r.awaitingLoad = true
	r.loadQueryRounds++
	r.loadQueryAt = b.now
	r.queried = slices.Compact([]*endpoint{first, second})
	b.awaitingLoad = append(b.awaitingLoad, r)
	for _, e := range r.queried {
		b.emit(QueryLoad{Endpoint: e.ID})
	}
	b.emit(SetTimer{After: max(loadQueryTimeout, b.settings.MinEventInterval), Token: loadQueryToken})
	return true
}

// loadQueryEnded handles the result of a load query. A query that the endpoint did not answer counts as a
// failed request.
func (b *Balancer) loadQueryEnded(event LoadQueryEnded) {
	if e := b.endpoints[event.Endpoint]; e != nil {
		b.recordLoadReport(e, event.LoadReport)
		if event.Outcome != OK {
			b.recordFailure(e, event.Outcome)
		}
	}
	b.finishLoadQueries()
}

// finishLoadQueries dispatches the requests whose queries have all been answered or have timed out.
func (b *Balancer) finishLoadQueries() {
	waiting := b.awaitingLoad
	b.awaitingLoad = nil
	for _, r := range waiting {
		unanswered := func(e *endpoint) bool { return e.reportedAt < r.loadQueryAt }
		if b.now < r.loadQueryAt+loadQueryTimeout && slices.ContainsFunc(r.queried, unanswered) {
			b.awaitingLoad = append(b.awaitingLoad, r)
			continue
		}
		r.awaitingLoad = false
		r.queried = slices.DeleteFunc(r.queried, unanswered)
		if !r.answered {
			b.dispatch(r)
		}
	}
}
