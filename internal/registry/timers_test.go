package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimersMatchModelAndMoveOnlyExpired compares drawn calls with a plain table: sessions expire at the same
// checks. A check moves only timers whose queued deadline has passed, however many timers there are.
func TestTimersMatchModelAndMoveOnlyExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expiry := NewSessionExpiry(nil, 0)
		ttl, deadlines := map[string]time.Duration{}, map[string]time.Duration{}
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "session"))
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				ttl[id] = time.Duration(rapid.IntRange(1, 5).Draw(t, "ttl")) * time.Second
				deadlines[id] = now + ttl[id]
				expiry.Set(Session{ID: id, TTL: ttl[id]}, now)
			case 1:
				expiry.Drop(id)
				delete(deadlines, id)
			case 2, 3:
				_, exists := deadlines[id]
				if expiry.Renew(id, now) != exists {
					t.Fatalf("%s exists: %v, Renew says the opposite", id, exists)
				} else if exists {
					deadlines[id] = now + ttl[id]
				}
			case 4:
				queued, due := map[string]time.Duration{}, []string(nil)
				for id, pending := range expiry.timers.byName {
					queued[id] = pending.queuedDeadline
				}
				for id, end := range deadlines {
					if now > end {
						due = append(due, id)
						delete(deadlines, id)
					}
				}
				slices.Sort(due)
				if got := expiry.Due(now); !slices.Equal(got, due) {
					t.Fatalf("sessions %v expire, want %v", got, due)
				}
				for id, pending := range expiry.timers.byName {
					if moved := pending.queuedDeadline != queued[id]; moved != (queued[id] < now) || expiry.timers.queue[pending.index] != pending {
						t.Fatalf("session %s was queued under %v, is queued under %v at %v", id, queued[id], pending.queuedDeadline, now)
					}
				}
			}
		}
	})
}
