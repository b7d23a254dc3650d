package check

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/lab/history"
)

// arrivals returns evenly spaced arrivals at backends, at the given rate from from to to. Each request
// arrives twice, as it does with a second attempt.
func arrivals(rate float64, from, to time.Duration) (events []history.Event) {
	for t := from; t < to; t += time.Duration(float64(time.Second) / rate) {
		for range 2 {
			events = append(events, history.Event{T: t, Kind: history.Arrive, ID: fmt.Sprint(t)})
		}
	}
	return events
}

// TestQuotaCheckFindsExcessAndUnusedQuota: a fleet within its limit passes; a fleet that applies the previous
// limit for too long, admits too large a burst, or leaves too much of the quota unused fails.
func TestQuotaCheckFindsExcessAndUnusedQuota(t *testing.T) {
	const s = time.Second
	limits := []Quota{{Rate: 50, Burst: 20}, {From: 10 * s, Rate: 25, Burst: 10}}
	within := append(arrivals(50, 0, 10*s), arrivals(25, 10*s, 20*s)...)
	burst := append(arrivals(50, 0, 5*s), arrivals(400, 5*s, 5*s+200*time.Millisecond)...)
	for name, c := range map[string]struct {
		events  []history.Event
		minUsed float64
		want    string
	}{
		"within the limit":        {within, 0.95, ""},
		"lowered in time":         {append(arrivals(50, 0, 13*s), arrivals(25, 13*s, 20*s)...), 0, ""},
		"lowered too late":        {append(arrivals(50, 0, 17*s), arrivals(25, 17*s, 20*s)...), 0, "more than leak away at 25.0"},
		"twice the limit":         {arrivals(100, 0, 10*s), 0, "more than leak away at 50.0"},
		"burst too large":         {burst, 0, "the burst is 20.0"},
		"too little used":         {arrivals(10, 0, 20*s), 0.5, "of the quota was used"},
		"little used, no minimum": {arrivals(10, 0, 20*s), 0, ""},
	} {
		v := Quotas(c.events, limits, 0, 20*s, c.minUsed)
		if got := fmt.Sprint(v.Broken); c.want == "" && !v.OK() || !strings.Contains(got, c.want) {
			t.Errorf("%s: findings %s, measured %v", name, got, v.Measured)
		}
	}
}
