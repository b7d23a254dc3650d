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

// TestReturnWithKeptPart: a node that comes back after an hour serves on the part that it kept, of whatever width, and
// is brought up by one whole part. A program that knows no parts takes such a file for a list of no version.
func TestReturnWithKeptPart(t *testing.T) {
	file, nodes := filepath.Join(t.TempDir(), "list"), 4300
	s := fleetState(t, 19000)
	k := partClient(t, 9, &nodes, file, nil)
	for _, err := k.View(); len(k.belief.entries) == 0; {
		if _, _, e := k.callTo(replica{s, false}, func() {}); e != nil {
			t.Fatal(e, err)
		}
	}
	had, _ := k.View()
	for i := range 11000 { // more than the service can tell by changes
		s.Apply(registry.Command{Do: registry.DoRegister, Entry: &registry.Entry{Name: fmt.Sprint("s-", i), Address: "b:1", Status: registry.Ready}})
	}
	nodes = 2000
	k = partClient(t, 9, &nodes, file, nil)
	if v, _ := k.View(); !reflect.DeepEqual(v, had) || v.Part.All() {
		t.Fatalf("it begins with %d of part %v, kept were %d of %v", len(v.Entries), v.Part, len(had.Entries), had.Part)
	}
	calls := 0
	for ; calls < 10 && !(k.belief.version == s.Version() && k.belief.part == k.move.to); calls++ {
		if _, _, err := k.callTo(replica{s, false}, func() {}); err != nil {
			t.Fatal(err)
		}
		k.start = k.start.Add(-DefaultHold)
	}
	v, _ := k.View()
	if !slices.Equal(v.Entries, inPart(v.Part, s.Since(0).Endpoints)) || !v.Part.Covers(registry.PartOf(9, 2000, 19000)) || calls > 3 {
		t.Errorf("after %d calls it has %d of part %v", calls, len(v.Entries), v.Part)
	}
	if err := save(file, had); err != nil {
		t.Fatal(err)
	}
	off, err := New(Config{Addresses: []string{"a:1"}, File: file})
	if err != nil {
		t.Fatal(err)
	}
	if q := off.ask(time.Second); q.from != 0 || !q.part.All() {
		t.Errorf("with the key taken away it asks for %+v", q)
	}
	if verdict, _, err := off.callTo(replica{s, true}, func() {}); verdict != Taken || err != nil || len(off.belief.entries) != 19000 {
		t.Errorf("with the key taken away it has %d: %v", len(off.belief.entries), err)
	}
	old := NewBelief(time.Second, View{Entries: had.Entries}) // what the file says to such a program
	if from, _ := old.Ask(); from != 0 {
		t.Errorf("a program of before goes on from %d", from)
	}
	if verdict := old.Take(0, 0, s.Since(0)); verdict != Taken || len(old.entries) != 19000 {
		t.Errorf("a program of before has %d entries: %v", len(old.entries), verdict)
	}
}
