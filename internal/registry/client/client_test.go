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

// TestBelief: whatever replica answers, up to date or lagging, a belief never
// goes back, is always a list that was, and reaches the present one.
func TestBelief(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		were := map[string][]registry.Endpoint{} // the list at each epoch and version
		note := func() { were[fmt.Sprint(s.Epoch(), s.Version())] = s.Since(0).Endpoints }
		note()
		copies := []*registry.State{copied(t, s)} // replicas, as far as they are
		b := NewListState(time.Second, List{})
		var now time.Duration
		ask := func(of *registry.State) {
			from, epoch := b.Next()
			if epoch != of.Epoch() {
				from = 0
			}
			before := b.List()
			verdict := b.Apply(now, from, of.Since(from))
			v := b.List()
			if v.Epoch == before.Epoch && v.Version < before.Version {
				t.Fatalf("from version %d back to %d", before.Version, v.Version)
			}
			if want, ok := were[fmt.Sprint(v.Epoch, v.Version)]; v.Epoch != "" && (!ok || len(want)+len(v.Endpoints) > 0 && !reflect.DeepEqual(want, v.Endpoints)) {
				t.Fatalf("at %s %d it believes %v, the list was %v (%d)", v.Epoch, v.Version, v.Endpoints, want, verdict)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				e := registry.Endpoint{Name: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name")), Address: "a:1", Status: registry.Ready, Weight: float64(n)}
				s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &e})
				note()
			case 3:
				s.Apply(registry.Command{Op: registry.OpRemove, Name: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name"))})
				note()
			case 4:
				copies = append(copies, copied(t, s))
			case 5:
				raw, err := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")].EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, Epoch: fmt.Sprint("e", n+1), Snapshot: raw})
				note()
			case 6, 7:
				ask(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			default:
				ask(s)
			}
		}
		for range 4 {
			ask(s)
			now += 2 * time.Second // past what is held back
		}
		if v := b.List(); v.Version != s.Version() || v.Epoch != s.Epoch() {
			t.Fatalf("it stays at %s %d, the list is at %s %d", v.Epoch, v.Version, s.Epoch(), s.Version())
		}
	})
}

func copied(t *rapid.T, s *registry.State) *registry.State {
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

// TestLostList: an epoch that begins anew is believed only after its time, and then the one before is no more.
func TestLostList(t *testing.T) {
	var before List
	before.Epoch, before.Version = "a", 9
	for i := range 6 {
		before.Endpoints = append(before.Endpoints, registry.Endpoint{Name: fmt.Sprint("s", i), Status: registry.Ready})
	}
	b := NewListState(30*time.Second, before)
	empty := registry.ListResponse{Index: 1, Epoch: "b", Snapshot: true}
	if got := b.Apply(0, 9, empty); got != HeldBack || len(b.List().Endpoints) != 6 {
		t.Errorf("at first: %d, with %d entries", got, len(b.List().Endpoints))
	}
	if got := b.Apply(29*time.Second, 0, empty); got != HeldBack {
		t.Errorf("before its time: %d", got)
	}
	full := registry.ListResponse{Index: 7, Epoch: "b", Snapshot: true, Endpoints: before.Endpoints}
	if got := b.Apply(30*time.Second, 0, full); got != Changed {
		t.Errorf("registered anew: %d", got)
	}
	if got := b.Apply(31*time.Second, 7, registry.ListResponse{Index: 10, Epoch: "a", Snapshot: true}); got != HeldBack {
		t.Errorf("the epoch before: %d", got)
	}
	b = NewListState(30*time.Second, before)
	b.Apply(0, 9, empty)
	if got := b.Apply(30*time.Second, 0, empty); got != Changed || len(b.List().Endpoints) != 0 {
		t.Errorf("after its time: %d", got)
	}
}

// TestFollow: over an address that refuses, one that fails and one that serves; the kept list is there at the next start.
func TestFollow(t *testing.T) {
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
	c := Config{Addresses: []string{"127.0.0.1:1", bad.Listener.Addr().String(), ok.Listener.Addr().String()}, File: file}
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
		t.Fatal("no list comes")
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
	if v, told := again.List(); v.Version != 3 || len(v.Endpoints) != 1 || !told.IsZero() {
		t.Errorf("the next start has %+v, told at %v", v, told)
	}
}

// TestCutFile: a kept list that is cut anywhere is told as damaged, never believed.
func TestCutFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := writeCache(path, List{Epoch: "e", Version: 3, Endpoints: []registry.Endpoint{{Name: "s"}}}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if err := os.WriteFile(path, whole[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if v, err := readCache(path); err == nil {
			t.Fatalf("cut after %d of %d bytes it gives %+v", n, len(whole), v)
		}
	}
}

// TestReturn: 300 clients that lost the service at one moment come back spread over the waits that they have by then.
func TestReturn(t *testing.T) {
	const clients, bin = 300, 100 * time.Millisecond
	chance := rand.New(rand.NewPCG(1, 1))
	for _, away := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		at := map[time.Duration]int{}
		for range clients {
			wait, now := watchBackoff(), time.Duration(0)
			for now < away {
				now += wait.Next(chance.Int64N)
			}
			at[now/bin]++
			if now > away+maxBackoff {
				t.Errorf("away for %v, one is back only after %v", away, now)
			}
		}
		for when, n := range at {
			if n > clients/4 {
				t.Errorf("away for %v: %d of %d come back in the %v from %v on", away, n, clients, bin, when*bin)
			}
		}
	}
}
