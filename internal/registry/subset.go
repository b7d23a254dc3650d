package registry

// Subsets of the endpoint list: which of its endpoints a proxy works with, and so has to know.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wrenspread/internal/splitmix"
)

// The width of a proxy's subset. A proxy works with the endpoints that follow its place on the ring, at least
// the balancer's smallest subset, and as many as let proxiesPerEndpoint proxies work with each: the
// balancer's subset size. It holds spareFactor times as many, so that it goes on where most of them are ill
// and nobody can be asked, and minSubsetEndpoints at least, of which a proxy's own cost is small and chance
// leaves none without a zone.
const (
	proxiesPerEndpoint = 6
	spareFactor        = 4
	minSubsetEndpoints = 256
	// ready endpoints that a subset has of each placement of classes: spareFactor times the balancer's smallest
	// subset size
	minPerPlacement    = 4 * 5
	maxSubsetEndpoints = 8192 // endpoints up to which a subset grows for a group that is short: 1 MB to read
)

const (
	ringUnits = 1 << 16       // units of a subset's ends
	minWidth  = 4             // units of the narrowest part
	maxWidth  = ringUnits / 4 // of the widest; beyond it is the complete list
	// 2^64 / math.Phi: places of consecutive numbers lie evenly, however many there are
	goldenStep = splitmix.Increment
	silverStep = 0x6a09e667f3bcc909 // 2^64 * (math.Sqrt2 - 1): even, too, and of no relation to it
)

// Position is the position of an endpoint on the ring: the same at every proxy, whatever the list.
func Position(name string) uint64 {
	h := uint32(2166136261) // FNV-1a, as of hash/fnv, without its allocation
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return splitmix.Mix(uint64(h))
}

// StartPosition is the point of the ring from which the proxy of a number takes its endpoints.
func StartPosition(self int) uint64 { return uint64(self) * goldenStep }

// Subset is an arc of the ring, in units of 2^-16 of it. Widths are powers of two, and an arc begins at a
// quarter of its width, so that proxies with places near each other have the same one. The zero subset is all
// of the list.
type Subset struct{ Start, Width uint16 }

// allSubsets is the text form of all of the list.
const allSubsets = "all"

// IsAll reports whether it is all of the list.
func (p Subset) IsAll() bool { return p.Width == 0 }

func (p Subset) String() string {
	if p.IsAll() {
		return allSubsets
	}
	return fmt.Sprintf("%d-%d", p.Start, p.Width)
}

// ParseSubset reads the text form.
func ParseSubset(s string) (Subset, error) {
	if s == allSubsets {
		return Subset{}, nil
	}
	first, second, _ := strings.Cut(s, "-")
	from, err := strconv.ParseUint(first, 10, 16)
	width, err2 := strconv.ParseUint(second, 10, 16)
	if err != nil || err2 != nil || width < minWidth || width > maxWidth || width&(width-1) != 0 ||
		from%(width/4) != 0 {
		return Subset{}, fmt.Errorf(
			"part: %q is neither %q nor FROM-WIDTH with a power of two from %d to %d and a multiple of its quarter",
			s[:min(len(s), 40)],
			allSubsets,
			minWidth,
			maxWidth,
		)
	}
	return Subset{uint16(from), uint16(width)}, nil
}

// Contains reports whether a server at that point belongs to it.
func (p Subset) Contains(point uint64) bool { return p.IsAll() || uint16(point>>48)-p.Start < p.Width }

// EachSubset calls do with every subset that holds a point, all of the list too: four of each width.
func EachSubset(point uint64, do func(Subset)) {
	do(Subset{})
	at := uint16(point >> 48)
	for arc := uint16(minWidth); arc <= maxWidth; arc *= 2 {
		step := arc / 4
		for k := range uint16(4) {
			do(Subset{at/step*step - k*step, arc})
		}
	}
}

// Covers reports whether all that belongs to q belongs to it.
func (p Subset) Covers(q Subset) bool {
	return p.IsAll() || !q.IsAll() && int(q.Start-p.Start)+int(q.Width) <= int(p.Width)
}

func (p Subset) width() int {
	if p.IsAll() {
		return ringUnits
	}
	return int(p.Width)
}

// subsetAt is the subset of an arc around a proxy's place: three quarters of it follow the place, at least.
func subsetAt(self, arc int) Subset {
	if arc > maxWidth {
		return Subset{}
	}
	step := uint16(arc / 4)
	return Subset{uint16(StartPosition(self)>>48) / step * step, uint16(arc)}
}

// SubsetOf is the subset that the proxy of a number needs where so many proxies work with a list of total
// endpoints. Two proxies that believe in other numbers have subsets of other widths around the same place.
// The size at which a subset's width doubles differs by half from proxy to proxy, so that no single server or
// proxy moves many subsets.
func SubsetOf(self, nodes, total int) Subset {
	if nodes <= 0 || total <= 0 {
		return Subset{}
	}
	need := max(minSubsetEndpoints, spareFactor*proxiesPerEndpoint*float64(total)/float64(nodes))
	need *= 1 + float64(uint64(self)*silverStep>>33)/(1<<32)
	arc := minWidth
	for arc <= maxWidth && float64(arc/4*3)*float64(total) < need*ringUnits {
		arc *= 2
	}
	return subsetAt(self, arc)
}

// Placement is a placement that classes of requests share: the zones and types of the endpoints open to them,
// all where nil.
type Placement struct{ Zones, Types []string }

func (g Placement) allows(e Endpoint) bool {
	return (g.Zones == nil || slices.Contains(g.Zones, e.Zone)) &&
		(g.Types == nil || slices.Contains(g.Types, e.Type))
}

// suffices reports whether p, of which entries are all at least, has endpoints enough for each group.
func (p Subset) suffices(entries []Endpoint, groups []Placement) bool {
	has := make([]int, len(groups))
	for _, e := range entries {
		if e.Status != Ready || !p.Contains(Position(e.Name)) {
			continue
		}
		for i, g := range groups {
			if g.allows(e) {
				has[i]++
			}
		}
	}
	for i, g := range groups {
		empty := g.Zones != nil && len(g.Zones) == 0 || g.Types != nil && len(g.Types) == 0
		if has[i] < minPerPlacement && !empty {
			return false
		}
	}
	return true
}

// Next is the subset to follow for a proxy that has p, and these entries of it. It grows at once, and where a
// group is short of endpoints up to maxSubsetEndpoints; it shrinks only to under a quarter, so that nothing
// goes to and fro. Entries are nil where none are known yet.
func (p Subset) Next(self, nodes, total int, entries []Endpoint, groups []Placement) Subset {
	next := SubsetOf(self, nodes, total)
	for entries != nil && p.Covers(next) && !next.IsAll() && !next.suffices(entries, groups) {
		wider := subsetAt(self, 2*next.width())
		if wider.width()*total > maxSubsetEndpoints*ringUnits {
			break
		}
		next = wider
	}
	if p.Covers(next) && 4*next.width() >= p.width() {
		return p
	}
	return next
}
