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

// reader is what a watcher of a part has been told.
type reader struct {
	query
	has map[string]registry.Endpoint
	w   *watcher
}

// look takes the answer to what the reader has.
func (r *reader) look(t rapid.TB, h *hub) (snapshot bool) {
	if _, epoch := h.current(); r.epoch != epoch {
		r.from = 0
	}
	head, entries, err := h.answer(r.query)
	var a registry.ListResponse
	if err == nil {
		err = json.Unmarshal(append(append(slices.Clone(head), entries...), '}'), &a)
	}
	if err != nil || a.Subset != r.subset.String() || a.Total != h.machine.state.Len() || a.Index != h.machine.state.Version() {
		t.Fatalf("part %v since %d: %+v, %v", r.subset, r.from, a, err)
	}
	if a.Snapshot {
		clear(r.has)
	}
	for _, e := range a.Endpoints {
		if r.has[e.Name] = e; e.Status == registry.Removed {
			delete(r.has, e.Name)
		}
	}
	r.from, r.epoch = a.Index, a.Epoch
	want := map[string]registry.Endpoint{}
	for _, i := range h.machine.state.Registrations() {
		if r.subset.Contains(registry.Position(i.Endpoint.Name)) {
			want[i.Endpoint.Name] = i.Endpoint
		}
	}
	if !maps.Equal(want, r.has) {
		t.Fatalf("part %v at %d has %v, want %v", r.subset, r.from, r.has, want)
	}
	return a.Snapshot
}

func (r *reader) woken() bool {
	select {
	case <-r.w.wake:
		return true
	default:
		return false
	}
}

// watch has the reader wait, or look until it may.
func (r *reader) watch(t rapid.TB, h *hub) {
	for r.w = nil; r.w == nil; r.w, _ = h.wait(r.subset, r.from, 1000) {
		r.look(t, h)
	}
}

func entry(name string, weight int) *registry.Endpoint {
	return &registry.Endpoint{Name: name, Address: "a:1", Status: registry.Ready, Weight: float64(weight)}
}

// TestWakesThoseConcerned: a change wakes the watchers of the parts that hold its server, and no others. All have at
// each time what their part has, over restores, snapshots of other replicas and ends of holds, with whatever is kept encoded.
func TestWakesThoseConcerned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{state: registry.NewState()}
		h := newHub(m)
		m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
		h.publishList(m.state)
		var readers []*reader
		for i := range 12 {
			r := &reader{has: map[string]registry.Endpoint{}, query: query{namesSubset: true}}
			if i > 1 {
				arc := 1 << rapid.IntRange(10, 14).Draw(t, "arc")
				r.subset = registry.Subset{Start: uint16(rapid.IntRange(0, 1<<18/arc-1).Draw(t, "from") * arc / 4), Width: uint16(arc)}
			}
			r.watch(t, h)
			readers = append(readers, r)
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name, concerned := fmt.Sprint("s", rapid.IntRange(0, 30).Draw(t, "name")), func(registry.Subset) bool { return true }
			before := m.state.Version()
			switch what := rapid.IntRange(0, 12).Draw(t, "what"); what {
			case 0, 1, 2:
				do := []string{registry.OpRemove, registry.OpDrain, registry.OpPutRecord}[what]
				m.state.Apply(registry.Command{Op: do, Name: name, Value: json.RawMessage(fmt.Sprint(n))})
				concerned = func(p registry.Subset) bool {
					return do != registry.OpPutRecord && m.state.Version() > before && p.Contains(registry.Position(name))
				}
			case 3:
				raw, err := m.state.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				m.state.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: m.state.Epoch(), Epoch: fmt.Sprint("e", n), Snapshot: raw})
			case 4: // a hold ends
				r := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
				if r.from = h.leave(r.w); r.look(t, h) {
					t.Fatalf("part %v gets a whole list at the end of its hold", r.subset)
				}
				r.watch(t, h)
				continue
			default:
				r := m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(name, n)})
				concerned = func(p registry.Subset) bool { return r.Version > before && p.Contains(registry.Position(name)) }
			}
			h.publishList(m.state)
			for h.wakeSome() {
			}
			for _, r := range readers {
				if r.woken() != concerned(r.subset) {
					t.Fatalf("part %v is woken: %v, by %s", r.subset, r.woken(), name)
				}
				if r.woken() {
					r.from = h.leave(r.w)
					r.look(t, h)
					r.watch(t, h)
				}
			}
		}
		if h.watcherCount != len(readers) {
			t.Fatalf("%d are held, want %d", h.watcherCount, len(readers))
		}
	})
}

// TestQuietPart: however much happens elsewhere, and however long ago its last change is, a watcher is told what is
// new in its part, by changes, once for all who watch it.
func TestQuietPart(t *testing.T) {
	m := &machine{state: registry.NewState()}
	h := newHub(m)
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	part := registry.Subset{Start: uint16(registry.Position("quiet")>>48) / 16 * 16, Width: 64}
	var readers []*reader
	for i := range 20 {
		h.publishList(m.state)
		r := &reader{has: map[string]registry.Endpoint{}, query: query{namesSubset: true, subset: part}}
		r.watch(t, h)
		readers = append(readers, r)
		m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("before", i+1)})
	}
	for i := range 25000 {
		if name := fmt.Sprint("s", i%100); !part.Contains(registry.Position(name)) {
			m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(name, i+1)})
			h.publishList(m.state)
		}
	}
	last := readers[0]
	if last.from = h.leave(last.w); last.look(t, h) {
		t.Error("the end of a hold brings a whole part")
	}
	m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry("quiet", 1)})
	h.publishList(m.state)
	for h.wakeSome() {
	}
	for _, r := range readers[1:] {
		if !r.woken() {
			t.Fatal("a watcher is not woken")
		}
		if r.from = h.leave(r.w); r.look(t, h) {
			t.Error("a change brings a whole part")
		}
	}
	if n := len(h.subsets[part].answers); n != 1 {
		t.Errorf("%d answers were made for one change", n)
	}
	for i := range 5000 { // parts come and go
		h.subset(registry.Subset{Start: uint16(i) * 4, Width: 16})
	}
	if len(h.subsets) > 200 {
		t.Errorf("%d parts are remembered that nobody watches", len(h.subsets))
	}
}

// TestPartsOverHTTP: a reader that names a part hears which it is and how many there are in all; one that names none
// gets what it always got, byte for byte; odd parts are refused.
func TestPartsOverHTTP(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	var first registry.Endpoint
	for i := range 40 {
		name := fmt.Sprint("s", i)
		if status, body := put(t, url, name, ""); status != 200 {
			t.Fatal(status, body)
		}
	}
	_, whole := call(t, "GET", url+"/registry/instances", "")
	var a registry.ListResponse
	if err := json.Unmarshal([]byte(whole), &a); err != nil {
		t.Fatal(err)
	}
	first = a.Endpoints[0]
	if again, err := json.Marshal(a); err != nil || string(again) != whole || strings.Contains(whole, "part") || strings.Contains(whole, "total") {
		t.Errorf("a reader that names no part gets %s", whole)
	}
	all := read(t, url, "?part=all")
	if all.Subset != "all" || all.Total != 40 || !reflect.DeepEqual(all.Endpoints, a.Endpoints) || all.Index != a.Index {
		t.Errorf("all, by that name, is %+v", all)
	}
	part := registry.Subset{Start: uint16(registry.Position(first.Name)>>48) / 1024 * 1024, Width: 4096}
	some := read(t, url, "?current=1&part="+part.String())
	want := slices.DeleteFunc(slices.Clone(a.Endpoints), func(e registry.Endpoint) bool { return !part.Contains(registry.Position(e.Name)) })
	if some.Subset != part.String() || some.Total != 40 || !some.Snapshot || !reflect.DeepEqual(some.Endpoints, want) {
		t.Errorf("part %v is %+v, want %v", part, some, want)
	}
	call(t, "DELETE", url+"/registry/instances/"+first.Name, "")
	if changes := read(t, url, fmt.Sprintf("?part=%v&from=%d&epoch=%s", part, some.Index, some.Epoch)); changes.Snapshot || len(changes.Endpoints) != 1 ||
		changes.Endpoints[0].Status != registry.Removed || changes.Total != 39 {
		t.Errorf("the part's changes are %+v", changes)
	}
	for _, odd := range []string{"", "0", "0-5", "1-1024", "70000-4", "all,all"} {
		if status, body := call(t, "GET", url+"/registry/instances?part="+odd, ""); status != 400 || !strings.Contains(body, "part:") {
			t.Errorf("part %q: %d %s", odd, status, body)
		}
	}
}
