package discovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"
)

// TestWatcherThatAppliesTheAnswersHasTheAgentsList: a watcher that applies all answers in order, snapshots as
// well as changes, has after each answer the list of the answer's version. The versions never go back.
func TestWatcherThatAppliesTheAnswersHasTheAgentsList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reg Registry
		var now time.Duration
		delay := func(bool) time.Duration { return time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")) }
		a := reg.Agent("n0", nil, delay, func(backend string) string { return "at-" + backend })
		list := map[string]Entry{}
		var from uint64
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "elapsed"))
			if rapid.Bool().Draw(t, "change") {
				status := rapid.SampledFrom([]string{Ready, Draining, Gone}).Draw(t, "status")
				reg.Set(now, Entry{Name: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "backend")), Status: status}, false)
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				from = 0
			}
			got := a.List(from, now)
			if got.Index < from || got.Snapshot != (from == 0) {
				t.Fatalf("answer to a request from version %d: %+v", from, got)
			}
			if got.Snapshot {
				clear(list)
			}
			for _, e := range got.Endpoints {
				if e.Address != "at-"+e.Name {
					t.Fatalf("entry %s has the wrong address %s", e.Name, e.Address)
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
				t.Fatalf("version %d: the watcher has the list %v, want %v", from, list, want)
			}
		}
	})
}
