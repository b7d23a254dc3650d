package balancer

import "time"

const (
	// retryBudgetRatio is the number of retries that each new request allows; it also allows half as many
	// recovery probes. The ratio prevents retry storms.
	retryBudgetRatio = 0.1
	// maxRetryBudget is the number of retries that the budget may accumulate.
	maxRetryBudget = 10.0
)

// budgets bound the retries of requests that may have run, and the recovery probes.
type budgets struct {
	retryBudget   float64 // retries that are allowed for requests that may have run
	probeBudget   float64 // recovery probes that are allowed
	lastAttemptAt Time    // when the last attempt of any kind started
	// idleProbeWait is the time without an attempt after which an ejected endpoint is tested if no endpoint is
	// warm.
	idleProbeWait time.Duration
}

// allowsRetry reports whether a request gets a retry: the response may still be in time, the retry budget
// suffices if the last attempt may have run, and an endpoint is in normal mode or the request has priority.
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
