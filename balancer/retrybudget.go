package balancer

import "time"

const (
	retryBudgetRatio = 0.1  // retries for each new request, and half as many recovery probes: no retry storm
	maxRetryBudget   = 10.0 // retries that the budget may save up
)

// budgets bound the attempts beyond one per request.
type budgets struct {
	retryBudget   float64       // retries allowed of requests that may have run
	probeBudget   float64       // recovery probes allowed
	lastAttemptAt Time          // of any kind
	idleProbeWait time.Duration // from then on, until an ejected endpoint is tried where there is no other
}

// allowsRetry reports whether a request gets a retry: one that can still earn, within the budget if the
// endpoint may have run the last attempt, and at an endpoint below its limit unless the request has priority.
func (b *Balancer) allowsRetry(r *request, mode Mode, costsBudget bool) bool {
	switch {
	case b.isTooLate(r, 0):
		return false
	case costsBudget && b.retryBudget < 1:
		return false
	case mode != Normal && !r.priority:
		return false
	}
	return true
}
