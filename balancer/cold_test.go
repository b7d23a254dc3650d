package balancer_test

import (
	"testing"
	"time"

	"wrenspread/balancer"
)

// A zone fails together with its proxies: its endpoints stop responding, this proxy gets twice the traffic,
// discovery removes the endpoints late, and they return as new processes. The remaining endpoints must not be
// overloaded, and the returning ones get a slow start.
func TestZoneLossAndReturnWithSlowStart(t *testing.T) {
	s := rigSettings()
	s.Proxies = 2
	r := newRig(t, s, 8)
	r.run(10*time.Second, 60, "cheap")
	lost := func(id balancer.EndpointID) bool { return id > 4 }
	up := r.delay
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if lost(id) {
			return time.Hour, balancer.TimedOut
		}
		return up(id)
	}
	r.run(2*time.Second, 120, "cheap")
	r.reset()
	r.run(5*time.Second, 120, "cheap")
	dead, alive := 0, 0
	for id, n := range r.sent {
		if lost(id) {
			dead += n
		} else {
			alive += n
		}
	}
	if dead > 60 || alive < 300 || r.failed > 0 {
		t.Errorf("zone lost: %d attempts in the zone, %d elsewhere, %d failed", dead, alive, r.failed)
	}
	var gone, back []balancer.Endpoint
	for id := balancer.EndpointID(5); id <= 8; id++ {
		gone = append(gone, balancer.Endpoint{ID: id, Zone: "z", State: balancer.Removed})
		back = append(back, balancer.Endpoint{ID: id, Zone: "z", StartedAt: r.now + 2*time.Second})
	}
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: gone})
	r.reset()
	r.run(2*time.Second, 120, "cheap")
	for id := range r.sent {
		if lost(id) {
			t.Errorf("attempt at endpoint %d, which is gone", id)
		}
	}
	r.delay = up
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: back})
	r.reset()
	r.run(time.Second, 120, "cheap")
	for id, n := range r.sent {
		// Warm endpoints serve 30/s of this proxy; a slow-starting one gets 0.6 of its budget, and saved tokens.
		if budget := 2.5 * 0.3 * 30; lost(id) && float64(n) > 0.6*budget+2 {
			t.Errorf("slow-starting endpoint %d got %d attempts in its first second", id, n)
		}
	}
	r.run(9*time.Second, 60, "cheap")
	r.reset()
	r.run(5*time.Second, 60, "cheap")
	if n := r.sent[5] + r.sent[6] + r.sent[7] + r.sent[8]; n < 90 || r.rejected > 0 {
		t.Errorf("once warm: %d of 300 attempts in the zone, %d rejected", n, r.rejected)
	}
}

// In its slow start, an endpoint that responds well gets work as fast as the overload factor allows, and not
// only as fast as the slow start duration suggests.
func TestSlowStartGrowsWithOverloadFactor(t *testing.T) {
	grown := func(factor float64) int {
		s := rigSettings()
		s.OverloadFactor = factor
		r := newRig(t, s, 4)
		r.run(10*time.Second, 100, "cheap")
		r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: []balancer.Endpoint{{ID: 2, Zone: "z", StartedAt: r.now}}})
		r.run(time.Second, 100, "cheap")
		r.reset()
		r.run(2*time.Second, 100, "cheap")
		return r.sent[2]
	}
	if tight, wide := grown(1), grown(4); wide*2 < tight*3 {
		t.Errorf("%d attempts in 2 s with overload factor 1, %d with 4", tight, wide)
	}
}
