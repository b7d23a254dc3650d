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

// TestReturnWithKeptPart: a proxy that comes back after an hour serves on the part that it kept, of whatever width, and
// is brought up by one whole part. A program that knows no parts takes such a file for a list of no version.
func TestReturnWithKeptPart(t *testing.T) {
	file, nodes := filepath.Join(t.TempDir(), "list"), 4300
	s := fleetState(t, 19000)
	k := partClient(t, 9, &nodes, file, nil)
	for _, err := k.List(); len(k.list.endpoints) == 0; {
		if _, _, e := k.callTo(replica{s, false}, func() {}); e != nil {
			t.Fatal(e, err)
		}
	}
	had, _ := k.List()
	for i := range 11000 { // more than the service can tell by changes
		s.Apply(registry.Command{Op: registry.OpRegister, Endpoint: &registry.Endpoint{Name: fmt.Sprint("s-", i), Address: "b:1", Status: registry.Ready}})
	}
	nodes = 2000
	k = partClient(t, 9, &nodes, file, nil)
	if v, _ := k.List(); !reflect.DeepEqual(v, had) || v.Subset.IsAll() {
		t.Fatalf("it begins with %d of part %v, kept were %d of %v", len(v.Endpoints), v.Subset, len(had.Endpoints), had.Subset)
	}
	calls := 0
	for ; calls < 10 && (k.list.version != s.Version() || k.list.subset != k.pendingMove.target); calls++ {
		if _, _, err := k.callTo(replica{s, false}, func() {}); err != nil {
			t.Fatal(err)
		}
		k.start = k.start.Add(-DefaultHold)
	}
	v, _ := k.List()
	if !slices.Equal(v.Endpoints, inPart(v.Subset, s.Since(0).Endpoints)) || !v.Subset.Covers(registry.SubsetOf(9, 2000, 19000)) || calls > 3 {
		t.Errorf("after %d calls it has %d of part %v", calls, len(v.Endpoints), v.Subset)
	}
	if err := writeCache(file, had); err != nil {
		t.Fatal(err)
	}
	off, err := New(Config{Addresses: []string{"a:1"}, File: file})
	if err != nil {
		t.Fatal(err)
	}
	if q := off.nextRead(time.Second); q.from != 0 || !q.subset.IsAll() {
		t.Errorf("with the key taken away it asks for %+v", q)
	}
	if verdict, _, err := off.callTo(replica{s, true}, func() {}); verdict != Changed || err != nil || len(off.list.endpoints) != 19000 {
		t.Errorf("with the key taken away it has %d: %v", len(off.list.endpoints), err)
	}
	old := NewListState(time.Second, List{Endpoints: had.Endpoints}) // what the file says to such a program
	if from, _ := old.Next(); from != 0 {
		t.Errorf("a program of before goes on from %d", from)
	}
	if verdict := old.Apply(0, 0, s.Since(0)); verdict != Changed || len(old.endpoints) != 19000 {
		t.Errorf("a program of before has %d entries: %v", len(old.endpoints), verdict)
	}
}
