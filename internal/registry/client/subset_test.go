package client

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wrenspread/internal/registry"
)

// replica answers as the service does, or as one of before that knows no parts.
type replica struct {
	*registry.State
	old bool
}

func (r replica) answer(q listRead) (a registry.ListResponse, err error) {
	if q.epoch != "" && q.epoch != r.Epoch() {
		q.from = 0
	}
	if q.from > r.Version() {
		return a, &Error{Status: 503, ErrorResponse: registry.ErrorResponse{Code: "behind"}}
	}
	if a = r.Since(q.from); !r.old {
		a = r.SubsetSince(q.subset, q.from)
		a.Subset, a.Total = q.subset.String(), r.Len()
	}
	return a, nil
}

// call makes one call as watch does; meanwhile happens between the question and the answer.
func (k *Client) callTo(r replica, meanwhile func()) (Change, listRead, error) {
	q := k.nextRead(time.Second)
	meanwhile()
	a, err := r.answer(q)
	if err == nil {
		err = q.matchSubset(&a)
	}
	if err == nil {
		err = isCompleteRead(a, q.from == 0)
	}
	switch {
	case err != nil && k.deferMove(q, err):
		return Unchanged, q, nil
	case err != nil:
		return Unchanged, q, err
	case k.widensSubset(q, a):
		return TooNarrow, q, nil
	}
	return k.apply(q.from, a), q, nil
}

func arcOf(t *rapid.T, name string) registry.Subset {
	arc := 1 << rapid.IntRange(11, 15).Draw(t, name)
	if arc > 1<<14 {
		return registry.Subset{}
	}
	return registry.Subset{Start: uint16(rapid.IntRange(0, 1<<18/arc-1).Draw(t, name+" from") * arc / 4), Width: uint16(arc)}
}

func inPart(p registry.Subset, all []registry.Endpoint) []registry.Endpoint {
	return slices.DeleteFunc(slices.Clone(all), func(e registry.Endpoint) bool { return !p.Contains(registry.Position(e.Name)) })
}

// TestFollowedPart: whatever changes while a call is out (the part to follow, the list, its epoch, the replica, the
// program that answers), what is believed is always that part of a list that was, never goes back, and reaches the
// present one of the part that is wanted.
func TestFollowedPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		were := map[string][]registry.Endpoint{}
		note := func() { were[fmt.Sprint(s.Epoch(), s.Version())] = s.Since(0).Endpoints }
		note()
		replicas := []replica{{s, false}}
		want := arcOf(t, "part")
		k, err := New(Config{Addresses: []string{"a:1"}, HoldBack: time.Second, ChooseSubset: func(registry.Subset, int, []registry.Endpoint) registry.Subset { return want }})
		if err != nil {
			t.Fatal(err)
		}
		happen := func(n int) {
			switch name := fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "name")); rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: name, Address: "a:1", Status: registry.Ready, Weight: float64(n)}})
			case 4:
				s.Apply(registry.Command{Op: registry.OpRemove, Name: name})
			case 5, 6:
				want = arcOf(t, "part")
			case 7:
				replicas = append(replicas, replica{copied(t, s), rapid.Bool().Draw(t, "old program")})
			case 8:
				raw, err := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "copy")].EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: s.Epoch(), Epoch: fmt.Sprint("e", n+1), Snapshot: raw})
			}
			note()
		}
		call := func(r replica, meanwhile func()) {
			before, _ := k.List()
			verdict, q, err := k.callTo(r, meanwhile)
			v, _ := k.List()
			if v.Epoch == before.Epoch && v.Version < before.Version {
				t.Fatalf("from version %d back to %d", before.Version, v.Version)
			}
			if all, ok := were[fmt.Sprint(v.Epoch, v.Version)]; v.Epoch != "" && (!ok || !reflect.DeepEqual(append([]registry.Endpoint{}, v.Endpoints...), inPart(v.Subset, all))) {
				t.Fatalf("asked for %v, it believes part %v at %s %d is %v, the list was %v (%d, %v)", q, v.Subset, v.Epoch, v.Version, v.Endpoints, all, verdict, err)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k.start = k.start.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "calls") {
				meanwhile := func() {}
				if rapid.Bool().Draw(t, "amid") {
					meanwhile = func() { happen(n) }
				}
				call(replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "at")], meanwhile)
			} else {
				happen(n)
			}
		}
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: "last", Address: "a:1", Status: registry.Ready}})
		note()
		for range 8 {
			call(replica{s, false}, func() {})
			k.start = k.start.Add(-DefaultHold) // past what is held back or put off
		}
		if v, _ := k.List(); v.Version != s.Version() || v.Epoch != s.Epoch() || v.Subset != want || v.Total != s.Len() {
			t.Fatalf("it stays at %v at %s %d, wanted are %v at %s %d", v.Subset, v.Epoch, v.Version, want, s.Epoch(), s.Version())
		}
	})
}

// fleetState is a list of so many servers, and a proxy's client of it.
func fleetState(t *testing.T, servers int) *registry.State {
	s := registry.NewState()
	s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	grow(s, 0, servers)
	return s
}

func grow(s *registry.State, from, to int) {
	for i := from; i < to; i++ {
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: fmt.Sprint("s-", i), Address: "a:1", Status: registry.Ready}})
	}
}

func partClient(t *testing.T, self int, nodes *int, file string, taken func(registry.ListResponse)) *Client {
	t.Helper()
	k, err := New(Config{Addresses: []string{"a:1"}, File: file, OnChange: taken, ChooseSubset: func(p registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
		return p.Next(self, *nodes, total, entries, []registry.Placement{{}})
	}})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestFirstPart: a client that knows nothing takes no list before it has a part that is wide enough. One that has a
// part reads a wider one while that stands, and goes on watching it where the service makes it wait.
func TestFirstPart(t *testing.T) {
	for _, servers := range []int{1, 4, 75, 2000, 18000} {
		nodes, took := 4300, 0
		s := replica{fleetState(t, servers), false}
		k := partClient(t, 7, &nodes, "", func(registry.ListResponse) { took++ })
		bytes := 0
		for calls := 1; took == 0; calls++ {
			if _, q, err := k.callTo(s, func() {}); err != nil || calls > 10 {
				t.Fatalf("%d servers: call %d is %+v: %v", servers, calls, q, err)
			} else {
				bytes += len(s.SubsetSince(q.subset, 0).Endpoints)
			}
		}
		v, _ := k.List()
		if want := registry.SubsetOf(7, nodes, servers); !v.Subset.Covers(want) || len(v.Endpoints) < min(servers, 100) || took != 1 {
			t.Errorf("%d servers: it takes %v with %d of them, wanted are %v", servers, v.Subset, len(v.Endpoints), want)
		}
		if bytes > 4*max(len(v.Endpoints), 1) {
			t.Errorf("%d servers: %d were read for %d", servers, bytes, len(v.Endpoints))
		}
		if servers < 18000 {
			continue
		}
		nodes = 1000 // this proxy now believes in a smaller fleet than others: each has more to do
		if _, q, _ := k.callTo(s, func() {}); q.from == 0 {
			t.Errorf("it moves with no answer: %+v", q)
		}
		k.start = k.start.Add(-DefaultHold)
		q := k.nextRead(time.Second)
		if q.from != 0 || !q.subset.Covers(registry.SubsetOf(7, 1000, servers)) || q.subset == v.Subset {
			t.Errorf("it asks for %+v", q)
		}
		if !k.deferMove(q, responseError(429, []byte(`{"code":"paced"}`))) || k.nextRead(time.Second).subset != v.Subset {
			t.Error("a paced client gives up watching what it has")
		}
		grow(s.State, servers, servers+1000)
		if verdict, _, err := k.callTo(s, func() {}); verdict != Changed || err != nil {
			t.Errorf("the part that stands gets no changes: %v, %v", verdict, err)
		}
		grow(s.State, servers+1000, servers+2000)
		verdict, _, err := k.callTo(replica{s.State, true}, func() {})
		if now, _ := k.List(); verdict != Changed || err != nil || now.Subset != v.Subset || !slices.Equal(now.Endpoints, inPart(v.Subset, s.Since(0).Endpoints)) {
			t.Errorf("of a replica of before it takes no changes, or not its part's: %v, %v", verdict, err)
		}
	}
}
