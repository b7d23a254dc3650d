package tenant

import (
	"time"
)

// statusReportInterval is the interval at which an unchanged status is reported again while a tenant is in
// transition: an earlier status that was delayed on its way may have overwritten it in the registry.
const statusReportInterval = 5 * time.Second

// isDeparting reports whether an entry's tenant is being removed, so that its requests in flight have to end.
func (e *Entry) isDeparting() bool {
	return e.Phase == PhaseDrain || e.Phase == PhaseHold && e.Next == nil
}

// cutExpiredRequests returns the actions that end requests in flight whose drain time is over. The drain time
// begins:
//   - for a tenant that drains, when this proxy learns that the tenant is being removed;
//   - for a tenant that is about to drain, also when this proxy learns of the removal, but its requests are
//     ended only while this proxy lacks authority, so that the controller need not wait for the proxy's
//     return;
//   - for all tenants, when the proxy's maximal staleness stops it.
//
// Requests of a tenant that is no longer in the catalogue are ended at once.
func (c *Cache) cutExpiredRequests(now time.Duration) (actions []any) {
	authoritative := c.authoritative && now < c.authorityUntil
	expired := map[string]bool{}
	for _, e := range c.inTransition {
		if !e.isDeparting() {
			continue
		}
		if _, known := c.departingSince[e.Name]; !known {
			c.departingSince[e.Name] = now
		}
		expired[e.Name] = now >= c.departingSince[e.Name]+e.drainTime() && (e.Phase == PhaseDrain || !authoritative)
	}
	for _, name := range c.OpenTenants() {
		e := c.entries[name]
		if e == nil || expired[name] || c.maxStaleness > 0 && now >= c.stopServingAt()+e.drainTime() {
			actions = append(actions, CutRequests{name})
		}
	}
	return actions
}

// Status returns the status that the proxy's session has to report. The session has to be opened with it: a
// proxy can get authority as soon as its session is open, but the controller does not wait for a proxy whose
// session has no status.
func (c *Cache) Status() Status {
	status := Status{
		Generation:   c.generation,
		Prepared:     c.number(),
		DrainedUpTo:  c.number(),
		MaxStaleness: c.maxStaleness,
		Left:         c.leaving && len(c.openRequests) == 0,
	}
	if c.snapshot != nil {
		for _, need := range c.snapshot.policyNeeds { // also of leaves that a request may load later
			if c.policy.Version < need.Policy {
				status.Prepared = min(status.Prepared, need.Since-1)
			}
		}
	}
	for _, e := range c.inTransition {
		known := e.Phase == PhasePrepare || e.Phase == PhaseHold || e.Phase == PhaseDrain
		if !known || e.Next != nil && !e.Next.Suspended && !c.policy.covers(e.Next) {
			status.Prepared = min(status.Prepared, e.Since-1)
		}
		if e.Phase == PhaseDrain && c.openRequests[e.Name] > 0 {
			status.DrainedUpTo = min(status.DrainedUpTo, e.Since-1)
		}
	}
	return status
}

// reportStatus returns the action that reports the status, if it has changed or has to be repeated.
func (c *Cache) reportStatus(now time.Duration) []any {
	status := c.Status()
	repeat := len(c.inTransition) > 0 && now-c.reportedAt >= statusReportInterval
	if !c.sessionOpen || c.statusReported && status == c.reportedStatus && !repeat {
		return nil
	}
	c.reportedStatus, c.statusReported, c.reportedAt = status, true, now
	return []any{ReportStatus{status}}
}
