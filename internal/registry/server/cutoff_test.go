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

// TestElectionSendsFewWatchersAway lets watchers wait at a replica that loses its leader, some of them from
// before the loss and some from after it. An election rejects only the few whose random time is over; all
// others get the change that follows. A longer cut rejects all of them at different times within
// maxCutOffHold; readers without an epoch stay.
func TestElectionSendsFewWatchersAway(t *testing.T) {
	const watchers, late, withoutEpoch = 1000, 200, 10
	for _, c := range []struct {
		name                     string
		lasts                    time.Duration
		minRejected, maxRejected int // rejected watchers
		maxInTenth               int
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
				answers := make(chan answer, watchers+late+withoutEpoch)
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
				watch(withoutEpoch, "&hold_ms=30000")
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
					t.Fatalf("%d of %d calls are answered", len(answers), cap(answers))
				}
				rejected, updated, perTenth := 0, 0, make([]int, 12)
				for range cap(answers) {
					a := <-answers
					switch body := a.Body.String(); {
					case a.Code == http.StatusServiceUnavailable && strings.Contains(body, `"cut-off"`) && a.after <= maxCutOffHold+time.Millisecond:
						rejected++
						perTenth[a.after*10/maxCutOffHold]++
					case a.Code == http.StatusOK && strings.Contains(body, `"name":"s"`):
						updated++
					case a.Code != http.StatusOK || a.after < c.lasts:
						t.Errorf("after %v: %d %s", a.after, a.Code, body)
					}
				}
				if rejected < c.minRejected || rejected > c.maxRejected || slices.Max(perTenth) > c.maxInTenth || updated < withoutEpoch || updated+rejected < watchers+withoutEpoch {
					t.Errorf("%d watchers get the change and %d are rejected, by tenths of the time %v; want %d to %d rejected", updated, rejected, perTenth, c.minRejected, c.maxRejected)
				}
			})
		})
	}
}
