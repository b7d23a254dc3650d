package server

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// statusRecorder is what a handler answered.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (c *statusRecorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

func (c *statusRecorder) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// TestColdFleetOverSockets: a few hundred clients that come at once for whole parts, with a place for each 75 of them as
// 64 are for 4,300, all get theirs, though each place was taken as they came: each whole answer once, the narrow one to
// learn the total and the right one, however often they were sent away. Nothing that had a place is made anew.
func TestColdFleetOverSockets(t *testing.T) {
	const clients, places, servers, nodes = 300, 4, 150, 4300
	m := &machine{state: registry.NewState()}
	s := &Server{config: Default(), machine: m, hub: newHub(m), contact: newLeaderContact(), completeReads: make(chan struct{}, places), ctx: t.Context()}
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	for i := range servers {
		m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(fmt.Sprint("s", i), 1)})
	}
	s.hub.publishList(m.state)
	s.contact.caughtUp.Store(true)
	var given, sentAway atomic.Int32
	allAway := make(chan struct{})
	away := sync.OnceFunc(func() { close(allAway) })
	door := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &statusRecorder{w, http.StatusOK}
		s.instances(c, r)
		switch {
		case r.URL.Query().Has("from"):
		case c.status == http.StatusTooManyRequests:
			if sentAway.Add(1) == clients {
				away()
			}
		case c.status == http.StatusOK && r.Context().Err() == nil: // else the client has given up
			given.Add(1)
			away()
		}
	}))
	door.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, 0)
	door.Start()
	defer door.Close()
	for range places {
		s.completeReads <- struct{}{}
	}
	wants := func(i, total int) registry.Subset { return registry.SubsetOf(i, nodes, eachCounts*total) }
	ctx, stop := context.WithCancel(t.Context())
	var tasks, have sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	have.Add(clients)
	wide := 0
	for i := range clients {
		first := wants(i, registry.MaxEndpoints/eachCounts)
		if !first.Covers(wants(i, servers)) {
			wide++
		}
		var once sync.Once
		k, err := client.New(client.Config{Addresses: []string{strings.TrimPrefix(door.URL, "http://")},
			ChooseSubset: func(now registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
				if entries == nil {
					return first
				}
				return wants(i, total)
			},
			OnChange: func(a registry.ListResponse) {
				if a.Subset == wants(i, servers).String() {
					once.Do(have.Done)
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { k.Follow(ctx); k.Close() })
	}
	<-allAway
	if n := given.Load(); n != 0 {
		t.Errorf("%d whole parts are given past the places", n)
	}
	for range places {
		<-s.completeReads
	}
	have.Wait()
	if n := int(given.Load()); n != clients+wide || wide < clients/2 {
		t.Errorf("%d whole parts are given to %d clients, of whom %d need a second", n, clients, wide)
	}
}
