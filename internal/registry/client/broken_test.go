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

// text answers with a body.
func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(io.WriteString(w, body)) }
}

// TestAnswerThatIsNotTaken, or none: what is known stands, and the next call comes at once, on a connection of its
// own, and is not held. Only then the list is watched.
func TestAnswerThatIsNotTaken(t *testing.T) {
	server := entryJSON("s", "127.0.0.1:1", "ready")
	for _, c := range []struct {
		name  string
		call  int // 0 is for the complete list, 1 is a watch from 42
		serve http.HandlerFunc
		whole bool // is asked for next
	}{
		{"reset", 1, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"refused", 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false},
		{"cut off", 1, text(`{"index":43,"endp`), false},
		{"of another type", 1, text(`{"index":"43","snapshot":false,"endpoints":[]}`), false},
		{"no servers", 1, text(`{"index":43,"snapshot":true,"endpoints":null}`), false},
		{"no body", 1, text(``), false},
		{"empty", 1, text(`{}`), true},
		{"null", 1, text(`null`), true},
		{"older changes", 1, text(`{"index":41,"snapshot":false,"endpoints":[` + server + `]}`), true},
		{"an older list", 1, text(`{"index":41,"snapshot":true,"endpoints":[` + server + `]}`), true},
		{"null for the whole list", 0, text(`null`), true},
		{"changes for the whole list", 0, text(`{"index":43,"snapshot":false,"endpoints":[` + server + `]}`), true},
	} {
		for name, asked := range map[string]bool{"pushed": false, "asked for": true} {
			if asked && c.name == "refused" {
				continue // then the balancer waits, as TestAskedDiscovery shows
			}
			t.Run(name+" "+c.name, func(t *testing.T) {
				index, most, hold := uint64(50), time.Duration(0), holdPushed
				if c.whole {
					index = 40 // the complete list is the truth, whatever its version
				}
				inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
					switch {
					case call < c.call:
						tell(w, 42)
					case call == c.call:
						c.serve(w, r)
					case call == c.call+1:
						tell(w, index)
					default:
						silent(w, r)
					}
				}, func(ctx context.Context, s *standIn) {
					d, lists := s.platform(asked)
					if asked {
						most, hold = silentRetrySpread, holdPolled
						d.Poll(ctx, true, true)
					} else {
						d.Follow(ctx)
					}
					for range c.call {
						next(t, lists)
					}
					if l := next(t, lists); l.Index != index || l.at > most {
						t.Errorf("list %d is taken at %v", l.Index, l.at)
					}
					synctest.Wait()
					broken, anew, held := s.calls[c.call], s.calls[c.call+1], s.calls[c.call+2]
					if (anew.from == "") != c.whole || !c.whole && anew.hold != "1" || anew.dials == broken.dials {
						t.Errorf("%+v comes after %+v", anew, broken)
					}
					if held.from != fmt.Sprint(index) || held.hold != fmt.Sprint(hold.Milliseconds()) || held.dials != anew.dials {
						t.Errorf("it goes on with %+v", held)
					}
				})
			})
		}
	}
}

// TestServiceAnswerThatIsNotTaken: the list that is known stands, also with the project's own service.
func TestServiceAnswerThatIsNotTaken(t *testing.T) {
	for name, bad := range map[string]string{
		"no servers":    `{"index":43,"epoch":"e","snapshot":true,"endpoints":null}`,
		"another epoch": `{"index":43,"epoch":"f","snapshot":false,"endpoints":[]}`,
		"empty":         `{}`,
		"older":         `{"index":41,"epoch":"e","snapshot":true,"endpoints":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
				switch call {
				case 0, 2:
					tell(w, uint64(42+call))
				case 1:
					text(bad)(w, r)
				default:
					silent(w, r)
				}
			}, func(ctx context.Context, s *standIn) {
				k, lists := s.service(DefaultHold)
				defer k.Close()
				go k.Follow(ctx)
				if l, m := next(t, lists), next(t, lists); l.Index != 42 || m.Index != 44 || len(m.Endpoints) != 1 {
					t.Errorf("%+v, then %+v", l, m)
				}
			})
		})
	}
}

// TestResetWatchIsNotSentAgain by net/http itself, with what is left of its time for the whole hold: the next call is
// one that is not held.
func TestResetWatchIsNotSentAgain(t *testing.T) {
	queries := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.Query().Get("hold_ms") {
		case "":
			tell(w, 42)
		case "1":
			tell(w, 43)
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
	NewPlatform(s.Listener.Addr().String(), false, 0, slog.New(slog.DiscardHandler), func(registry.ListResponse) {}, func() {}).Follow(ctx)
	for i, want := range []string{"", "from=42&hold_ms=3500", "from=42&hold_ms=1", "from=43&hold_ms=3500"} {
		select {
		case q := <-queries:
			if q != want {
				t.Errorf("call %d asks for %q, want %q", i, q, want)
			}
		case <-time.After(enough):
			t.Fatalf("no call %d", i)
		}
	}
}
