package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"wrenspread/internal/registry"
)

// TestCompleteSubsetReadsAreLimited checks that readers of complete subsets get a Retry-After while all slots
// are taken. Reads of changes, and reads of the list that name no subset, need no slot.
func TestCompleteSubsetReadsAreLimited(t *testing.T) {
	m := &machine{state: registry.NewState()}
	s := &Server{config: Default(), machine: m, listHub: newHub(m), contact: newLeaderContact(), completeReads: make(chan struct{}, 1), ctx: context.Background()}
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("s", 1)})
	s.listHub.publishList(m.state)
	s.contact.caughtUp.Store(true)
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel() // ends the wait for a slot at once
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.readList(w, httptest.NewRequestWithContext(cancelledCtx, http.MethodGet, "/registry/instances"+query, nil))
		return w
	}
	for busy, want := range map[bool]int{false: 200, true: 429} {
		if busy {
			s.completeReads <- struct{}{}
		}
		w := get("?part=0-4096")
		if w.Code != want || (w.Header().Get("Retry-After") != "") != busy {
			t.Errorf("slots taken %v: %d %s", busy, w.Code, w.Body)
		}
		for _, query := range []string{"", "?part=0-4096&from=1&epoch=e"} {
			if w := get(query); w.Code != 200 {
				t.Errorf("%s: %d %s", query, w.Code, w.Body)
			}
		}
		if busy {
			<-s.completeReads
		}
	}
}
