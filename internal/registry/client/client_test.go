package client

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

const enough = 30 * time.Second // only a hang takes so long

// TestListStateNeverGoesBackAndConverges reads from replicas that are up to date or lag. The known list never
// goes back within an epoch, is always a list that the service had, and becomes the present list.
func TestListStateNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		history := map[string][]registry.Endpoint{} // the list at each epoch and version
		record := func() { history[fmt.Sprint(s.Epoch(), s.Version())] = s.Since(0).Endpoints }
		record()
		copies := []*registry.State{decodedCopy(t, s)} // states of lagging replicas
		b := NewListState(time.Second, List{})
		var now time.Duration
		call := func(source *registry.State) {
			from, epoch := b.Next()
			if epoch != source.Epoch() {
				from = 0
			}
			before := b.List()
			effect := b.Apply(now, from, source.Since(from))
			v := b.List()
			if v.Epoch == before.Epoch && v.Version < before.Version {
				t.Fatalf("from version %d back to %d", before.Version, v.Version)
			}
			if want, ok := history[fmt.Sprint(v.Epoch, v.Version)]; v.Epoch != "" && (!ok || len(want)+len(v.Endpoints) > 0 && !reflect.DeepEqual(want, v.Endpoints)) {
				t.Fatalf("at %s %d the known list is %v, the service had %v (%d)", v.Epoch, v.Version, v.Endpoints, want, effect)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2:
				e := registry.Endpoint{Name: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name")), Address: "a:1", Status: registry.Ready, Weight: float64(n)}
				s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &e})
				record()
			case 3:
				s.Apply(registry.Command{Op: registry.OpRemove, Name: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name"))})
				record()
			case 4:
				copies = append(copies, decodedCopy(t, s))
			case 5:
				raw, err := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")].EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, Epoch: fmt.Sprint("e", n+1), Snapshot: raw})
				record()
			case 6, 7:
				call(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			default:
				call(s)
			}
		}
		for range 4 {
			call(s)
			now += 2 * time.Second // past the delay of deferred lists
		}
		if v := b.List(); v.Version != s.Version() || v.Epoch != s.Epoch() {
			t.Fatalf("the known list stays at %s %d, the service is at %s %d", v.Epoch, v.Version, s.Epoch(), s.Version())
		}
	})
}

// decodedCopy returns the state that is decoded from a snapshot of s.
func decodedCopy(t *rapid.T, s *registry.State) *registry.State {
	raw, err := s.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	c, err := registry.DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestSuspectListOfOtherEpochIsDeferred checks that an empty list of another epoch is accepted only after the
// delay, that a full list of that epoch is accepted at once, and that a list of the previous epoch is then
// deferred.
func TestSuspectListOfOtherEpochIsDeferred(t *testing.T) {
	var before List
	before.Epoch, before.Version = "a", 9
	for i := range 6 {
		before.Endpoints = append(before.Endpoints, registry.Endpoint{Name: fmt.Sprint("s", i), Status: registry.Ready})
	}
	b := NewListState(30*time.Second, before)
	empty := registry.ListResponse{Index: 1, Epoch: "b", Snapshot: true}
	if got := b.Apply(0, 9, empty); got != Deferred || len(b.List().Endpoints) != 6 {
		t.Errorf("at first: %d, with %d entries", got, len(b.List().Endpoints))
	}
	if got := b.Apply(29*time.Second, 0, empty); got != Deferred {
		t.Errorf("before the delay is over: %d", got)
	}
	full := registry.ListResponse{Index: 7, Epoch: "b", Snapshot: true, Endpoints: before.Endpoints}
	if got := b.Apply(30*time.Second, 0, full); got != Changed {
		t.Errorf("after the endpoints registered again: %d", got)
	}
	if got := b.Apply(31*time.Second, 7, registry.ListResponse{Index: 10, Epoch: "a", Snapshot: true}); got != Deferred {
		t.Errorf("the previous epoch: %d", got)
	}
	b = NewListState(30*time.Second, before)
	b.Apply(0, 9, empty)
	if got := b.Apply(30*time.Second, 0, empty); got != Changed || len(b.List().Endpoints) != 0 {
		t.Errorf("after the delay: %d", got)
	}
}

// TestFollowSkipsFailingReplicasAndCachesList follows the list with three addresses: the first refuses
// connections, the second responds with garbage and the third serves the list. After a restart the client
// begins with the cached list.
func TestFollowSkipsFailingReplicasAndCachesList(t *testing.T) {
	var failing atomic.Bool
	ok := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			http.Error(w, "no", http.StatusInternalServerError)
			return
		}
		if r.URL.Query().Get("from") != "" {
			<-r.Context().Done()
			return
		}
		besteffort.Encode(json.NewEncoder(w).Encode(registry.ListResponse{Index: 3, Epoch: "e", Snapshot: true, Endpoints: []registry.Endpoint{{Name: "s", Address: "a:1", Status: registry.Ready}}}))
	}))
	bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { besteffort.Output(w.Write([]byte("{"))) }))
	defer bad.Close()
	file := filepath.Join(t.TempDir(), "list")
	c := Config{Addresses: []string{"127.0.0.1:1", bad.Listener.Addr().String(), ok.Listener.Addr().String()}, CacheFile: file}
	k, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	changed, ended := k.Changed(), make(chan bool)
	go func() { k.Follow(ctx); close(ended) }()
	select {
	case <-changed:
	case <-time.After(enough):
		t.Fatal("no list arrives")
	}
	failing.Store(true)
	ok.CloseClientConnections()
	cancel()
	<-ended
	ok.Close()
	k.Close()
	again, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	if v, lastResponseAt := again.List(); v.Version != 3 || len(v.Endpoints) != 1 || !lastResponseAt.IsZero() {
		t.Errorf("the next start has %+v, last response at %v", v, lastResponseAt)
	}
}

// TestTruncatedCacheFileIsRejected truncates a cache file at every length: each is reported as damaged.
func TestTruncatedCacheFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := writeCache(path, List{Epoch: "e", Version: 3, Endpoints: []registry.Endpoint{{Name: "s"}}}); err != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range complete {
		if err := os.WriteFile(path, complete[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if v, err := readCache(path); err == nil {
			t.Fatalf("truncated after %d of %d bytes, the file is read as %+v", n, len(complete), v)
		}
	}
}

// TestRetriesAfterOutageAreSpread lets 300 clients lose the service at the same time. Their first calls after
// the outage are spread over the backoff that they have reached.
func TestRetriesAfterOutageAreSpread(t *testing.T) {
	const clients, bin = 300, 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	for _, outage := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		at := map[time.Duration]int{}
		for range clients {
			wait, now := watchBackoff(), time.Duration(0)
			for now < outage {
				now += wait.Next(rng.Int64N)
			}
			at[now/bin]++
			if now > outage+maxBackoff {
				t.Errorf("after an outage of %v a client retries only after %v", outage, now)
			}
		}
		for when, n := range at {
			if n > clients/4 {
				t.Errorf("after an outage of %v, %d of %d clients retry in the %v from %v on", outage, n, clients, bin, when*bin)
			}
		}
	}
}
