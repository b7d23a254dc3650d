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

// TestElectionRejectsFewWatchers lets watchers wait at a replica that loses its leader; some of them come only
// after the loss. During an election only the few watchers are rejected whose random time is over; all others
// get the change that follows. If the replica is cut off for longer, all watchers with an epoch are rejected,
// at different times within maxCutOffHold. Watchers without an epoch are never rejected.
func TestElectionRejectsFewWatchers(t *testing.T) {
	const watchers, lateWatchers, withoutEpoch = 1000, 200, 10
	for _, c := range []struct {
		name                     string
		lasts                    time.Duration
		minRejected, maxRejected int // rejected watchers
		maxInTenth               int
	}{
		{"an election", maxCutOffHold / 10, 50, 200, 200},
		{"a longer loss of the leader", 2 * maxCutOffHold, watchers + lateWatchers, watchers + lateWatchers, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				m := &machine{state: registry.NewState()}
				s := &Server{config: Default(), machine: m, listHub: newHub(m), contact: newLeaderContact(), ctx: ctx}
				m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
				s.listHub.publishList(m.state)
				go s.listHub.run(ctx.Done())
				type watchResponse struct {
					after time.Duration
					*httptest.ResponseRecorder
				}
				responses := make(chan watchResponse, watchers+lateWatchers+withoutEpoch)
				lostAt := time.Now()
				watch := func(n int, query string) {
					for range n {
						go func() {
							w := httptest.NewRecorder()
							s.readList(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/registry/instances?from=1"+query, nil))
							responses <- watchResponse{time.Since(lostAt), w}
						}()
					}
					synctest.Wait()
				}
				watch(watchers, "&epoch=e&hold_ms=30000")
				watch(withoutEpoch, "&hold_ms=30000")
				s.contact.setCutOff(true)
				watch(lateWatchers, "&epoch=e&hold_ms=1")
				time.Sleep(c.lasts)
				s.contact.setCutOff(false)
				synctest.Wait()
				m.mu.Lock()
				m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("s", 1)})
				s.listHub.publishList(m.state)
				m.mu.Unlock()
				time.Sleep(time.Second)
				if len(responses) != cap(responses) {
					t.Fatalf("%d of %d calls are answered", len(responses), cap(responses))
				}
				rejected, updated, perTenth := 0, 0, make([]int, 12)
				for range cap(responses) {
					a := <-responses
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
