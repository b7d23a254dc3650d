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

// TestWatchIsContinued: each next call of a watch comes within 200 ms of the answer before, whether that brought
// news, came at the end of its hold or was not held at all. A discovery that does not hold is not called in a loop.
func TestWatchIsContinued(t *testing.T) {
	for name, asked := range map[string]bool{"pushed": false, "asked for": true} {
		t.Run(name, func(t *testing.T) {
			const calls = 12
			inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
				switch {
				case call > calls:
					silent(w, r)
				case call%3 == 0: // news, at once
					tell(w, uint64(50+call))
				case call%3 == 1: // none at the end of the hold
					hold, err := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
					if err != nil {
						t.Error(err)
					}
					time.Sleep(hold)
					fallthrough
				default: // none, at once
					besteffort.Encode(json.NewEncoder(w).Encode(registry.ListResponse{Index: uint64(50 + call/3*3)}))
				}
			}, func(ctx context.Context, s *standIn) {
				d, _ := s.platform(asked)
				if asked {
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
					if gap := c.came - s.calls[i].over; gap >= 200*time.Millisecond || i%3 == 2 && gap == 0 {
						t.Errorf("call %d comes %v after the answer before", i+1, gap)
					}
				}
			})
		})
	}
}

// TestIndentedLists mean the same as others.
func TestIndentedLists(t *testing.T) {
	want := registry.ListResponse{Index: 44, Snapshot: true, Endpoints: []registry.Endpoint{
		{Name: "s", Address: "127.0.0.1:1", Zone: "a", Type: "m2", Cell: 3, Status: registry.Ready, Weight: 1.5, StartedAtMS: 7},
		{Name: "t", Address: "127.0.0.1:2", Status: registry.Draining}, {Name: "u", Status: registry.Removed}}}
	plain, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range []struct{ name, ahead, indent, end string }{
		{"not", "", "", "\n"}, {"by blanks", "", "  ", "\n"}, {"by tabs", "\t", "\t", "\n"}, {"with carriage returns", " ", "    ", "\r\n"},
	} {
		var b bytes.Buffer
		_ = json.Indent(&b, plain, form.ahead, form.indent)
		text := form.end + form.ahead + strings.ReplaceAll(b.String(), "\n", form.end) + form.end
		for name, asked := range map[string]bool{"pushed": false, "asked for": true} {
			t.Run(name+" "+form.name, func(t *testing.T) {
				inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
					if call > 0 {
						silent(w, r)
					}
					for _, line := range strings.SplitAfter(text, "\n") { // as they come from a slow writer
						besteffort.Output(w.Write([]byte(line)))
						w.(http.Flusher).Flush()
					}
				}, func(ctx context.Context, s *standIn) {
					d, lists := s.platform(asked)
					if asked {
						d.Poll(ctx, true, true)
					} else {
						d.Follow(ctx)
					}
					if got := next(t, lists).ListResponse; len(got.Skipped) > 0 || !reflect.DeepEqual(got.Endpoints, want.Endpoints) || got.Index != 44 {
						t.Errorf("%+v", got)
					}
				})
			})
		}
	}
}
