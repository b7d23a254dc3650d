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

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (c *statusRecorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

func (c *statusRecorder) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// TestColdFleetReadsEachSubsetOnce lets 300 clients start at once. There is a slot for complete reads for
// each 75 clients, similar to 64 slots for 4,300 proxies, and all slots are taken at first. Each client gets
// its subset and reads each complete subset once, however often it was rejected: a narrow subset, from which
// it learns the total, and then the subset that it needs.
func TestColdFleetReadsEachSubsetOnce(t *testing.T) {
	const clients, slots, servers, proxies = 300, 4, 150, 4300
	m := &machine{state: registry.NewState()}
	s := &Server{config: Default(), machine: m, listHub: newHub(m), contact: newLeaderContact(), completeReads: make(chan struct{}, slots), ctx: t.Context()}
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	for i := range servers {
		m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(fmt.Sprint("s", i), 1)})
	}
	s.listHub.publishList(m.state)
	s.contact.caughtUp.Store(true)
	var sent, rejected atomic.Int32
	allRejected := make(chan struct{})
	closeAllRejected := sync.OnceFunc(func() { close(allRejected) })
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &statusRecorder{w, http.StatusOK}
		s.readList(c, r)
		switch {
		case r.URL.Query().Has("from"):
		case c.status == http.StatusTooManyRequests:
			if rejected.Add(1) == clients {
				closeAllRejected()
			}
		case c.status == http.StatusOK && r.Context().Err() == nil: // otherwise the client has given up
			sent.Add(1)
			closeAllRejected()
		}
	}))
	front.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, 0)
	front.Start()
	defer front.Close()
	for range slots {
		s.completeReads <- struct{}{}
	}
	wantedSubset := func(i, total int) registry.Subset { return registry.SubsetOf(i, proxies, endpointsPerEntry*total) }
	ctx, stop := context.WithCancel(t.Context())
	var tasks, pending sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	pending.Add(clients)
	needWider := 0
	for i := range clients {
		first := wantedSubset(i, registry.MaxEndpoints/endpointsPerEntry)
		if !first.Covers(wantedSubset(i, servers)) {
			needWider++
		}
		var once sync.Once
		k, err := client.New(client.Config{Addresses: []string{strings.TrimPrefix(front.URL, "http://")},
			ChooseSubset: func(now registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
				if entries == nil {
					return first
				}
				return wantedSubset(i, total)
			},
			OnChange: func(a registry.ListResponse) {
				if a.Subset == wantedSubset(i, servers).String() {
					once.Do(pending.Done)
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { k.Follow(ctx); k.Close() })
	}
	<-allRejected
	if n := sent.Load(); n != 0 {
		t.Errorf("%d complete subsets are sent although all slots are taken", n)
	}
	for range slots {
		<-s.completeReads
	}
	pending.Wait()
	if n := int(sent.Load()); n != clients+needWider || needWider < clients/2 {
		t.Errorf("%d complete subsets are sent to %d clients, of which %d need a second one", n, clients, needWider)
	}
}
