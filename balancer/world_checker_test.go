package balancer_test

// The checker of the simulated environment in world_test.go. It performs the balancer's actions and checks
// the rules on them independently of the balancer's code.

import (
	"slices"
	"time"

	"wrenspread/balancer"
)

// inDedupScope is the checker's own implementation of deduplication scopes.
func inDedupScope(s balancer.DedupScope, a, b *listedEndpoint) bool {
	return s == balancer.DedupEverywhere || s == balancer.DedupInZone && a.Zone == b.Zone || s == balancer.DedupInCell && a.Cell == b.Cell
}

func provesNotRun(outcome balancer.Outcome) bool {
	return outcome == balancer.Rejected || outcome == balancer.ConnectFailed || outcome == balancer.ConnectTimedOut || outcome == balancer.NotSent
}

func (w *world) checkStartAttempt(request *liveRequest, a balancer.StartAttempt) {
	endpoint := w.endpoints[a.Endpoint]
	if endpoint == nil {
		w.addViolation("attempt at endpoint %d, which was never listed", a.Endpoint)
		return
	}
	if request.answered || request.streaming {
		w.addViolation("attempt for a request that is over")
	}
	if w.now > request.deadline {
		w.addViolation("attempt after the deadline")
	}
	if a.WriteBy > request.deadline {
		w.addViolation("the attempt may be written after the deadline")
	}
	if zones, machineTypes := request.class.AllowedZones, request.class.AllowedMachineTypes; zones != nil && !slices.Contains(zones, endpoint.Zone) ||
		machineTypes != nil && !slices.Contains(machineTypes, endpoint.MachineType) {
		w.addViolation("attempt in zone %s, machine type %s, not open to class %s", endpoint.Zone, endpoint.MachineType, request.class.Name)
	}
	if len(request.attempts) >= w.settings.MaxAttempts {
		w.addViolation("more than %d attempts", w.settings.MaxAttempts)
	}
	if endpoint.drainListedAt > 0 && w.now > endpoint.drainListedAt+w.settings.DrainGrace {
		w.addViolation("attempt at an endpoint that drains or is removed")
	}
	for _, attempt := range request.attempts {
		if !attempt.ended && !w.settings.AllowHedging {
			w.addViolation("two attempts in flight at once")
		}
		if attempt.ended && provesNotRun(attempt.outcome) || request.class.Idempotency == balancer.Idempotent {
			continue
		}
		if request.class.Idempotency == balancer.NotIdempotent {
			w.addViolation("request that is not idempotent sent again")
		} else if !inDedupScope(request.class.DedupScope, endpoint, w.endpoints[attempt.endpoint]) || w.now > attempt.at+request.class.DedupWindow {
			w.addViolation("request sent outside its deduplication scope or window")
		} else if a.WriteBy > attempt.at+request.class.DedupWindow {
			w.addViolation("the attempt may be written after its deduplication window")
		}
	}
	w.attemptTimes[a.Endpoint] = append(w.attemptTimes[a.Endpoint], w.now)
	age := (w.now - endpoint.StartedAt).Seconds() / w.settings.SlowStartDuration.Seconds()
	if endpoint.startListed && age < 1 {
		warmFraction := w.settings.SlowStartInitial + (1-w.settings.SlowStartInitial)*max(0, age)
		recentAttempts := 0
		for _, at := range w.attemptTimes[a.Endpoint] {
			if at > w.now-w.settings.OverloadDuration && at >= endpoint.StartedAt {
				recentAttempts++
			}
		}
		if limit := w.settings.OverloadFactor * warmFraction * w.capacity * w.settings.OverloadDuration.Seconds(); float64(recentAttempts) > limit+3 {
			w.addViolation("slow-starting endpoint %d got %d requests, its budget is %.1f", a.Endpoint, recentAttempts, limit)
		}
	}
}

func (w *world) performAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		request := w.requests[a.ID]
		if request == nil {
			w.addViolation("attempt for an unknown request")
			return
		}
		w.checkStartAttempt(request, a)
		if w.endpoints[a.Endpoint] == nil {
			return
		}
		request.attempts = append(request.attempts, sentAttempt{endpoint: a.Endpoint, at: w.now})
		w.endpoints[a.Endpoint].lastUsedAt = w.now
		w.planOutcome(a, request, len(request.attempts)-1)
	case balancer.Reject:
		request := w.finalAnswer(a.ID)
		if request == nil {
			return
		}
		for _, attempt := range request.attempts {
			ran := !attempt.ended || !provesNotRun(attempt.outcome)
			if ran && (request.class.Idempotency == balancer.NotIdempotent ||
				request.class.Idempotency == balancer.IdempotentByKey && request.class.DedupScope != balancer.DedupEverywhere) {
				w.addViolation("request rejected although it may have run")
			}
		}
	case balancer.Fail:
		w.finalAnswer(a.ID)
	case balancer.CancelAttempt:
		request := w.requests[a.ID]
		if !w.settings.AllowCancel || request == nil || a.Attempt >= len(request.attempts) {
			w.addViolation("forbidden or unknown CancelAttempt")
			return
		}
		w.schedule(time.Millisecond, pendingEvent{id: a.ID, event: balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Endpoint: request.attempts[a.Attempt].endpoint, Outcome: balancer.Cancelled}})
	case balancer.QueryLoad:
		if !w.settings.AllowLoadQueries {
			w.addViolation("forbidden load query")
		}
		e := balancer.LoadQueryEnded{Endpoint: a.Endpoint, Outcome: []balancer.Outcome{balancer.OK, balancer.OK, balancer.TimedOut}[w.random.Intn(3)]}
		if e.Outcome == balancer.OK {
			e.LoadReport = &balancer.LoadReport{InFlight: float64(w.random.Intn(9)), HasInFlight: true, QueueLength: float64(w.random.Intn(5))}
		}
		w.schedule(time.Duration(w.random.Intn(20))*time.Millisecond, pendingEvent{event: e})
	case balancer.CloseIdleConnections:
		if endpoint := w.endpoints[a.Endpoint]; endpoint == nil {
			w.addViolation("connections closed to an unknown endpoint")
		} else {
			endpoint.lastUsedAt = 0
		}
	case balancer.SendMessage:
		if !w.settings.AllowGossip || len(a.Data) > 256 {
			w.addViolation("forbidden message")
		}
	case balancer.SetTimer:
		delay := time.Duration(0)
		if w.random.Intn(20) == 0 {
			delay = time.Duration(w.random.Intn(200)) * time.Millisecond
		}
		w.schedule(a.After+delay, pendingEvent{event: balancer.TimerFired{Token: a.Token}})
	case balancer.Subscribe, balancer.FetchEndpoints:
		if w.random.Intn(3) == 0 {
			w.schedule(time.Second, pendingEvent{event: balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}})
		} else {
			w.schedule(50*time.Millisecond, pendingEvent{event: balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental}})
		}
	}
}

func (w *world) finalAnswer(id balancer.RequestID) *liveRequest {
	request := w.requests[id]
	if request == nil {
		w.addViolation("answer to an unknown request")
		return nil
	}
	if request.answered {
		w.addViolation("second final answer")
	}
	request.answered = true
	return request
}
