package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wrenspread/internal/registry"
)

// TestElectionReleasesNoHerd: of those that are held at a replica, some while it has a leader and some as they come
// meanwhile, an election sends away but the few whose drawn time is over, and all others hear of the change that follows
// it. A cut that lasts sends all elsewhere within cutOffHold, one after the other; readers without an epoch stay.
func TestElectionReleasesNoHerd(t *testing.T) {
	const watchers, late, without = 1000, 200, 10
	for _, c := range []struct {
		name        string
		lasts       time.Duration
		least, most int // that are refused
		mostIn10th  int
	}{
		{"an election", maxCutOffHold / 10, 50, 200, 200},
		{"a cut", 2 * maxCutOffHold, watchers + late, watchers + late, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				m := &machine{state: registry.NewState()}
				s := &Server{config: Default(), machine: m, hub: newHub(m), contact: newLeaderContact(), ctx: ctx}
				m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
				s.hub.publishList(m.state)
				go s.hub.run(ctx.Done())
				type answer struct {
					after time.Duration
					*httptest.ResponseRecorder
				}
				answers := make(chan answer, watchers+late+without)
				lost := time.Now()
				watch := func(n int, query string) {
					for range n {
						go func() {
							w := httptest.NewRecorder()
							s.instances(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/registry/instances?from=1"+query, nil))
							answers <- answer{time.Since(lost), w}
						}()
					}
					synctest.Wait()
				}
				watch(watchers, "&epoch=e&hold_ms=30000")
				watch(without, "&hold_ms=30000")
				s.contact.set(true)
				watch(late, "&epoch=e&hold_ms=1")
				time.Sleep(c.lasts)
				s.contact.set(false)
				synctest.Wait()
				m.mu.Lock()
				m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("s", 1)})
				s.hub.publishList(m.state)
				m.mu.Unlock()
				time.Sleep(time.Second)
				if len(answers) != cap(answers) {
					t.Fatalf("%d of %d are answered", len(answers), cap(answers))
				}
				refused, told, in := 0, 0, make([]int, 12)
				for range cap(answers) {
					a := <-answers
					switch body := a.Body.String(); {
					case a.Code == http.StatusServiceUnavailable && strings.Contains(body, `"cut-off"`) && a.after <= maxCutOffHold+time.Millisecond:
						refused++
						in[a.after*10/maxCutOffHold]++
					case a.Code == http.StatusOK && strings.Contains(body, `"name":"s"`):
						told++
					case a.Code != http.StatusOK || a.after < c.lasts:
						t.Errorf("after %v: %d %s", a.after, a.Code, body)
					}
				}
				if refused < c.least || refused > c.most || slices.Max(in) > c.mostIn10th || told < without || told+refused < watchers+without {
					t.Errorf("%d are told and %d refused, by tenths of the time %v; want %d to %d refused", told, refused, in, c.least, c.most)
				}
			})
		})
	}
}
