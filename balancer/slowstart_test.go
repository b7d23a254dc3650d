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
	settings := rigSettings()
	settings.Proxies = 2
	r := newRig(t, settings, 8)
	r.run(10*time.Second, 60, "low")
	inLostZone := func(id balancer.EndpointID) bool { return id > 4 }
	normalDelay := r.delay
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if inLostZone(id) {
			return time.Hour, balancer.TimedOut
		}
		return normalDelay(id)
	}
	r.run(2*time.Second, 120, "low")
	r.reset()
	r.run(5*time.Second, 120, "low")
	attemptsInZone, attemptsElsewhere := 0, 0
	for id, n := range r.sent {
		if inLostZone(id) {
			attemptsInZone += n
		} else {
			attemptsElsewhere += n
		}
	}
	if attemptsInZone > 60 || attemptsElsewhere < 300 || r.failed > 0 {
		t.Errorf("zone lost: %d attempts in the zone, %d elsewhere, %d failed", attemptsInZone, attemptsElsewhere, r.failed)
	}
	var removed, returned []balancer.Endpoint
	for id := balancer.EndpointID(5); id <= 8; id++ {
		removed = append(removed, balancer.Endpoint{ID: id, Zone: "z", State: balancer.Removed})
		returned = append(returned, balancer.Endpoint{ID: id, Zone: "z", StartedAt: r.now + 2*time.Second})
	}
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: removed})
	r.reset()
	r.run(2*time.Second, 120, "low")
	for id := range r.sent {
		if inLostZone(id) {
			t.Errorf("attempt at endpoint %d, which was removed", id)
		}
	}
	r.delay = normalDelay
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: returned})
	r.reset()
	r.run(time.Second, 120, "low")
	for id, n := range r.sent {
		// Warm endpoints serve 30/s of this proxy; a slow-starting one gets 0.6 of its budget, and saved tokens.
		if budget := 2.5 * 0.3 * 30; inLostZone(id) && float64(n) > 0.6*budget+2 {
			t.Errorf("slow-starting endpoint %d got %d attempts in its first second", id, n)
		}
	}
	r.run(9*time.Second, 60, "low")
	r.reset()
	r.run(5*time.Second, 60, "low")
	if n := r.sent[5] + r.sent[6] + r.sent[7] + r.sent[8]; n < 90 || r.rejected > 0 {
		t.Errorf("once warm: %d of 300 attempts in the zone, %d rejected", n, r.rejected)
	}
}

// In its slow start, an endpoint that responds well gets work as fast as the overload factor allows, and not
// only as fast as the slow start duration suggests.
func TestSlowStartGrowsWithOverloadFactor(t *testing.T) {
	attemptsWith := func(factor float64) int {
		settings := rigSettings()
		settings.OverloadFactor = factor
		r := newRig(t, settings, 4)
		r.run(10*time.Second, 100, "low")
		r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: []balancer.Endpoint{{ID: 2, Zone: "z", StartedAt: r.now}}})
		r.run(time.Second, 100, "low")
		r.reset()
		r.run(2*time.Second, 100, "low")
		return r.sent[2]
	}
	if atFactor1, atFactor4 := attemptsWith(1), attemptsWith(4); atFactor4*2 < atFactor1*3 {
		t.Errorf("%d attempts in 2 s with overload factor 1, %d with 4", atFactor1, atFactor4)
	}
}
