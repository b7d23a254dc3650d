package balancer_test

// The checker of the world in world_test.go. It performs the balancer's actions and verifies the rules on
// them independently of the balancer's code.

import (
	"slices"
	"time"

	"wrenspread/balancer"
)

// inDedupScope is the checker's own implementation of deduplication scopes.
func inDedupScope(s balancer.DedupScope, a, b *listedEndpoint) bool {
	return s == balancer.DedupEverywhere || s == balancer.DedupInZone && a.Zone == b.Zone || s == balancer.DedupInCell && a.Cell == b.Cell
}

func provesNotRun(c balancer.Outcome) bool {
	return c == balancer.Rejected || c == balancer.ConnectFailed || c == balancer.ConnectTimedOut || c == balancer.NotSent
}

func (w *world) checkStartAttempt(q *liveRequest, a balancer.StartAttempt) {
	s := w.endpoints[a.Endpoint]
	if s == nil {
		w.addViolation("attempt at endpoint %d, which was never listed", a.Endpoint)
		return
	}
	if q.answered || q.streaming {
		w.addViolation("attempt for a request that is over")
	}
	if w.now > q.deadline {
		w.addViolation("attempt after the deadline")
	}
	if a.WriteBy > q.deadline {
		w.addViolation("the attempt may be written after the deadline")
	}
	if z, k := q.class.AllowedZones, q.class.AllowedMachineTypes; z != nil && !slices.Contains(z, s.Zone) ||
		k != nil && !slices.Contains(k, s.MachineType) {
		w.addViolation("attempt in zone %s, machine type %s, not open to class %s", s.Zone, s.MachineType, q.class.Name)
	}
	if len(q.attempts) >= w.settings.MaxAttempts {
		w.addViolation("more than %d attempts", w.settings.MaxAttempts)
	}
	if s.drainListedAt > 0 && w.now > s.drainListedAt+w.settings.DrainGrace {
		w.addViolation("attempt at an endpoint that drains or is gone")
	}
	for _, p := range q.attempts {
		if !p.ended && !w.settings.AllowHedging {
			w.addViolation("two attempts in flight at once")
		}
		if p.ended && provesNotRun(p.outcome) || q.class.Idempotency == balancer.Idempotent {
			continue
		}
		if q.class.Idempotency == balancer.NotIdempotent {
			w.addViolation("request that is not idempotent sent again")
		} else if !inDedupScope(q.class.DedupScope, s, w.endpoints[p.endpoint]) || w.now > p.at+q.class.DedupWindow {
			w.addViolation("request sent outside its deduplication scope or window")
		} else if a.WriteBy > p.at+q.class.DedupWindow {
			w.addViolation("the attempt may be written after its deduplication window")
		}
	}
	w.attemptTimes[a.Endpoint] = append(w.attemptTimes[a.Endpoint], w.now)
	age := (w.now - s.StartedAt).Seconds() / w.settings.SlowStartDuration.Seconds()
	if s.startListed && age < 1 {
		warmFraction := w.settings.SlowStartInitial + (1-w.settings.SlowStartInitial)*max(0, age)
		n := 0
		for _, at := range w.attemptTimes[a.Endpoint] {
			if at > w.now-w.settings.OverloadDuration && at >= s.StartedAt {
				n++
			}
		}
		if limit := w.settings.OverloadFactor * warmFraction * w.capacity * w.settings.OverloadDuration.Seconds(); float64(n) > limit+3 {
			w.addViolation("slow-starting endpoint %d got %d requests, its budget is %.1f", a.Endpoint, n, limit)
		}
	}
}

func (w *world) performAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		q := w.requests[a.ID]
		if q == nil {
			w.addViolation("attempt for an unknown request")
			return
		}
		w.checkStartAttempt(q, a)
		if w.endpoints[a.Endpoint] == nil {
			return
		}
		q.attempts = append(q.attempts, sentAttempt{endpoint: a.Endpoint, at: w.now})
		w.endpoints[a.Endpoint].lastUsedAt = w.now
		w.planOutcome(a, q, len(q.attempts)-1)
	case balancer.Reject:
		q := w.finalAnswer(a.ID)
		if q == nil {
			return
		}
		for _, p := range q.attempts {
			ran := !p.ended || !provesNotRun(p.outcome)
			if ran && (q.class.Idempotency == balancer.NotIdempotent ||
				q.class.Idempotency == balancer.IdempotentByKey && q.class.DedupScope != balancer.DedupEverywhere) {
				w.addViolation("request rejected although it may have run")
			}
		}
	case balancer.Fail:
		w.finalAnswer(a.ID)
	case balancer.CancelAttempt:
		q := w.requests[a.ID]
		if !w.settings.AllowCancel || q == nil || a.Attempt >= len(q.attempts) {
			w.addViolation("forbidden or unknown CancelAttempt")
			return
		}
		w.later(time.Millisecond, pendingEvent{id: a.ID, event: balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Endpoint: q.attempts[a.Attempt].endpoint, Outcome: balancer.Cancelled}})
	case balancer.QueryLoad:
		if !w.settings.AllowLoadQueries {
			w.addViolation("forbidden load query")
		}
		e := balancer.LoadQueryEnded{Endpoint: a.Endpoint, Outcome: []balancer.Outcome{balancer.OK, balancer.OK, balancer.TimedOut}[w.random.Intn(3)]}
		if e.Outcome == balancer.OK {
			e.LoadReport = &balancer.LoadReport{InFlight: float64(w.random.Intn(9)), HasInFlight: true, QueueLength: float64(w.random.Intn(5))}
		}
		w.later(time.Duration(w.random.Intn(20))*time.Millisecond, pendingEvent{event: e})
	case balancer.CloseIdleConnections:
		if s := w.endpoints[a.Endpoint]; s == nil {
			w.addViolation("connections closed to an unknown endpoint")
		} else {
			s.lastUsedAt = 0
		}
	case balancer.SendMessage:
		if !w.settings.AllowGossip || len(a.Data) > 256 {
			w.addViolation("forbidden message")
		}
	case balancer.SetTimer:
		late := time.Duration(0)
		if w.random.Intn(20) == 0 {
			late = time.Duration(w.random.Intn(200)) * time.Millisecond
		}
		w.later(a.After+late, pendingEvent{event: balancer.TimerFired{Token: a.Token}})
	case balancer.Subscribe, balancer.FetchEndpoints:
		if w.random.Intn(3) == 0 {
			w.later(time.Second, pendingEvent{event: balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}})
		} else {
			w.later(50*time.Millisecond, pendingEvent{event: balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental}})
		}
	}
}

func (w *world) finalAnswer(id balancer.RequestID) *liveRequest {
	q := w.requests[id]
	if q == nil {
		w.addViolation("answer to an unknown request")
		return nil
	}
	if q.answered {
		w.addViolation("second final answer")
	}
	q.answered = true
	return q
}
