package client

import (
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// TestCachedSubsetIsUsedAfterRestart restarts a client after an hour, with another fleet size. The client
// begins with the cached subset, of whatever width, and reads one complete subset to become current. A
// program that knows no subsets reads the cache file as a list without a version.
func TestCachedSubsetIsUsedAfterRestart(t *testing.T) {
	file, proxies := filepath.Join(t.TempDir(), "list"), 4300
	s := fleetState(t, 19000)
	k := newSubsetClient(t, 9, &proxies, file, nil)
	for _, err := k.List(); len(k.list.endpoints) == 0; {
		if _, _, e := k.callTo(replica{s, false}, func() {}); e != nil {
			t.Fatal(e, err)
		}
	}
	cached, _ := k.List()
	for i := range 11000 { // more changes than the service retains
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: fmt.Sprint("s-", i), Address: "b:1", Status: registry.Ready}})
	}
	proxies = 2000
	k = newSubsetClient(t, 9, &proxies, file, nil)
	if v, _ := k.List(); !reflect.DeepEqual(v, cached) || v.Subset.IsAll() {
		t.Fatalf("the client begins with %d entries of subset %v, cached were %d of %v", len(v.Endpoints), v.Subset, len(cached.Endpoints), cached.Subset)
	}
	calls := 0
	for ; calls < 10 && (k.list.version != s.Version() || k.list.subset != k.pendingMove.target); calls++ {
		if _, _, err := k.callTo(replica{s, false}, func() {}); err != nil {
			t.Fatal(err)
		}
		k.start = k.start.Add(-DefaultHold)
	}
	v, _ := k.List()
	if !slices.Equal(v.Endpoints, endpointsIn(v.Subset, s.Since(0).Endpoints)) || !v.Subset.Covers(registry.SubsetOf(9, 2000, 19000)) || calls > 3 {
		t.Errorf("after %d calls the client has %d entries of subset %v", calls, len(v.Endpoints), v.Subset)
	}
	if err := writeCache(file, cached); err != nil {
		t.Fatal(err)
	}
	withoutSubsets, err := New(Config{Addresses: []string{"a:1"}, CacheFile: file})
	if err != nil {
		t.Fatal(err)
	}
	if q := withoutSubsets.nextRead(time.Second); q.from != 0 || !q.subset.IsAll() {
		t.Errorf("without ChooseSubset the client requests %+v", q)
	}
	if effect, _, err := withoutSubsets.callTo(replica{s, true}, func() {}); effect != Changed || err != nil || len(withoutSubsets.list.endpoints) != 19000 {
		t.Errorf("without ChooseSubset the client has %d entries: %v", len(withoutSubsets.list.endpoints), err)
	}
	old := NewListState(time.Second, List{Endpoints: cached.Endpoints}) // the file as a program without subsets reads it
	if from, _ := old.Next(); from != 0 {
		t.Errorf("a program without subsets continues from version %d", from)
	}
	if effect := old.Apply(0, 0, s.Since(0)); effect != Changed || len(old.endpoints) != 19000 {
		t.Errorf("a program without subsets has %d entries: %v", len(old.endpoints), effect)
	}
}
