package client

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// entryJSON returns an entry in the platform's form.
func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

// TestFollowSurvivesSuccessiveFailures lets a discovery fail in one way after the other. Each call names the
// version that is known, and the change after the failures arrives.
func TestFollowSurvivesSuccessiveFailures(t *testing.T) {
	froms := make(chan string, 100)
	var calls atomic.Int32 // each call has a connection of its own
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		froms <- r.URL.Query().Get("from")
		switch calls.Add(1) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			panic(http.ErrAbortHandler) // resets the connection
		case 3:
			besteffort.Output(fmt.Fprint(w, `{"index":`))
		case 4:
			<-r.Context().Done() // silent until the follower gives up
		case 5:
			besteffort.Output(fmt.Fprintf(w, `{"index":43,"snapshot":false,"endpoints":[%s]}`, entryJSON("s", "127.0.0.1:1", "draining")))
		default:
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan registry.ListResponse, 10)
	d := NewPlatformFollower(s.Listener.Addr().String(), false, 41, slog.New(slog.DiscardHandler), func(l registry.ListResponse) { lists <- l }, func() { t.Error("a failure is reported to the balancer") })
	d.hold = time.Millisecond
	go d.follow(ctx)
	select {
	case l := <-lists:
		if l.Index != 43 || l.Snapshot || len(l.Endpoints) != 1 {
			t.Errorf("%+v", l)
		}
	case <-time.After(enough):
		t.Fatal("no list arrives")
	}
	for i := range 6 {
		want := "41"
		if i == 5 {
			want = "43"
		}
		if from := <-froms; from != want {
			t.Errorf("call %d requests changes from %s, want %s", i+1, from, want)
		}
	}
}

// TestPolledDiscoveryReportsFailures checks that a follower of polled lists reports a failure and then waits
// for the next poll of the balancer.
func TestPolledDiscoveryReportsFailures(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "": // the complete list
			besteffort.Output(fmt.Fprint(w, `{"index":42,"snapshot":true,"endpoints":[]}`))
		case "41":
			besteffort.Output(fmt.Fprint(w, `{"index":50,"snapshot":false,"endpoints":[]}`))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	lists, failures := make(chan registry.ListResponse, 10), make(chan bool, 10)
	d := NewPlatformFollower(s.Listener.Addr().String(), true, 41, slog.New(slog.DiscardHandler), func(l registry.ListResponse) { lists <- l }, func() { failures <- true })
	for _, c := range []struct {
		fetch bool
		index uint64
	}{{false, 50}, {true, 42}} {
		d.Poll(context.Background(), c.fetch, true)
		if l := <-lists; l.Index != c.index {
			t.Errorf("list %d, want %d", l.Index, c.index)
		}
		<-failures
	}
	if len(lists) != 0 || len(failures) != 0 {
		t.Error("a failed watch continues without a poll")
	}
}
