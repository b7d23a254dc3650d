package balancer_test

// The events of the simulated environment in world_test.go: arrivals, outcomes, changes of the list.

import (
	"fmt"
	"time"

	"wrenspread/balancer"
)

// planOutcome schedules the outcome of an attempt.
func (w *world) planOutcome(a balancer.StartAttempt, request *liveRequest, attempt int) {
	limit := request.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	outcomes := []balancer.Outcome{balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.ServerError,
		balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.ConnectTimedOut, balancer.ConnectionReset, balancer.NotSent}
	outcome, took := outcomes[w.random.Intn(len(outcomes))], time.Duration(1+w.random.Intn(400))*time.Millisecond
	if uint32(a.Endpoint)%5 == uint32(w.now.Seconds()/7)%5 && w.random.Intn(2) == 0 {
		outcome = balancer.TimedOut // some endpoints do not respond for a while
	}
	if outcome == balancer.TimedOut || took > limit {
		outcome, took = balancer.TimedOut, limit
	}
	if request.class.Streamed && outcome == balancer.OK && took > 10*time.Millisecond && w.random.Intn(2) == 0 {
		w.schedule(took/2, pendingEvent{event: balancer.ResponseStarted{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Elapsed: took / 2}})
	}
	var report *balancer.LoadReport
	if w.random.Intn(3) == 0 {
		report = &balancer.LoadReport{InFlight: float64(w.random.Intn(30)), HasInFlight: w.random.Intn(4) > 0}
	}
	w.schedule(took, pendingEvent{id: a.ID, event: balancer.AttemptEnded{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Elapsed: took,
		Outcome: outcome, LoadReport: report}})
}

// deliver passes an event to the balancer as a caller would: one outcome for each attempt, and none for
// requests that the balancer has forgotten in a restart.
func (w *world) deliver(pending pendingEvent) {
	switch e := pending.event.(type) {
	case balancer.AttemptEnded:
		request := w.requests[e.ID]
		if request == nil || request.attempts[e.Attempt].ended {
			return
		}
		attempt := &request.attempts[e.Attempt]
		attempt.ended, attempt.outcome = true, e.Outcome
		w.endpoints[attempt.endpoint].lastUsedAt = w.now
		e.RequestAnswered = request.answered || e.Outcome == balancer.OK
		if e.Outcome == balancer.OK && !request.answered {
			request.answered = true
		}
		w.handle(e)
		return
	case balancer.ResponseStarted:
		request := w.requests[e.ID]
		if request == nil || request.answered || request.attempts[e.Attempt].ended {
			return
		}
		request.streaming = true
	case balancer.RequestAbandoned:
		request := w.requests[e.ID]
		if request == nil || request.answered {
			return
		}
		request.answered = true
	}
	w.handle(pending.event)
}

// arrive creates a request and passes its arrival to the balancer.
func (w *world) arrive() {
	w.nextID++
	id := balancer.RequestID(fmt.Sprintf("%036d", w.nextID))
	class := w.settings.Classes[w.random.Intn(len(w.settings.Classes))]
	timeout := time.Duration(float64(class.Deadline) * (0.3 + 0.7*w.random.Float64()))
	if w.random.Intn(50) == 0 {
		timeout = 0
	}
	w.requests[id] = &liveRequest{class: class, deadline: w.now + timeout}
	if w.random.Intn(40) == 0 {
		w.schedule(timeout/2, pendingEvent{event: balancer.RequestAbandoned{ID: id}})
	}
	e := balancer.RequestArrived{ID: id, Class: class.Name, Timeout: timeout}
	if len(w.settings.Tenants) > 0 {
		e.Tenant = w.settings.Tenants[w.random.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(e)
}

func (w *world) newEndpoint(started time.Duration) balancer.Endpoint {
	w.nextID++
	return balancer.Endpoint{ID: balancer.EndpointID(w.nextID*2654435761 + 1), Zone: fmt.Sprint("z", w.random.Intn(2)),
		MachineType: fmt.Sprint("k", w.random.Intn(2)), Cell: w.random.Intn(3), Weight: 1, StartedAt: started}
}

// updateList records the entries of an update and passes the update to the balancer.
func (w *world) updateList(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	listed := map[balancer.EndpointID]bool{}
	for _, entry := range entries {
		known := w.endpoints[entry.ID]
		if known == nil {
			known = &listedEndpoint{}
			w.endpoints[entry.ID] = known
			w.endpointIDs = append(w.endpointIDs, entry.ID)
		}
		if entry.State != balancer.Ready && known.drainListedAt == 0 {
			known.lastUsedAt = w.now
		}
		known.startListed = entry.State == balancer.Ready && entry.StartedAt > 0
		known.Endpoint = entry
		listed[entry.ID] = true
		if entry.State == balancer.Ready {
			known.drainListedAt = 0
		} else if known.drainListedAt == 0 {
			known.drainListedAt = w.now
		}
	}
	if kind != balancer.UpdateIncremental {
		for _, id := range w.endpointIDs {
			if known := w.endpoints[id]; !listed[id] && known.drainListedAt == 0 {
				known.drainListedAt, known.State = w.now, balancer.Removed
			}
		}
	}
	w.handle(balancer.EndpointsUpdated{Kind: kind, Endpoints: entries})
}

func (w *world) changeList() {
	entry := w.endpoints[w.endpointIDs[w.random.Intn(len(w.endpointIDs))]].Endpoint
	switch w.random.Intn(6) {
	case 0:
		entry.State = balancer.Draining
	case 1:
		entry.State = balancer.Removed
	case 2:
		entry.State, entry.StartedAt = balancer.Ready, w.now
	case 3:
		entry = w.newEndpoint(w.now)
	case 4:
		var entries []balancer.Endpoint
		for _, id := range w.endpointIDs {
			e := w.endpoints[id].Endpoint
			// An endpoint may leave the list and still respond.
			leaves := e.State == balancer.Draining && w.random.Intn(2) == 0 || w.random.Intn(12) == 0
			if e.State != balancer.Removed && !leaves {
				entries = append(entries, e)
			}
		}
		w.updateList(balancer.UpdateComplete, entries)
		return
	case 5:
		if w.settings.PollForEndpoints {
			w.handle(balancer.EndpointsUpdated{Kind: balancer.UpdateFailed})
		}
		return
	}
	w.updateList(balancer.UpdateIncremental, []balancer.Endpoint{entry})
}
