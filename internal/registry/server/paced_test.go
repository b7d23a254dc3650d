package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"wrenspread/internal/registry"
)

// TestWholePartsArePaced: those that come while all places are taken are told when to come again; changes, and the
// list of those that name no part, are not held up.
func TestWholePartsArePaced(t *testing.T) {
	m := &machine{state: registry.NewState()}
	s := &Server{config: Default(), machine: m, hub: newHub(m), contact: newLeaderContact(), completeReads: make(chan struct{}, 1), ctx: context.Background()}
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("s", 1)})
	s.hub.publishList(m.state)
	s.contact.caughtUp.Store(true)
	gone, cancel := context.WithCancel(context.Background())
	cancel() // in place of the wait for one's turn
	ask := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.instances(w, httptest.NewRequestWithContext(gone, http.MethodGet, "/registry/instances"+query, nil))
		return w
	}
	for taken, want := range map[bool]int{false: 200, true: 429} {
		if taken {
			s.completeReads <- struct{}{}
		}
		w := ask("?part=0-4096")
		if w.Code != want || (w.Header().Get("Retry-After") != "") != taken {
			t.Errorf("taken %v: %d %s", taken, w.Code, w.Body)
		}
		for _, query := range []string{"", "?part=0-4096&from=1&epoch=e"} {
			if w := ask(query); w.Code != 200 {
				t.Errorf("%s: %d %s", query, w.Code, w.Body)
			}
		}
		if taken {
			<-s.completeReads
		}
	}
}
