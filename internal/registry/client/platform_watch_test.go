package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// TestWatchCallsFollowWithin200Milliseconds checks that each call of a watch begins within 200 ms of the
// previous response, whether that response had changes, came at the end of the hold or came at once without
// changes. A discovery that always responds at once without changes is not called in a tight loop.
func TestWatchCallsFollowWithin200Milliseconds(t *testing.T) {
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			const calls = 12
			withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
				switch {
				case call > calls:
					neverRespond(w, r)
				case call%3 == 0: // changes, at once
					respondWithList(w, uint64(50+call))
				case call%3 == 1: // no changes, at the end of the hold
					hold, err := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
					if err != nil {
						t.Error(err)
					}
					time.Sleep(hold)
					fallthrough
				default: // no changes, at once
					besteffort.Encode(json.NewEncoder(w).Encode(registry.ListResponse{Index: uint64(50 + call/3*3)}))
				}
			}, func(ctx context.Context, s *fakeDiscovery) {
				d, _ := s.platform(polled)
				if polled {
					d.Poll(ctx, false, true)
				} else {
					d.Follow(ctx)
				}
				time.Sleep(4 * (holdPolled + time.Second))
				synctest.Wait()
				if len(s.calls) < calls+1 {
					t.Fatalf("%d calls, want more than %d", len(s.calls), calls)
				}
				for i, c := range s.calls[1 : calls+1] {
					if gap := c.startedAt - s.calls[i].endedAt; gap >= 200*time.Millisecond || i%3 == 2 && gap == 0 {
						t.Errorf("call %d begins %v after the previous response", i+1, gap)
					}
				}
			})
		})
	}
}

// TestIndentedListsAreParsed checks that a list is parsed whatever whitespace it contains. The list arrives
// line by line, as from a slow writer.
func TestIndentedListsAreParsed(t *testing.T) {
	want := registry.ListResponse{Index: 44, Snapshot: true, Endpoints: []registry.Endpoint{
		{Name: "s", Address: "127.0.0.1:1", Zone: "a", Type: "m2", Cell: 3, Status: registry.Ready, Weight: 1.5, StartedAtMS: 7},
		{Name: "t", Address: "127.0.0.1:2", Status: registry.Draining}, {Name: "u", Status: registry.Removed}}}
	plain, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range []struct{ name, ahead, indent, end string }{
		{"not indented", "", "", "\n"}, {"indented by blanks", "", "  ", "\n"}, {"indented by tabs", "\t", "\t", "\n"}, {"with carriage returns", " ", "    ", "\r\n"},
	} {
		var b bytes.Buffer
		_ = json.Indent(&b, plain, form.ahead, form.indent)
		text := form.end + form.ahead + strings.ReplaceAll(b.String(), "\n", form.end) + form.end
		for name, polled := range map[string]bool{"pushed": false, "polled": true} {
			t.Run(name+" "+form.name, func(t *testing.T) {
				withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
					if call > 0 {
						neverRespond(w, r)
					}
					for _, line := range strings.SplitAfter(text, "\n") { // one at a time, as a slow writer sends them
						besteffort.Output(w.Write([]byte(line)))
						w.(http.Flusher).Flush()
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					d, lists := s.platform(polled)
					if polled {
						d.Poll(ctx, true, true)
					} else {
						d.Follow(ctx)
					}
					if got := nextList(t, lists).ListResponse; len(got.Skipped) > 0 || !reflect.DeepEqual(got.Endpoints, want.Endpoints) || got.Index != 44 {
						t.Errorf("%+v", got)
					}
				})
			})
		}
	}
}
