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
	counts, n := make([]int, ringUnits), 0
	for i := range 2 * ringUnits {
		n += change[i]
		counts[i%ringUnits] += n
	}
	return counts
}

// subsetsOfFleet returns the subsets of all proxies of a fleet.
func subsetsOfFleet(proxies, total int) (subsets []Subset) {
	for proxyNumber := range proxies {
		subsets = append(subsets, SubsetOf(proxyNumber, proxies, total))
	}
	return subsets
}

// TestSubsetsCoverEveryEndpoint checks fleets and lists of drawn sizes: each endpoint is in the subsets of at
// least proxiesPerEndpoint proxies, and each subset contains the endpoints that its proxy uses and few more
// than it needs.
func TestSubsetsCoverEveryEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies, total := rapid.IntRange(1, 6000).Draw(t, "nodes"), rapid.IntRange(1, 70000).Draw(t, "total")
		subsets := subsetsOfFleet(proxies, total)
		if fewest := slices.Min(subsetsPerUnit(subsets)); fewest < min(proxies, proxiesPerEndpoint) {
			t.Fatalf("an endpoint is in only %d subsets", fewest)
		}
		usedWidth := float64(max(5, proxiesPerEndpoint*total/proxies)) / float64(total) * ringUnits // in ring units
		for proxyNumber, p := range subsets {
			if p.IsAll() {
				continue
			}
			start := StartPosition(proxyNumber) >> 48
			if end := float64(uint16(start)-p.Start) + 3*usedWidth; end > float64(p.Width) || !p.Contains(StartPosition(proxyNumber)) {
				t.Fatalf("subset %v of proxy %d at %d is less than three times as wide as the endpoints that it uses", p, proxyNumber, start)
			}
			if maxEndpoints := 4.01 * 1.5 * float64(max(minSubsetEndpoints, spareFactor*(proxiesPerEndpoint*total/proxies+1))); float64(p.Width)/ringUnits*float64(total) > maxEndpoints && p.Width > minWidth {
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
	for _, size := range []struct{ proxies, total int }{{300, 2000}, {2000, 13000}, {4300, 26000}, {4300, 54000}} {
		moved, maxMoved, steps := 0, 0, 2000
		before := subsetsOfFleet(size.proxies, size.total)
		for i := range steps {
			after := subsetsOfFleet(size.proxies, size.total+i+1)
			n := count(before, after)
			moved, maxMoved, before = moved+n, max(maxMoved, n), after
		}
		movedByProxy := count(subsetsOfFleet(size.proxies, size.total), subsetsOfFleet(size.proxies+1, size.total)[:size.proxies])
		t.Logf("%d proxies, %d endpoints: one more endpoint moves %.2f subsets on average, %d at most; one more proxy %d", size.proxies, size.total, float64(moved)/float64(steps), maxMoved, movedByProxy)
		if maxMoved > max(4, size.proxies/100) || movedByProxy > max(4, size.proxies/100) || moved > 2*size.proxies {
			t.Errorf("%d proxies, %d endpoints: one endpoint moves up to %d subsets, %d in all, one proxy %d", size.proxies, size.total, maxMoved, moved, movedByProxy)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, limit int) int { return rapid.IntRange(1, limit).Draw(t, name) }
		proxyNumber := draw("self", 6000)
		a, b := SubsetOf(proxyNumber, draw("nodes", 6000), draw("total", 70000)), SubsetOf(proxyNumber, draw("believed", 6000), draw("known", 70000))
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
	for proxyNumber, sizes := range [][2]int{{0, 0}, {-1, 9}, {9, -1}, {1, 1 << 40}, {1, 5}, {10, 75}, {4300, 300}, {64, 54000}} {
		if p := SubsetOf(proxyNumber, sizes[0], sizes[1]); !p.IsAll() {
			t.Errorf("%d proxies and %d endpoints: %v, want the complete list", sizes[0], sizes[1], p)
		}
	}
}

// fleet returns n endpoints spread over a number of zones.
func fleet(n, zones int) (endpoints []Endpoint) {
	for i := range n {
		endpoints = append(endpoints, Endpoint{Name: fmt.Sprint("s-", i), Address: "a:1", Zone: fmt.Sprint("z", i%zones), Type: "m", Status: Ready})
	}
	return endpoints
}

// settle calls Next repeatedly, as a client does, with a list that does not change, until Next returns the
// subset that it was called for.
func settle(t *testing.T, p Subset, proxyNumber, proxies int, list []Endpoint, placements []Placement) Subset {
	t.Helper()
	for range 20 {
		known := []Endpoint{} // not nil: the entries are known
		for _, e := range list {
			if p.Contains(Position(e.Name)) {
				known = append(known, e)
			}
		}
		next := p.Next(proxyNumber, proxies, len(list), known, placements)
		if next == p {
			return p
		}
		p = next
	}
	t.Fatalf("proxy %d does not settle, its last subset is %v", proxyNumber, p)
	return p
}

// TestNextSubsetSettles checks that Next settles on a subset that contains what the proxy needs: in a list
// that grows tenfold and shrinks again, after all endpoints of a subset are removed, and for placements with
// few endpoints.
func TestNextSubsetSettles(t *testing.T) {
	anyEndpoint := []Placement{{}}
	small, large := fleet(5400, 7), fleet(54000, 7)
	for proxyNumber := range 5 {
		p := settle(t, SubsetOf(proxyNumber, 4300, MaxEndpoints), proxyNumber, 4300, small, anyEndpoint)
		if !p.Covers(SubsetOf(proxyNumber, 4300, 5400)) {
			t.Errorf("proxy %d settles on %v", proxyNumber, p)
		}
		grown := settle(t, p, proxyNumber, 4300, large, anyEndpoint)
		if want := SubsetOf(proxyNumber, 4300, 54000); grown != want || want.IsAll() {
			t.Errorf("proxy %d settles on %v in a list ten times as large, want %v", proxyNumber, grown, want)
		}
		if shrunk := settle(t, grown, proxyNumber, 4300, small, anyEndpoint); shrunk != p {
			t.Errorf("proxy %d returns to %v, want %v", proxyNumber, shrunk, p)
		}
		if p.Next(proxyNumber, 4300, 5000, fleet(5000, 7), anyEndpoint) != p || p.Next(proxyNumber, 4300, 6000, fleet(6000, 7), anyEndpoint) != p {
			t.Errorf("proxy %d moves although the list changes by a tenth", proxyNumber)
		}
		remaining := slices.DeleteFunc(slices.Clone(large), func(e Endpoint) bool { return grown.Contains(Position(e.Name)) })
		if next := settle(t, grown, proxyNumber, 4300, remaining, anyEndpoint); next == grown || !next.Covers(grown) {
			t.Errorf("proxy %d whose endpoints were all removed has %v, want a wider subset", proxyNumber, next)
		}
		for _, c := range []struct {
			placements []Placement
			same       bool
		}{{[]Placement{{Zones: []string{"z3"}}}, true}, {[]Placement{{Zones: []string{}}, {Types: []string{}}}, true}, {nil, true}, {[]Placement{{Zones: []string{"z3"}, Types: []string{"rare"}}}, false}} {
			changed := slices.Clone(large)
			for i := range changed {
				if i%100 == 3 { // some endpoints of zone z3
					changed[i].Type = "rare"
				}
			}
			next := settle(t, grown, proxyNumber, 4300, changed, c.placements)
			if c.same != (next == grown) || next.IsAll() || float64(next.width())*54000 > maxSubsetEndpoints*ringUnits {
				t.Errorf("proxy %d with placements %+v goes from %v to %v", proxyNumber, c.placements, grown, next)
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
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
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
			width := 1 << rapid.IntRange(2, 14).Draw(t, "arc")
			p := Subset{uint16(rapid.IntRange(0, 4*ringUnits/width-1).Draw(t, "from") * width / 4), uint16(width)}
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
	for proxyNumber := range 10000 {
		want := math.Mod(float64(proxyNumber)*math.Phi, 1)
		if got := float64(StartPosition(proxyNumber)) / math.Exp2(64); math.Abs(got-want) > 1e-9 {
			t.Fatalf("proxy %d: %v, want %v", proxyNumber, got, want)
		}
	}
}
