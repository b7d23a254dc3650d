package client

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// respondWith returns a handler that responds with a body.
func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(io.WriteString(w, body)) }
}

// TestRejectedResponseKeepsListAndIsRepeatedWithoutHold lets a call fail or get a response that can't be
// used. The known list stays, and the next call is made at once, on a new connection and without a hold. The
// call after it watches the list again.
func TestRejectedResponseKeepsListAndIsRepeatedWithoutHold(t *testing.T) {
	server := entryJSON("s", "127.0.0.1:1", "ready")
	for _, c := range []struct {
		name           string
		call           int // the call that fails: 0 reads the complete list, 1 watches from 42
		serve          http.HandlerFunc
		nextIsComplete bool // the next call requests the complete list
	}{
		{"reset", 1, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"refused", 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false},
		{"cut off", 1, respondWith(`{"index":43,"endp`), false},
		{"index of another type", 1, respondWith(`{"index":"43","snapshot":false,"endpoints":[]}`), false},
		{"null endpoints", 1, respondWith(`{"index":43,"snapshot":true,"endpoints":null}`), false},
		{"no body", 1, respondWith(``), false},
		{"empty object", 1, respondWith(`{}`), true},
		{"null", 1, respondWith(`null`), true},
		{"older changes", 1, respondWith(`{"index":41,"snapshot":false,"endpoints":[` + server + `]}`), true},
		{"older complete list", 1, respondWith(`{"index":41,"snapshot":true,"endpoints":[` + server + `]}`), true},
		{"null for the complete list", 0, respondWith(`null`), true},
		{"changes for the complete list", 0, respondWith(`{"index":43,"snapshot":false,"endpoints":[` + server + `]}`), true},
	} {
		for name, polled := range map[string]bool{"pushed": false, "polled": true} {
			if polled && c.name == "refused" {
				continue // then the balancer waits: see TestPolledDiscoveryReportsFailures
			}
			t.Run(name+" "+c.name, func(t *testing.T) {
				index, latest, hold := uint64(50), time.Duration(0), holdPushed
				if c.nextIsComplete {
					index = 40 // a complete list is accepted whatever its version
				}
				withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
					switch {
					case call < c.call:
						respondWithList(w, 42)
					case call == c.call:
						c.serve(w, r)
					case call == c.call+1:
						respondWithList(w, index)
					default:
						neverRespond(w, r)
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					d, lists := s.platform(polled)
					if polled {
						latest, hold = silentRetrySpread, holdPolled
						d.Poll(ctx, true, true)
					} else {
						d.Follow(ctx)
					}
					for range c.call {
						nextList(t, lists)
					}
					if l := nextList(t, lists); l.Index != index || l.at > latest {
						t.Errorf("list %d is accepted at %v", l.Index, l.at)
					}
					synctest.Wait()
					rejected, retry, watch := s.calls[c.call], s.calls[c.call+1], s.calls[c.call+2]
					if (retry.from == "") != c.nextIsComplete || !c.nextIsComplete && retry.hold != "1" || retry.dials == rejected.dials {
						t.Errorf("call %+v follows %+v", retry, rejected)
					}
					if watch.from != fmt.Sprint(index) || watch.hold != fmt.Sprint(hold.Milliseconds()) || watch.dials != retry.dials {
						t.Errorf("the watch continues with call %+v", watch)
					}
				})
			})
		}
	}
}

// TestRejectedServiceResponseKeepsList checks that the client of the project's own registry also keeps the
// known list after a response that can't be used.
func TestRejectedServiceResponseKeepsList(t *testing.T) {
	for name, bad := range map[string]string{
		"null endpoints": `{"index":43,"epoch":"e","snapshot":true,"endpoints":null}`,
		"another epoch":  `{"index":43,"epoch":"f","snapshot":false,"endpoints":[]}`,
		"empty object":   `{}`,
		"older":          `{"index":41,"epoch":"e","snapshot":true,"endpoints":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
				switch call {
				case 0, 2:
					respondWithList(w, uint64(42+call))
				case 1:
					respondWith(bad)(w, r)
				default:
					neverRespond(w, r)
				}
			}, func(ctx context.Context, s *fakeDiscovery) {
				k, lists := s.service(DefaultHold)
				defer k.Close()
				go k.Follow(ctx)
				if l, m := nextList(t, lists), nextList(t, lists); l.Index != 42 || m.Index != 44 || len(m.Endpoints) != 1 {
					t.Errorf("the lists are %+v and %+v", l, m)
				}
			})
		})
	}
}

// TestResetWatchIsNotRepeatedByTransport guards against net/http itself repeating a watch whose connection
// was reset, with too little time left for the hold. The next call comes from the follower and has no hold.
func TestResetWatchIsNotRepeatedByTransport(t *testing.T) {
	queries := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.Query().Get("hold_ms") {
		case "":
			respondWithList(w, 42)
		case "1":
			respondWithList(w, 43)
		default:
			if r.URL.Query().Get("from") == "42" {
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					besteffort.SocketOption(c.(*net.TCPConn).SetLinger(0))
					besteffort.Close(c)
				}
				return
			}
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	NewPlatformFollower(s.Listener.Addr().String(), false, 0, slog.New(slog.DiscardHandler), func(registry.ListResponse) {}, func() {}).Follow(ctx)
	for i, want := range []string{"", "from=42&hold_ms=3500", "from=42&hold_ms=1", "from=43&hold_ms=3500"} {
		select {
		case q := <-queries:
			if q != want {
				t.Errorf("call %d has query %q, want %q", i, q, want)
			}
		case <-time.After(enough):
			t.Fatalf("no call %d", i)
		}
	}
}
