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

// standIn is a discovery in memory, for a bubble with a fake clock.
type standIn struct {
	conns  chan net.Conn
	start  time.Time
	server *http.Server

	mu    sync.Mutex
	down  time.Duration // connections are refused until then
	dials int
	calls []heardCall
}

// heardCall is one call, in time since the start.
type heardCall struct {
	host, from, hold string
	dials            int // so far
	came, over       time.Duration
}

func (s *standIn) Accept() (net.Conn, error) {
	c, open := <-s.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *standIn) Close() error   { return nil }
func (s *standIn) Addr() net.Addr { return &net.TCPAddr{} }

func (s *standIn) now() time.Duration { return time.Since(s.start) }

func (s *standIn) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.down {
		return nil, errors.New("refused")
	}
	s.dials++
	near, far := net.Pipe()
	s.conns <- far
	return near, nil
}

// inBubble plays a discovery whose calls are answered by serve, in which calls count from 0.
func inBubble(t *testing.T, serve func(call int, w http.ResponseWriter, r *http.Request), play func(ctx context.Context, s *standIn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &standIn{conns: make(chan net.Conn, 100), start: time.Now()}
		s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			n := len(s.calls)
			s.calls = append(s.calls, heardCall{host: r.Host, from: r.URL.Query().Get("from"), hold: r.URL.Query().Get("hold_ms"), dials: s.dials, came: s.now()})
			s.mu.Unlock()
			serve(n, w, r)
			s.mu.Lock()
			s.calls[n].over = s.now()
			s.mu.Unlock()
		}), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
		go func() { _ = s.server.Serve(s) }()
		ctx, cancel := context.WithCancel(context.Background())
		play(ctx, s)
		cancel()
		time.Sleep(time.Minute) // until whoever is still at something has ended
		s.mu.Lock()
		s.down = s.now() + time.Hour
		close(s.conns)
		s.mu.Unlock()
		besteffort.Close(s.server)
	})
}

// took is a list and when it came.
type took struct {
	registry.ListResponse
	at time.Duration
}

// platform follows a stand-in. Failures are told as lists without entries at a negative time.
func (s *standIn) platform(asked bool) (*Platform, chan took) {
	lists := make(chan took, 100)
	d := NewPlatform("one:1", asked, 41, slog.New(slog.DiscardHandler),
		func(l registry.ListResponse) { lists <- took{l, s.now()} }, func() { lists <- took{at: -s.now()} })
	d.dial = s.dial
	return d, lists
}

// service is a client of the project's own service, which the stand-in plays.
func (s *standIn) service(hold time.Duration) (*Client, chan took) {
	lists := make(chan took, 100)
	k, err := New(Config{Addresses: []string{"one:1"}, Hold: hold, OnChange: func(l registry.ListResponse) { lists <- took{l, s.now()} }})
	if err != nil {
		panic(err)
	}
	k.http.Transport.(*http.Transport).DialContext = s.dial
	return k, lists
}

// next is the next list. None in an hour is an error, as a list that never comes would hang the test.
func next(t *testing.T, lists chan took) took {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(time.Hour):
		t.Error("no list comes")
		return took{}
	}
}

// silent takes a call and says nothing more; half says half an answer first.
func silent(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func half(w http.ResponseWriter, r *http.Request) {
	besteffort.Output(io.WriteString(w, `{"index":43,"snapshot":true,"endpoints":[{"name":"s","addr`))
	w.(http.Flusher).Flush()
	silent(w, r)
}

// tell answers with a list of one server.
func tell(w http.ResponseWriter, index uint64) {
	besteffort.Encode(json.NewEncoder(w).Encode(registry.ListResponse{Index: index, Epoch: "e", Snapshot: true,
		Endpoints: []registry.Endpoint{{Name: "s", Address: "127.0.0.1:1", Status: registry.Ready}}}))
}
