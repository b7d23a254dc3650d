package discovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"
)

// TestWatcherThatAppliesTheAnswersHasTheAgentsList: a watcher that applies the answers in turn, snapshots and
// changes, has the list of each answer's version, and gets changes in their order.
func TestWatcherThatAppliesTheAnswersHasTheAgentsList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reg Registry
		var now time.Duration
		late := func(bool) time.Duration { return time.Duration(rapid.IntRange(0, 5).Draw(t, "late")) }
		a := reg.Agent("n0", nil, late, func(box string) string { return "at-" + box })
		list := map[string]Entry{}
		var from uint64
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pass"))
			if rapid.Bool().Draw(t, "change") {
				status := rapid.SampledFrom([]string{Ready, Draining, Gone}).Draw(t, "status")
				reg.Set(now, Entry{Name: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "box")), Status: status}, false)
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				from = 0
			}
			got := a.List(from, now)
			if got.Index < from || got.Snapshot != (from == 0) {
				t.Fatalf("the answer to a request from version %d is %+v", from, got)
			}
			if got.Snapshot {
				clear(list)
			}
			for _, e := range got.Endpoints {
				if e.Address != "at-"+e.Name {
					t.Fatalf("%s is at %s", e.Name, e.Address)
				}
				list[e.Name] = e
				if e.Status == Gone {
					delete(list, e.Name)
				}
			}
			from = got.Index
			want := map[string]Entry{}
			for _, c := range reg.changes[:from] {
				e := c.entry
				e.Address = "at-" + e.Name
				want[e.Name] = e
				if e.Status == Gone {
					delete(want, e.Name)
				}
			}
			if !reflect.DeepEqual(list, want) {
				t.Fatalf("at %d the watcher has %v, the list is %v", from, list, want)
			}
		}
	})
}
