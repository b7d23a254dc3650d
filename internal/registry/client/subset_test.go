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

// replica responds to reads as the service does or, if old is set, as a program that knows no subsets.
type replica struct {
	*registry.State
	old bool
}

func (r replica) respond(q listRead) (a registry.ListResponse, err error) {
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

// callTo makes one call as watch does. meanwhile runs between the request and the response.
func (k *Client) callTo(r replica, meanwhile func()) (Effect, listRead, error) {
	q := k.nextRead(time.Second)
	meanwhile()
	a, err := r.respond(q)
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

// drawSubset draws a subset, or the complete list.
func drawSubset(t *rapid.T, name string) registry.Subset {
	width := 1 << rapid.IntRange(11, 15).Draw(t, name)
	if width > 1<<14 {
		return registry.Subset{}
	}
	return registry.Subset{Start: uint16(rapid.IntRange(0, 1<<18/width-1).Draw(t, name+" from") * width / 4), Width: uint16(width)}
}

// endpointsIn returns the endpoints that belong to a subset.
func endpointsIn(p registry.Subset, endpoints []registry.Endpoint) []registry.Endpoint {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e registry.Endpoint) bool { return !p.Contains(registry.Position(e.Name)) })
}

// TestFollowedSubsetNeverGoesBackAndConverges changes the subset to follow, the list, its epoch, the replica
// and its program while calls are in progress. The known entries are always the entries of the subset in a
// list that the service had, never go back within an epoch, and become the present entries of the wanted
// subset.
func TestFollowedSubsetNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		history := map[string][]registry.Endpoint{}
		record := func() { history[fmt.Sprint(s.Epoch(), s.Version())] = s.Since(0).Endpoints }
		record()
		replicas := []replica{{s, false}}
		want := drawSubset(t, "part")
		k, err := New(Config{Addresses: []string{"a:1"}, DeferralDelay: time.Second, ChooseSubset: func(registry.Subset, int, []registry.Endpoint) registry.Subset { return want }})
		if err != nil {
			t.Fatal(err)
		}
		change := func(n int) {
			switch name := fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "name")); rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3:
				s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: name, Address: "a:1", Status: registry.Ready, Weight: float64(n)}})
			case 4:
				s.Apply(registry.Command{Op: registry.OpRemove, Name: name})
			case 5, 6:
				want = drawSubset(t, "part")
			case 7:
				replicas = append(replicas, replica{decodedCopy(t, s), rapid.Bool().Draw(t, "old program")})
			case 8:
				raw, err := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "copy")].EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, ReplacesEpoch: s.Epoch(), Epoch: fmt.Sprint("e", n+1), Snapshot: raw})
			}
			record()
		}
		call := func(r replica, meanwhile func()) {
			before, _ := k.List()
			effect, q, err := k.callTo(r, meanwhile)
			v, _ := k.List()
			if v.Epoch == before.Epoch && v.Version < before.Version {
				t.Fatalf("from version %d back to %d", before.Version, v.Version)
			}
			if served, ok := history[fmt.Sprint(v.Epoch, v.Version)]; v.Epoch != "" && (!ok || !reflect.DeepEqual(append([]registry.Endpoint{}, v.Endpoints...), endpointsIn(v.Subset, served))) {
				t.Fatalf("after request %v the known subset %v at %s %d is %v, the service had %v (%d, %v)", q, v.Subset, v.Epoch, v.Version, v.Endpoints, served, effect, err)
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k.start = k.start.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "calls") {
				meanwhile := func() {}
				if rapid.Bool().Draw(t, "change during the call") {
					meanwhile = func() { change(n) }
				}
				call(replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "at")], meanwhile)
			} else {
				change(n)
			}
		}
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: "last", Address: "a:1", Status: registry.Ready}})
		record()
		for range 8 {
			call(replica{s, false}, func() {})
			k.start = k.start.Add(-DefaultHold) // past the delays of deferred lists and moves
		}
		if v, _ := k.List(); v.Version != s.Version() || v.Epoch != s.Epoch() || v.Subset != want || v.Total != s.Len() {
			t.Fatalf("the client stays at subset %v at %s %d, want %v at %s %d", v.Subset, v.Epoch, v.Version, want, s.Epoch(), s.Version())
		}
	})
}

// fleetState returns a state with a number of endpoints.
func fleetState(t *testing.T, servers int) *registry.State {
	s := registry.NewState()
	s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	registerRange(s, 0, servers)
	return s
}

// registerRange registers the endpoints with numbers from from up to, but not including, to.
func registerRange(s *registry.State, from, to int) {
	for i := from; i < to; i++ {
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: fmt.Sprint("s-", i), Address: "a:1", Status: registry.Ready}})
	}
}

// newSubsetClient returns a client that follows the subset of the proxy with number self in a fleet of nodes
// proxies.
func newSubsetClient(t *testing.T, proxyNumber int, proxies *int, file string, onChange func(registry.ListResponse)) *Client {
	t.Helper()
	k, err := New(Config{Addresses: []string{"a:1"}, CacheFile: file, OnChange: onChange, ChooseSubset: func(p registry.Subset, total int, entries []registry.Endpoint) registry.Subset {
		return p.Next(proxyNumber, *proxies, total, entries, []registry.Placement{{}})
	}})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestFirstSubsetIsWideEnough checks that a client without a list accepts no subset that is too narrow. A
// client with a subset reads a wider subset while the first one stays in use, and continues to watch the
// first subset if the service rejects the read because it sends too many complete subsets.
func TestFirstSubsetIsWideEnough(t *testing.T) {
	for _, servers := range []int{1, 4, 75, 2000, 18000} {
		proxies, changes := 4300, 0
		s := replica{fleetState(t, servers), false}
		k := newSubsetClient(t, 7, &proxies, "", func(registry.ListResponse) { changes++ })
		bytes := 0
		for calls := 1; changes == 0; calls++ {
			if _, q, err := k.callTo(s, func() {}); err != nil || calls > 10 {
				t.Fatalf("%d endpoints: call %d is %+v: %v", servers, calls, q, err)
			} else {
				bytes += len(s.SubsetSince(q.subset, 0).Endpoints)
			}
		}
		v, _ := k.List()
		if want := registry.SubsetOf(7, proxies, servers); !v.Subset.Covers(want) || len(v.Endpoints) < min(servers, 100) || changes != 1 {
			t.Errorf("%d endpoints: the client accepts %v with %d of them, want %v", servers, v.Subset, len(v.Endpoints), want)
		}
		if bytes > 4*max(len(v.Endpoints), 1) {
			t.Errorf("%d endpoints: %d entries were read to get %d", servers, bytes, len(v.Endpoints))
		}
		if servers < 18000 {
			continue
		}
		proxies = 1000 // this proxy now assumes a smaller fleet, in which each proxy uses more endpoints
		if _, q, _ := k.callTo(s, func() {}); q.from == 0 {
			t.Errorf("the client moves at once: %+v", q)
		}
		k.start = k.start.Add(-DefaultHold)
		q := k.nextRead(time.Second)
		if q.from != 0 || !q.subset.Covers(registry.SubsetOf(7, 1000, servers)) || q.subset == v.Subset {
			t.Errorf("the client requests %+v", q)
		}
		if !k.deferMove(q, responseError(429, []byte(`{"code":"paced"}`))) || k.nextRead(time.Second).subset != v.Subset {
			t.Error("a client whose read was rejected does not watch its present subset")
		}
		registerRange(s.State, servers, servers+1000)
		if effect, _, err := k.callTo(s, func() {}); effect != Changed || err != nil {
			t.Errorf("the present subset gets no changes: %v, %v", effect, err)
		}
		registerRange(s.State, servers+1000, servers+2000)
		effect, _, err := k.callTo(replica{s.State, true}, func() {})
		if now, _ := k.List(); effect != Changed || err != nil || now.Subset != v.Subset || !slices.Equal(now.Endpoints, endpointsIn(v.Subset, s.Since(0).Endpoints)) {
			t.Errorf("from a replica without subsets the client accepts no changes, or others than its subset's: %v, %v", effect, err)
		}
	}
}
