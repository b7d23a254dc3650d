package registry

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// covers counts for each unit of the ring the parts that hold it.
func covers(parts []Subset) []int {
	change := make([]int, 2*ringUnits+1)
	for _, p := range parts {
		change[p.Start]++
		change[int(p.Start)+p.width()]--
	}
	at, n := make([]int, ringUnits), 0
	for i := range 2 * ringUnits {
		n += change[i]
		at[i%ringUnits] += n
	}
	return at
}

func partsOf(nodes, total int) (all []Subset) {
	for self := range nodes {
		all = append(all, SubsetOf(self, nodes, total))
	}
	return all
}

// TestPartsCover: whatever the sizes, each server is in the parts of as many proxies as are to work with it; a
// proxy's part holds what it works with, and little more than it needs.
func TestPartsCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, total := rapid.IntRange(1, 6000).Draw(t, "nodes"), rapid.IntRange(1, 70000).Draw(t, "total")
		parts := partsOf(nodes, total)
		if least := slices.Min(covers(parts)); least < min(nodes, proxiesPerEndpoint) {
			t.Fatalf("a server is in %d parts", least)
		}
		works := float64(max(5, proxiesPerEndpoint*total/nodes)) / float64(total) * ringUnits // units
		for self, p := range parts {
			if p.IsAll() {
				continue
			}
			start := StartPosition(self) >> 48
			if end := float64(uint16(start)-p.Start) + 3*works; end > float64(p.Width) || !p.Contains(StartPosition(self)) {
				t.Fatalf("part %v of node %d at %d ends within three times of what it works with", p, self, start)
			}
			if most := 4.01 * 1.5 * float64(max(minSubsetEndpoints, spareFactor*(proxiesPerEndpoint*total/nodes+1))); float64(p.Width)/ringUnits*float64(total) > most && p.Width > minWidth {
				t.Fatalf("part %v has %v servers, want %v at most", p, float64(p.Width)/ringUnits*float64(total), most)
			}
		}
	})
}

// TestPartsMoveLittle: by one server or one proxy few parts change, and what other sizes make of a part holds it or is held by it.
func TestPartsMoveLittle(t *testing.T) {
	count := func(a, b []Subset) (n int) {
		for i := range a {
			if a[i] != b[i] {
				n++
			}
		}
		return n
	}
	for _, of := range []struct{ nodes, total int }{{300, 2000}, {2000, 13000}, {4300, 26000}, {4300, 54000}} {
		moved, most, steps := 0, 0, 2000
		before := partsOf(of.nodes, of.total)
		for i := range steps {
			after := partsOf(of.nodes, of.total+i+1)
			n := count(before, after)
			moved, most, before = moved+n, max(most, n), after
		}
		byNode := count(partsOf(of.nodes, of.total), partsOf(of.nodes+1, of.total)[:of.nodes])
		t.Logf("%d nodes, %d servers: one more server moves %.2f parts on average, %d at most; one more node %d", of.nodes, of.total, float64(moved)/float64(steps), most, byNode)
		if most > max(4, of.nodes/100) || byNode > max(4, of.nodes/100) || moved > 2*of.nodes {
			t.Errorf("%d nodes, %d servers: one server moves up to %d parts, %d in all, one node %d", of.nodes, of.total, most, moved, byNode)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		size := func(name string, most int) int { return rapid.IntRange(1, most).Draw(t, name) }
		self := size("self", 6000)
		a, b := SubsetOf(self, size("nodes", 6000), size("total", 70000)), SubsetOf(self, size("believed", 6000), size("known", 70000))
		if !a.Covers(b) && !b.Covers(a) {
			t.Fatalf("%v and %v overlap in part", a, b)
		}
		point := rapid.Uint64().Draw(t, "point")
		if b.Covers(a) && a.Contains(point) && !b.Contains(point) {
			t.Fatalf("%v covers %v, but not %x", b, a, point)
		}
		if again, err := ParseSubset(a.String()); err != nil || again != a {
			t.Fatalf("%v is read as %v: %v", a, again, err)
		}
	})
}

func TestOddParts(t *testing.T) {
	for _, s := range []string{"", "0", "-", "0-", "-4", "0-0", "0-2", "0-5", "0-32768", "1-1024", "65536-4", "0-4-4", "+0-4", "0x0-4", "all ", "ALL", "-1-4", "0-99999999999999999999"} {
		if p, err := ParseSubset(s); err == nil {
			t.Errorf("%q is read as %v", s, p)
		}
	}
	for self, sizes := range [][2]int{{0, 0}, {-1, 9}, {9, -1}, {1, 1 << 40}, {1, 5}, {10, 75}, {4300, 300}, {64, 54000}} {
		if p := SubsetOf(self, sizes[0], sizes[1]); !p.IsAll() {
			t.Errorf("%d nodes and %d servers: %v, want the whole list", sizes[0], sizes[1], p)
		}
	}
}

func fleet(n, zones int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{Name: fmt.Sprint("s-", i), Address: "a:1", Zone: fmt.Sprint("z", i%zones), Type: "m", Status: Ready})
	}
	return all
}

// settle follows Next from a part as a client does, in a list that stands still.
func settle(t *testing.T, p Subset, self, nodes int, list []Endpoint, groups []Placement) Subset {
	t.Helper()
	for range 20 {
		has := []Endpoint{} // none, but known
		for _, e := range list {
			if p.Contains(Position(e.Name)) {
				has = append(has, e)
			}
		}
		next := p.Next(self, nodes, len(list), has, groups)
		if next == p {
			return p
		}
		p = next
	}
	t.Fatalf("node %d goes on from part to part, %v is the last", self, p)
	return p
}

// TestNextPart: a fleet grows tenfold and shrinks again, a rack takes all of a part, and classes are bound to few
// servers. Each time the proxy settles, on a part that holds what it needs.
func TestNextPart(t *testing.T) {
	all := []Placement{{}}
	small, large := fleet(5400, 7), fleet(54000, 7)
	for self := range 5 {
		p := settle(t, SubsetOf(self, 4300, MaxEndpoints), self, 4300, small, all)
		if !p.Covers(SubsetOf(self, 4300, 5400)) {
			t.Errorf("node %d settles on %v", self, p)
		}
		grown := settle(t, p, self, 4300, large, all)
		if want := SubsetOf(self, 4300, 54000); grown != want || want.IsAll() {
			t.Errorf("node %d of a fleet ten times as large goes on with %v, want %v", self, grown, want)
		}
		if back := settle(t, grown, self, 4300, small, all); back != p {
			t.Errorf("node %d is back at %v, was at %v", self, back, p)
		}
		if p.Next(self, 4300, 5000, fleet(5000, 7), all) != p || p.Next(self, 4300, 6000, fleet(6000, 7), all) != p {
			t.Errorf("node %d moves for a tenth of the servers", self)
		}
		gone := slices.DeleteFunc(slices.Clone(large), func(e Endpoint) bool { return grown.Contains(Position(e.Name)) })
		if next := settle(t, grown, self, 4300, gone, all); next == grown || !next.Covers(grown) {
			t.Errorf("node %d whose servers all went stays at %v", self, next)
		}
		for _, c := range []struct {
			groups []Placement
			same   bool
		}{{[]Placement{{Zones: []string{"z3"}}}, true}, {[]Placement{{Zones: []string{}}, {Types: []string{}}}, true}, {nil, true}, {[]Placement{{Zones: []string{"z3"}, Types: []string{"rare"}}}, false}} {
			few := slices.Clone(large)
			for i := range few {
				if i%100 == 3 { // of z3 some
					few[i].Type = "rare"
				}
			}
			next := settle(t, grown, self, 4300, few, c.groups)
			if c.same != (next == grown) || next.IsAll() || float64(next.width())*54000 > maxSubsetEndpoints*ringUnits {
				t.Errorf("node %d with %+v goes from %v to %v", self, c.groups, grown, next)
			}
		}
	}
}

// TestPartSince: what a part's reader is told is what the list's reader is told, of its servers, over all that happens to a state.
func TestPartSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Op: OpBegin, Epoch: "e"})
		s.changes.capacity = 8
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("s", rapid.IntRange(0, 30).Draw(t, "name"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				s.Apply(Command{Op: OpRemove, Name: name})
			case 2:
				s.Apply(Command{Op: OpDrain, Name: name})
			case 3:
				raw, err := s.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				if rapid.Bool().Draw(t, "restored") {
					s.Apply(Command{Op: OpRestore, ReplacesEpoch: s.epoch, Epoch: s.epoch + "x", Snapshot: raw})
				} else if s, err = DecodeSnapshot(raw); err != nil {
					t.Fatal(err)
				}
				s.changes.capacity = max(8, s.changes.len())
			default:
				s.Apply(Command{Op: OpRegister, Endpoint: &Endpoint{Name: name, Address: "a:1", Status: Ready, Weight: rapid.Float64Range(0, 9).Draw(t, "weight")}})
			}
			arc := 1 << rapid.IntRange(2, 14).Draw(t, "arc")
			p := Subset{uint16(rapid.IntRange(0, 4*ringUnits/arc-1).Draw(t, "from") * arc / 4), uint16(arc)}
			from := max(s.version, 12) - uint64(rapid.IntRange(0, 12).Draw(t, "behind"))
			whole := s.Since(from)
			want := slices.DeleteFunc(slices.Clone(whole.Endpoints), func(e Endpoint) bool { return !p.Contains(Position(e.Name)) })
			got := s.SubsetSince(p, from)
			if got.Index != whole.Index || got.Snapshot != whole.Snapshot || got.Epoch != whole.Epoch || !reflect.DeepEqual(got.Endpoints, want) {
				t.Fatalf("part %v since %d: %+v, want %v of %+v", p, from, got, want, whole)
			}
			if newer := s.HasNewer(p, from); newer != (got.Snapshot && s.ListVersion() > from || !got.Snapshot && len(got.Endpoints) > 0) {
				t.Fatalf("part %v since %d: newer is %v for %+v", p, from, newer, got)
			}
			if moves, ok := s.ChangePositions(from); ok != (from >= s.trimmedVersion) || !whole.Snapshot && len(moves) != len(whole.Endpoints) {
				t.Fatalf("since %d %d moves, %v, of %+v", from, len(moves), ok, whole)
			}
		}
	})
}

// TestPlaces: the fraction of the ring is that of which decide makes a proxy's first server of a complete list.
func TestPlaces(t *testing.T) {
	for self := range 10000 {
		want := math.Mod(float64(self)*math.Phi, 1)
		if got := float64(StartPosition(self)) / math.Exp2(64); math.Abs(got-want) > 1e-9 {
			t.Fatalf("node %d: %v, want %v", self, got, want)
		}
	}
}
