package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimers: beside a plain table that is walked, sessions end at the same looks, whatever is set, renewed and dropped;
// and a look moves those alone that wait by a deadline which has passed, however many there are.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewSessionExpiry(nil, 0)
		ttl, at := map[string]time.Duration{}, map[string]time.Duration{}
		var now time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "session"))
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				ttl[id] = time.Duration(rapid.IntRange(1, 5).Draw(t, "ttl")) * time.Second
				at[id] = now + ttl[id]
				d.Set(Session{ID: id, TTL: ttl[id]}, now)
			case 1:
				d.Drop(id)
				delete(at, id)
			case 2, 3:
				_, there := at[id]
				if d.Renew(id, now) != there {
					t.Fatalf("%s is there: %v", id, there)
				} else if there {
					at[id] = now + ttl[id]
				}
			case 4:
				waited, due := map[string]time.Duration{}, []string(nil)
				for id, one := range d.timers.byName {
					waited[id] = one.queuedDeadline
				}
				for id, end := range at {
					if now > end {
						due = append(due, id)
						delete(at, id)
					}
				}
				slices.Sort(due)
				if got := d.Due(now); !slices.Equal(got, due) {
					t.Fatalf("%v end, not %v", got, due)
				}
				for id, one := range d.timers.byName {
					if moved := one.queuedDeadline != waited[id]; moved != (waited[id] < now) || d.timers.queue[one.index] != one {
						t.Fatalf("%s waited for %v, waits for %v at %v", id, waited[id], one.queuedDeadline, now)
					}
				}
			}
		}
	})
}
