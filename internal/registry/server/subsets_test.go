package server

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/registry"
)

// reader is a watcher of a subset with the entries that it has received.
type reader struct {
	query
	endpoints map[string]registry.Endpoint
	watcher   *watcher
}

// update applies the response for the reader's version and compares the reader's entries with the state.
func (r *reader) update(t rapid.TB, h *hub) (snapshot bool) {
	if _, epoch := h.current(); r.epoch != epoch {
		r.from = 0
	}
	head, entries, err := h.encodeResponse(r.query)
	var a registry.ListResponse
	if err == nil {
		err = json.Unmarshal(append(append(slices.Clone(head), entries...), '}'), &a)
	}
	if err != nil || a.Subset != r.subset.String() || a.Total != h.machine.state.Len() || a.Index != h.machine.state.Version() {
		t.Fatalf("subset %v since %d: %+v, %v", r.subset, r.from, a, err)
	}
	if a.Snapshot {
		clear(r.endpoints)
	}
	for _, e := range a.Endpoints {
		if r.endpoints[e.Name] = e; e.Status == registry.Removed {
			delete(r.endpoints, e.Name)
		}
	}
	r.from, r.epoch = a.Index, a.Epoch
	want := map[string]registry.Endpoint{}
	for _, i := range h.machine.state.Registrations() {
		if r.subset.Contains(registry.Position(i.Endpoint.Name)) {
			want[i.Endpoint.Name] = i.Endpoint
		}
	}
	if !maps.Equal(want, r.endpoints) {
		t.Fatalf("the reader of subset %v at %d has %v, want %v", r.subset, r.from, r.endpoints, want)
	}
	return a.Snapshot
}

// woken reports whether the reader's watcher has been woken.
func (r *reader) woken() bool {
	select {
	case <-r.watcher.wake:
		return true
	default:
		return false
	}
}

// watch registers a watcher. It updates the reader until there is nothing newer.
func (r *reader) watch(t rapid.TB, h *hub) {
	for r.watcher = nil; r.watcher == nil; r.watcher, _ = h.wait(r.subset, r.from, 1000) {
		r.update(t, h)
	}
}

// entry returns a ready endpoint.
func entry(name string, weight int) *registry.Endpoint {
	return &registry.Endpoint{Name: name, Address: "a:1", Status: registry.Ready, Weight: float64(weight)}
}

// TestChangeWakesOnlyAffectedSubsets checks that a change wakes the watchers of the subsets that contain its
// endpoint, and no others. Every reader always has the present entries of its subset, over restores and the
// ends of holds, whatever responses are cached.
func TestChangeWakesOnlyAffectedSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{state: registry.NewState()}
		h := newHub(m)
		m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
		h.publishList(m.state)
		var readers []*reader
		for i := range 12 {
			r := &reader{endpoints: map[string]registry.Endpoint{}, query: query{namesSubset: true}}
			if i > 1 {
				width := 1 << rapid.IntRange(10, 14).Draw(t, "arc")
				r.subset = registry.Subset{Start: uint16(rapid.IntRange(0, 1<<18/width-1).Draw(t, "from") * width / 4), Width: uint16(width)}
			}
			r.watch(t, h)
			readers = append(readers, r)
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name, affected := fmt.Sprint("s", rapid.IntRange(0, 30).Draw(t, "name")), func(registry.Subset) bool { return true }
			before := m.state.Version()
			switch operation := rapid.IntRange(0, 12).Draw(t, "what"); operation {
			case 0, 1, 2:
				do := []string{registry.OpRemove, registry.OpDrain, registry.OpPutRecord}[operation]
				m.state.Apply(registry.Command{Op: do, Name: name, Value: json.RawMessage(fmt.Sprint(n))})
				affected = func(p registry.Subset) bool {
					return do != registry.OpPutRecord && m.state.Version() > before && p.Contains(registry.Position(name))
				}
			case 3:
				raw, err := m.state.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				m.state.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: m.state.Epoch(), Epoch: fmt.Sprint("e", n), Snapshot: raw})
			case 4: // the hold of a watch ends
				r := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
				if r.from = h.leave(r.watcher); r.update(t, h) {
					t.Fatalf("the reader of subset %v gets a complete list at the end of its hold", r.subset)
				}
				r.watch(t, h)
				continue
			default:
				r := m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(name, n)})
				affected = func(p registry.Subset) bool { return r.Version > before && p.Contains(registry.Position(name)) }
			}
			h.publishList(m.state)
			for h.wakeNextBatch() {
			}
			for _, r := range readers {
				if r.woken() != affected(r.subset) {
					t.Fatalf("subset %v is woken: %v, by a change of %s", r.subset, r.woken(), name)
				}
				if r.woken() {
					r.from = h.leave(r.watcher)
					r.update(t, h)
					r.watch(t, h)
				}
			}
		}
		if h.watcherCount != len(readers) {
			t.Fatalf("%d watchers are counted, want %d", h.watcherCount, len(readers))
		}
	})
}

// TestQuietSubsetGetsChanges checks that the watchers of a subset that has not changed for long get only the
// subset's next change, not the complete subset, however many other changes there were. The response is
// encoded once for all of these watchers.
func TestQuietSubsetGetsChanges(t *testing.T) {
	m := &machine{state: registry.NewState()}
	h := newHub(m)
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	subset := registry.Subset{Start: uint16(registry.Position("quiet")>>48) / 16 * 16, Width: 64}
	var readers []*reader
	for i := range 20 {
		h.publishList(m.state)
		r := &reader{endpoints: map[string]registry.Endpoint{}, query: query{namesSubset: true, subset: subset}}
		r.watch(t, h)
		readers = append(readers, r)
		m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("before", i+1)})
	}
	for i := range 25000 {
		if name := fmt.Sprint("s", i%100); !subset.Contains(registry.Position(name)) {
			m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(name, i+1)})
			h.publishList(m.state)
		}
	}
	last := readers[0]
	if last.from = h.leave(last.watcher); last.update(t, h) {
		t.Error("the end of a hold brings a complete subset")
	}
	m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("quiet", 1)})
	h.publishList(m.state)
	for h.wakeNextBatch() {
	}
	for _, r := range readers[1:] {
		if !r.woken() {
			t.Fatal("a watcher is not woken")
		}
		if r.from = h.leave(r.watcher); r.update(t, h) {
			t.Error("a change brings a complete subset")
		}
	}
	if n := len(h.subsets[subset].responses); n != 1 {
		t.Errorf("%d responses were encoded for one change", n)
	}
	for i := range 5000 { // subsets without watchers
		h.subset(registry.Subset{Start: uint16(i) * 4, Width: 16})
	}
	if len(h.subsets) > 200 {
		t.Errorf("%d subsets without watchers are stored", len(h.subsets))
	}
}

// TestResponseNamesRequestedSubset checks that a reader that names a subset gets the name of the subset and
// the size of the complete list, and that the response to a reader that names no subset has neither field.
// Malformed subsets are rejected.
func TestResponseNamesRequestedSubset(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	var first registry.Endpoint
	for i := range 40 {
		name := fmt.Sprint("s", i)
		if status, body := register(t, url, name, ""); status != 200 {
			t.Fatal(status, body)
		}
	}
	_, complete := call(t, "GET", url+"/registry/instances", "")
	var a registry.ListResponse
	if err := json.Unmarshal([]byte(complete), &a); err != nil {
		t.Fatal(err)
	}
	first = a.Endpoints[0]
	if again, err := json.Marshal(a); err != nil || string(again) != complete || strings.Contains(complete, "part") || strings.Contains(complete, "total") {
		t.Errorf("a reader that names no subset gets %s", complete)
	}
	allSubsets := readList(t, url, "?part=all")
	if allSubsets.Subset != "all" || allSubsets.Total != 40 || !reflect.DeepEqual(allSubsets.Endpoints, a.Endpoints) || allSubsets.Index != a.Index {
		t.Errorf("the subset named all is %+v", allSubsets)
	}
	subset := registry.Subset{Start: uint16(registry.Position(first.Name)>>48) / 1024 * 1024, Width: 4096}
	response := readList(t, url, "?current=1&part="+subset.String())
	want := slices.DeleteFunc(slices.Clone(a.Endpoints), func(e registry.Endpoint) bool { return !subset.Contains(registry.Position(e.Name)) })
	if response.Subset != subset.String() || response.Total != 40 || !response.Snapshot || !reflect.DeepEqual(response.Endpoints, want) {
		t.Errorf("subset %v is %+v, want %v", subset, response, want)
	}
	call(t, "DELETE", url+"/registry/instances/"+first.Name, "")
	if changes := readList(t, url, fmt.Sprintf("?part=%v&from=%d&epoch=%s", subset, response.Index, response.Epoch)); changes.Snapshot || len(changes.Endpoints) != 1 ||
		changes.Endpoints[0].Status != registry.Removed || changes.Total != 39 {
		t.Errorf("the subset's changes are %+v", changes)
	}
	for _, odd := range []string{"", "0", "0-5", "1-1024", "70000-4", "all,all"} {
		if status, body := call(t, "GET", url+"/registry/instances?part="+odd, ""); status != 400 || !strings.Contains(body, "part:") {
			t.Errorf("subset %q: %d %s", odd, status, body)
		}
	}
}
