package registry

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// subsetsPerUnit counts for each unit of the ring the subsets that contain it.
func subsetsPerUnit(subsets []Subset) []int {
	change := make([]int, 2*ringUnits+1)
	for _, p := range subsets {
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

// subsetsOfFleet returns the subsets of all proxies of a fleet.
func subsetsOfFleet(nodes, total int) (all []Subset) {
	for self := range nodes {
		all = append(all, SubsetOf(self, nodes, total))
	}
	return all
}

// TestSubsetsCoverEveryEndpoint checks fleets and lists of drawn sizes: each endpoint is in the subsets of at
// least proxiesPerEndpoint proxies, and each subset contains the endpoints that its proxy uses and few more
// than it needs.
func TestSubsetsCoverEveryEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, total := rapid.IntRange(1, 6000).Draw(t, "nodes"), rapid.IntRange(1, 70000).Draw(t, "total")
		subsets := subsetsOfFleet(nodes, total)
		if fewest := slices.Min(subsetsPerUnit(subsets)); fewest < min(nodes, proxiesPerEndpoint) {
			t.Fatalf("an endpoint is in only %d subsets", fewest)
		}
		usedWidth := float64(max(5, proxiesPerEndpoint*total/nodes)) / float64(total) * ringUnits // in ring units
		for self, p := range subsets {
			if p.IsAll() {
				continue
			}
			start := StartPosition(self) >> 48
			if end := float64(uint16(start)-p.Start) + 3*usedWidth; end > float64(p.Width) || !p.Contains(StartPosition(self)) {
				t.Fatalf("subset %v of proxy %d at %d is less than three times as wide as the endpoints that it uses", p, self, start)
			}
			if maxEndpoints := 4.01 * 1.5 * float64(max(minSubsetEndpoints, spareFactor*(proxiesPerEndpoint*total/nodes+1))); float64(p.Width)/ringUnits*float64(total) > maxEndpoints && p.Width > minWidth {
				t.Fatalf("subset %v has %v endpoints, want at most %v", p, float64(p.Width)/ringUnits*float64(total), maxEndpoints)
			}
		}
	})
}

// TestFewSubsetsMoveWhenFleetChanges checks that one more endpoint or proxy changes few subsets, and that the
// subsets of one proxy for different sizes contain each other.
func TestFewSubsetsMoveWhenFleetChanges(t *testing.T) {
	count := func(a, b []Subset) (n int) {
		for i := range a {
			if a[i] != b[i] {
				n++
			}
		}
		return n
	}
	for _, size := range []struct{ nodes, total int }{{300, 2000}, {2000, 13000}, {4300, 26000}, {4300, 54000}} {
		moved, maxMoved, steps := 0, 0, 2000
		before := subsetsOfFleet(size.nodes, size.total)
		for i := range steps {
			after := subsetsOfFleet(size.nodes, size.total+i+1)
			n := count(before, after)
			moved, maxMoved, before = moved+n, max(maxMoved, n), after
		}
		byNode := count(subsetsOfFleet(size.nodes, size.total), subsetsOfFleet(size.nodes+1, size.total)[:size.nodes])
		t.Logf("%d proxies, %d endpoints: one more endpoint moves %.2f subsets on average, %d at most; one more proxy %d", size.nodes, size.total, float64(moved)/float64(steps), maxMoved, byNode)
		if maxMoved > max(4, size.nodes/100) || byNode > max(4, size.nodes/100) || moved > 2*size.nodes {
			t.Errorf("%d proxies, %d endpoints: one endpoint moves up to %d subsets, %d in all, one proxy %d", size.nodes, size.total, maxMoved, moved, byNode)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, limit int) int { return rapid.IntRange(1, limit).Draw(t, name) }
		self := draw("self", 6000)
		a, b := SubsetOf(self, draw("nodes", 6000), draw("total", 70000)), SubsetOf(self, draw("believed", 6000), draw("known", 70000))
		if !a.Covers(b) && !b.Covers(a) {
			t.Fatalf("neither of %v and %v contains the other", a, b)
		}
		point := rapid.Uint64().Draw(t, "point")
		if b.Covers(a) && a.Contains(point) && !b.Contains(point) {
			t.Fatalf("%v covers %v, but not %x", b, a, point)
		}
		if again, err := ParseSubset(a.String()); err != nil || again != a {
			t.Fatalf("%v is parsed as %v: %v", a, again, err)
		}
	})
}

// TestInvalidSubsetTextsAndFleetSizes checks that malformed texts are rejected, and that small or invalid
// sizes give the complete list.
func TestInvalidSubsetTextsAndFleetSizes(t *testing.T) {
	for _, s := range []string{"", "0", "-", "0-", "-4", "0-0", "0-2", "0-5", "0-32768", "1-1024", "65536-4", "0-4-4", "+0-4", "0x0-4", "all ", "ALL", "-1-4", "0-99999999999999999999"} {
		if p, err := ParseSubset(s); err == nil {
			t.Errorf("%q is parsed as %v", s, p)
		}
	}
	for self, sizes := range [][2]int{{0, 0}, {-1, 9}, {9, -1}, {1, 1 << 40}, {1, 5}, {10, 75}, {4300, 300}, {64, 54000}} {
		if p := SubsetOf(self, sizes[0], sizes[1]); !p.IsAll() {
			t.Errorf("%d proxies and %d endpoints: %v, want the complete list", sizes[0], sizes[1], p)
		}
	}
}

// fleet returns n endpoints spread over a number of zones.
func fleet(n, zones int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{Name: fmt.Sprint("s-", i), Address: "a:1", Zone: fmt.Sprint("z", i%zones), Type: "m", Status: Ready})
	}
	return all
}

// settle follows Next from a subset, as a client does, over a list that does not change, until the subset
// stays.
func settle(t *testing.T, p Subset, self, nodes int, list []Endpoint, groups []Placement) Subset {
	t.Helper()
	for range 20 {
		known := []Endpoint{} // not nil: the entries are known
		for _, e := range list {
			if p.Contains(Position(e.Name)) {
				known = append(known, e)
			}
		}
		next := p.Next(self, nodes, len(list), known, groups)
		if next == p {
			return p
		}
		p = next
	}
	t.Fatalf("proxy %d does not settle, its last subset is %v", self, p)
	return p
}

// TestNextSubsetSettles checks that Next settles on a subset that contains what the proxy needs: in a list
// that grows tenfold and shrinks again, after all endpoints of a subset are removed, and for placements with
// few endpoints.
func TestNextSubsetSettles(t *testing.T) {
	all := []Placement{{}}
	small, large := fleet(5400, 7), fleet(54000, 7)
	for self := range 5 {
		p := settle(t, SubsetOf(self, 4300, MaxEndpoints), self, 4300, small, all)
		if !p.Covers(SubsetOf(self, 4300, 5400)) {
			t.Errorf("proxy %d settles on %v", self, p)
		}
		grown := settle(t, p, self, 4300, large, all)
		if want := SubsetOf(self, 4300, 54000); grown != want || want.IsAll() {
			t.Errorf("proxy %d settles on %v in a list ten times as large, want %v", self, grown, want)
		}
		if back := settle(t, grown, self, 4300, small, all); back != p {
			t.Errorf("proxy %d returns to %v, want %v", self, back, p)
		}
		if p.Next(self, 4300, 5000, fleet(5000, 7), all) != p || p.Next(self, 4300, 6000, fleet(6000, 7), all) != p {
			t.Errorf("proxy %d moves although the list changes by a tenth", self)
		}
		gone := slices.DeleteFunc(slices.Clone(large), func(e Endpoint) bool { return grown.Contains(Position(e.Name)) })
		if next := settle(t, grown, self, 4300, gone, all); next == grown || !next.Covers(grown) {
			t.Errorf("proxy %d whose endpoints were all removed has %v, want a wider subset", self, next)
		}
		for _, c := range []struct {
			groups []Placement
			same   bool
		}{{[]Placement{{Zones: []string{"z3"}}}, true}, {[]Placement{{Zones: []string{}}, {Types: []string{}}}, true}, {nil, true}, {[]Placement{{Zones: []string{"z3"}, Types: []string{"rare"}}}, false}} {
			few := slices.Clone(large)
			for i := range few {
				if i%100 == 3 { // some endpoints of zone z3
					few[i].Type = "rare"
				}
			}
			next := settle(t, grown, self, 4300, few, c.groups)
			if c.same != (next == grown) || next.IsAll() || float64(next.width())*54000 > maxSubsetEndpoints*ringUnits {
				t.Errorf("proxy %d with placements %+v goes from %v to %v", self, c.groups, grown, next)
			}
		}
	}
}

// TestSubsetSinceMatchesFilteredList checks that the reader of a subset gets what the reader of the complete
// list gets, reduced to the subset's endpoints, over drawn changes, restores and snapshots.
func TestSubsetSinceMatchesFilteredList(t *testing.T) {
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
			complete := s.Since(from)
			want := slices.DeleteFunc(slices.Clone(complete.Endpoints), func(e Endpoint) bool { return !p.Contains(Position(e.Name)) })
			got := s.SubsetSince(p, from)
			if got.Index != complete.Index || got.Snapshot != complete.Snapshot || got.Epoch != complete.Epoch || !reflect.DeepEqual(got.Endpoints, want) {
				t.Fatalf("subset %v since %d: %+v, want %v of %+v", p, from, got, want, complete)
			}
			if newer := s.HasNewer(p, from); newer != (got.Snapshot && s.ListVersion() > from || !got.Snapshot && len(got.Endpoints) > 0) {
				t.Fatalf("subset %v since %d: HasNewer is %v for %+v", p, from, newer, got)
			}
			if changes, ok := s.ChangePositions(from); ok != (from >= s.trimmedVersion) || !complete.Snapshot && len(changes) != len(complete.Endpoints) {
				t.Fatalf("since %d: %d change positions, %v, of %+v", from, len(changes), ok, complete)
			}
		}
	})
}

// TestStartPositionsAreMultiplesOfGoldenRatio checks that the start position of a proxy is the fraction of
// the ring from which the balancer derives the proxy's first endpoint of a complete list.
func TestStartPositionsAreMultiplesOfGoldenRatio(t *testing.T) {
	for self := range 10000 {
		want := math.Mod(float64(self)*math.Phi, 1)
		if got := float64(StartPosition(self)) / math.Exp2(64); math.Abs(got-want) > 1e-9 {
			t.Fatalf("proxy %d: %v, want %v", self, got, want)
		}
	}
}
