package balancer

import (
	"slices"
	"time"
)

const (
	loadQueryToken     = 1                    // of the timer that ends a load query; the round of checks has 0
	maxLoadQueryPrice  = 0.005                // of the result, that querying before each attempt may cost
	loadQueryTimeout   = 5 * time.Millisecond // some round trips, well under any latency objective
	maxLoadQueryRounds = 3                    // of two more endpoints each, before all count as full
)

// queryLoad asks two more endpoints for their load and holds the request until they answer or
// loadQueryTimeout is up. It reports false, and does nothing, unless load reports come by queries alone and
// are cheap: with many proxies a proxy's own counts, of 0 or 1, tell nothing.
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

// loadQueryEnded takes the result of a load query. One that an endpoint fails to answer counts as a failed
// request.
func (b *Balancer) loadQueryEnded(event LoadQueryEnded) {
	if e := b.endpoints[event.Endpoint]; e != nil {
		b.recordLoadReport(e, event.LoadReport)
		if event.Outcome != OK {
			b.recordFailure(e, event.Outcome)
		}
	}
	b.finishLoadQueries()
}

// finishLoadQueries dispatches the requests whose queries are all answered, or have taken long enough.
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
