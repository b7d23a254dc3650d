package balancer_test

// The events of the world in world_test.go: arrivals, outcomes, changes of the list.

import (
	"fmt"
	"time"

	"wrenspread/balancer"
)

// planOutcome schedules the outcome of an attempt.
func (w *world) planOutcome(a balancer.StartAttempt, q *liveRequest, n int) {
	limit := q.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	codes := []balancer.Outcome{balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.ServerError,
		balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.ConnectTimedOut, balancer.ConnectionReset, balancer.NotSent}
	outcome, took := codes[w.random.Intn(len(codes))], time.Duration(1+w.random.Intn(400))*time.Millisecond
	if uint32(a.Endpoint)%5 == uint32(w.now.Seconds()/7)%5 && w.random.Intn(2) == 0 {
		outcome = balancer.TimedOut // some endpoints do not respond for a while
	}
	if outcome == balancer.TimedOut || took > limit {
		outcome, took = balancer.TimedOut, limit
	}
	if q.class.Streamed && outcome == balancer.OK && took > 10*time.Millisecond && w.random.Intn(2) == 0 {
		w.later(took/2, pendingEvent{event: balancer.ResponseStarted{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Elapsed: took / 2}})
	}
	var report *balancer.LoadReport
	if w.random.Intn(3) == 0 {
		report = &balancer.LoadReport{InFlight: float64(w.random.Intn(30)), HasInFlight: w.random.Intn(4) > 0}
	}
	w.later(took, pendingEvent{id: a.ID, event: balancer.AttemptEnded{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Elapsed: took,
		Outcome: outcome, LoadReport: report}})
}

// deliver passes an event to the balancer as a caller would: one outcome for each attempt, and none for
// requests that the balancer has forgotten in a restart.
func (w *world) deliver(p pendingEvent) {
	switch e := p.event.(type) {
	case balancer.AttemptEnded:
		q := w.requests[e.ID]
		if q == nil || q.attempts[e.Attempt].ended {
			return
		}
		at := &q.attempts[e.Attempt]
		at.ended, at.outcome = true, e.Outcome
		w.endpoints[at.endpoint].lastUsedAt = w.now
		e.RequestAnswered = q.answered || e.Outcome == balancer.OK
		if e.Outcome == balancer.OK && !q.answered {
			q.answered = true
		}
		w.handle(e)
		return
	case balancer.ResponseStarted:
		q := w.requests[e.ID]
		if q == nil || q.answered || q.attempts[e.Attempt].ended {
			return
		}
		q.streaming = true
	case balancer.RequestAbandoned:
		q := w.requests[e.ID]
		if q == nil || q.answered {
			return
		}
		q.answered = true
	}
	w.handle(p.event)
}

// arrive creates a request.
func (w *world) arrive() {
	w.nextID++
	id := balancer.RequestID(fmt.Sprintf("%036d", w.nextID))
	c := w.settings.Classes[w.random.Intn(len(w.settings.Classes))]
	timeout := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.random.Float64()))
	if w.random.Intn(50) == 0 {
		timeout = 0
	}
	w.requests[id] = &liveRequest{class: c, deadline: w.now + timeout}
	if w.random.Intn(40) == 0 {
		w.later(timeout/2, pendingEvent{event: balancer.RequestAbandoned{ID: id}})
	}
	e := balancer.RequestArrived{ID: id, Class: c.Name, Timeout: timeout}
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
	for _, n := range entries {
		s := w.endpoints[n.ID]
		if s == nil {
			s = &listedEndpoint{}
			w.endpoints[n.ID] = s
			w.endpointIDs = append(w.endpointIDs, n.ID)
		}
		if n.State != balancer.Ready && s.drainListedAt == 0 {
			s.lastUsedAt = w.now
		}
		s.startListed = n.State == balancer.Ready && n.StartedAt > 0
		s.Endpoint = n
		listed[n.ID] = true
		if n.State == balancer.Ready {
			s.drainListedAt = 0
		} else if s.drainListedAt == 0 {
			s.drainListedAt = w.now
		}
	}
	if kind != balancer.UpdateIncremental {
		for _, id := range w.endpointIDs {
			if s := w.endpoints[id]; !listed[id] && s.drainListedAt == 0 {
				s.drainListedAt, s.State = w.now, balancer.Removed
			}
		}
	}
	w.handle(balancer.EndpointsUpdated{Kind: kind, Endpoints: entries})
}

func (w *world) changeList() {
	s := w.endpoints[w.endpointIDs[w.random.Intn(len(w.endpointIDs))]].Endpoint
	switch w.random.Intn(6) {
	case 0:
		s.State = balancer.Draining
	case 1:
		s.State = balancer.Removed
	case 2:
		s.State, s.StartedAt = balancer.Ready, w.now
	case 3:
		s = w.newEndpoint(w.now)
	case 4:
		var all []balancer.Endpoint
		for _, id := range w.endpointIDs {
			e := w.endpoints[id].Endpoint
			// An endpoint may leave the list and still respond.
			leaves := e.State == balancer.Draining && w.random.Intn(2) == 0 || w.random.Intn(12) == 0
			if e.State != balancer.Removed && !leaves {
				all = append(all, e)
			}
		}
		w.updateList(balancer.UpdateComplete, all)
		return
	case 5:
		if w.settings.PollForEndpoints {
			w.handle(balancer.EndpointsUpdated{Kind: balancer.UpdateFailed})
		}
		return
	}
	w.updateList(balancer.UpdateIncremental, []balancer.Endpoint{s})
}
