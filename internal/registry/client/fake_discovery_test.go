package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// fakeDiscovery is a discovery in memory, for a synctest bubble with its fake clock.
type fakeDiscovery struct {
	conns  chan net.Conn
	start  time.Time
	server *http.Server

	mu        sync.Mutex
	downUntil time.Duration // time until which connections are refused
	dials     int
	calls     []recordedCall
}

// recordedCall describes a call that was made. Times are since the start.
type recordedCall struct {
	host, from, hold   string
	dials              int // connections dialed before the call
	startedAt, endedAt time.Duration
}

func (s *fakeDiscovery) Accept() (net.Conn, error) {
	c, open := <-s.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *fakeDiscovery) Close() error   { return nil }
func (s *fakeDiscovery) Addr() net.Addr { return &net.TCPAddr{} }

func (s *fakeDiscovery) now() time.Duration { return time.Since(s.start) }

func (s *fakeDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.downUntil {
		return nil, errors.New("refused")
	}
	s.dials++
	near, far := net.Pipe()
	s.conns <- far
	return near, nil
}

// withFakeDiscovery calls run in a synctest bubble with a discovery that serve responds for. Calls are
// counted from 0.
func withFakeDiscovery(t *testing.T, serve func(call int, w http.ResponseWriter, r *http.Request), run func(ctx context.Context, s *fakeDiscovery)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeDiscovery{conns: make(chan net.Conn, 100), start: time.Now()}
		s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			n := len(s.calls)
			s.calls = append(s.calls, recordedCall{host: r.Host, from: r.URL.Query().Get("from"), hold: r.URL.Query().Get("hold_ms"), dials: s.dials, startedAt: s.now()})
			s.mu.Unlock()
			serve(n, w, r)
			s.mu.Lock()
			s.calls[n].endedAt = s.now()
			s.mu.Unlock()
		}), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
		go func() { _ = s.server.Serve(s) }()
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx, s)
		cancel()
		time.Sleep(time.Minute) // lets calls and timers that are still open end
		s.mu.Lock()
		s.downUntil = s.now() + time.Hour
		close(s.conns)
		s.mu.Unlock()
		besteffort.Close(s.server)
	})
}

// receivedList is a list and the time at which it arrived.
type receivedList struct {
	registry.ListResponse
	at time.Duration
}

// platform returns a follower of the fake discovery. A failure is reported as a list without entries at a
// negative time.
func (s *fakeDiscovery) platform(polled bool) (*PlatformFollower, chan receivedList) {
	lists := make(chan receivedList, 100)
	d := NewPlatformFollower("one:1", polled, 41, slog.New(slog.DiscardHandler),
		func(l registry.ListResponse) { lists <- receivedList{l, s.now()} }, func() { lists <- receivedList{at: -s.now()} })
	d.dial = s.dial
	return d, lists
}

// service returns a client of the project's own registry, whose part the fake discovery plays.
func (s *fakeDiscovery) service(hold time.Duration) (*Client, chan receivedList) {
	lists := make(chan receivedList, 100)
	k, err := New(Config{Addresses: []string{"one:1"}, Hold: hold, OnChange: func(l registry.ListResponse) { lists <- receivedList{l, s.now()} }})
	if err != nil {
		panic(err)
	}
	k.http.Transport.(*http.Transport).DialContext = s.dial
	return k, lists
}

// nextList returns the next list. It fails the test if none arrives within an hour of the fake clock, as the
// test would hang otherwise.
func nextList(t *testing.T, lists chan receivedList) receivedList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(time.Hour):
		t.Error("no list arrives")
		return receivedList{}
	}
}

// neverRespond never responds to a call.
func neverRespond(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// respondHalf sends half a response and then falls silent.
func respondHalf(w http.ResponseWriter, r *http.Request) {
	besteffort.Output(io.WriteString(w, `{"index":43,"snapshot":true,"endpoints":[{"name":"s","addr`))
	w.(http.Flusher).Flush()
	neverRespond(w, r)
}

// respondWithList responds with a list of one endpoint.
func respondWithList(w http.ResponseWriter, index uint64) {
	besteffort.Encode(json.NewEncoder(w).Encode(registry.ListResponse{Index: index, Epoch: "e", Snapshot: true,
		Endpoints: []registry.Endpoint{{Name: "s", Address: "127.0.0.1:1", Status: registry.Ready}}}))
}
