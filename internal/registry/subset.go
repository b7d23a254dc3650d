package registry

// Subsets of the endpoint list: the endpoints that one proxy works with and therefore follows.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wrenspread/internal/splitmix"
)

// Bounds on the size of a proxy's subset. A proxy balances over the endpoints that follow its start position
// on the ring. The number of these endpoints is the balancer's subset size: large enough for
// proxiesPerEndpoint proxies to use each endpoint, and at least the balancer's smallest subset size. The
// proxy follows spareFactor times as many endpoints, so that it can continue to serve if most of them fail
// while the registry is unreachable. It follows at least minSubsetEndpoints endpoints: they cost a proxy
// little, and a zone is unlikely to have none of them.
const (
	proxiesPerEndpoint = 6
	spareFactor        = 4
	minSubsetEndpoints = 256
	// minPerPlacement is the number of ready endpoints that a subset must have for each placement of classes:
	// spareFactor times the balancer's smallest subset size.
	minPerPlacement = 4 * 5
	// maxSubsetEndpoints bounds the growth of a subset for a placement that has too few endpoints. The response
	// with that many endpoints has 1 MB.
	maxSubsetEndpoints = 8192
)

const (
	ringUnits = 1 << 16       // units of the ring in which subsets begin and end
	minWidth  = 4             // units of the narrowest subset
	maxWidth  = ringUnits / 4 // units of the widest subset; a wider one is the complete list
	// goldenRatioStep is 2^64 / math.Phi. Any number of consecutive multiples of it are spread evenly over the
	// ring.
	goldenRatioStep = splitmix.Increment
	// sqrt2Step is 2^64 * (math.Sqrt2 - 1). Its multiples are spread evenly as well, and are not correlated with
	// the multiples of goldenRatioStep.
	sqrt2Step = 0x6a09e667f3bcc909
)

// Position returns the position of an endpoint on the ring. It depends on the name alone, so it is the same
// at every proxy and for every list.
func Position(name string) uint64 {
	h := uint32(2166136261) // FNV-1a as in hash/fnv, but without an allocation
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return splitmix.Mix(uint64(h))
}

// StartPosition returns the position on the ring from which the proxy with a number takes its endpoints.
func StartPosition(proxyNumber int) uint64 { return uint64(proxyNumber) * goldenRatioStep }

// Subset is an arc of the ring, in units of 1/65536 of the ring. Widths are powers of two, and an arc begins
// at a multiple of a quarter of its width, so that proxies with nearby start positions share a subset. The
// zero value is the complete list.
type Subset struct{ Start, Width uint16 }

// allSubsets is the text form of the complete list.
const allSubsets = "all"

// IsAll reports whether the subset is the complete list.
func (p Subset) IsAll() bool { return p.Width == 0 }

// String returns the text form of a subset in requests and responses: its start and width, or the name of the
// complete list.
func (p Subset) String() string {
	if p.IsAll() {
		return allSubsets
	}
	return fmt.Sprintf("%d-%d", p.Start, p.Width)
}

// ParseSubset parses the text form that String returns.
func ParseSubset(s string) (Subset, error) {
	if s == allSubsets {
		return Subset{}, nil
	}
	startText, widthText, _ := strings.Cut(s, "-")
	start, err := strconv.ParseUint(startText, 10, 16)
	width, widthErr := strconv.ParseUint(widthText, 10, 16)
	if err != nil || widthErr != nil || width < minWidth || width > maxWidth || width&(width-1) != 0 ||
		start%(width/4) != 0 {
		return Subset{}, fmt.Errorf(
			"part: %q is neither %q nor FROM-WIDTH with a power of two from %d to %d and a multiple of its quarter",
			s[:min(len(s), 40)],
			allSubsets,
			minWidth,
			maxWidth,
		)
	}
	return Subset{uint16(start), uint16(width)}, nil
}

// Contains reports whether an endpoint at a position belongs to the subset.
func (p Subset) Contains(pos uint64) bool { return p.IsAll() || uint16(pos>>48)-p.Start < p.Width }

// EachSubset calls do with every subset that contains a position: the complete list and four of each width.
func EachSubset(position uint64, do func(Subset)) {
	do(Subset{})
	unit := uint16(position >> 48)
	for width := uint16(minWidth); width <= maxWidth; width *= 2 {
		step := width / 4
		for k := range uint16(4) {
			do(Subset{unit/step*step - k*step, width})
		}
	}
}

// Covers reports whether every endpoint of q belongs to p.
func (p Subset) Covers(q Subset) bool {
	return p.IsAll() || !q.IsAll() && int(q.Start-p.Start)+int(q.Width) <= int(p.Width)
}

// width returns the width in ring units; it is ringUnits for the complete list.
func (p Subset) width() int {
	if p.IsAll() {
		return ringUnits
	}
	return int(p.Width)
}

// subsetAt returns the subset of a width that contains a proxy's start position in its first quarter, so that
// at least three quarters of the subset follow the position.
func subsetAt(proxyNumber, width int) Subset {
	if width > maxWidth {
		return Subset{}
	}
	step := uint16(width / 4)
	return Subset{uint16(StartPosition(proxyNumber)>>48) / step * step, uint16(width)}
}

// SubsetOf returns the subset that a proxy needs in a fleet with a number of proxies and a list with a total
// number of endpoints. Other values of proxies or total change only the width of the subset. The list size at
// which the width doubles varies from proxy to proxy by a factor of up to two, so that one more endpoint or
// proxy does not change many subsets at once.
func SubsetOf(proxyNumber, proxies, total int) Subset {
	if proxies <= 0 || total <= 0 {
		return Subset{}
	}
	wanted := max(minSubsetEndpoints, spareFactor*proxiesPerEndpoint*float64(total)/float64(proxies))
	wanted *= 1 + float64(uint64(proxyNumber)*sqrt2Step>>33)/(1<<32)
	width := minWidth
	for width <= maxWidth && float64(width/4*3)*float64(total) < wanted*ringUnits {
		width *= 2
	}
	return subsetAt(proxyNumber, width)
}

// Placement lists the zones and types of the endpoints that classes of requests may use; nil allows all.
type Placement struct{ Zones, Types []string }

// allows reports whether the placement allows an endpoint.
func (g Placement) allows(e Endpoint) bool {
	return (g.Zones == nil || slices.Contains(g.Zones, e.Zone)) &&
		(g.Types == nil || slices.Contains(g.Types, e.Type))
}

// suffices reports whether p has minPerPlacement ready endpoints for each placement. entries must include all
// endpoints of p; others are ignored.
func (p Subset) suffices(entries []Endpoint, placements []Placement) bool {
	counts := make([]int, len(placements))
	for _, e := range entries {
		if e.Status != Ready || !p.Contains(Position(e.Name)) {
			continue
		}
		for i, placement := range placements {
			if placement.allows(e) {
				counts[i]++
			}
		}
	}
	for i, placement := range placements {
		empty := placement.Zones != nil && len(placement.Zones) == 0 ||
			placement.Types != nil && len(placement.Types) == 0
		if counts[i] < minPerPlacement && !empty {
			return false
		}
	}
	return true
}

// Next returns the subset to follow for a proxy that follows p. entries are the known entries of p, or nil if
// none are known yet. The returned subset is wider than p as soon as p is too narrow, and grows up to
// maxSubsetEndpoints if a placement has too few endpoints. It is narrower than p only if less than a quarter
// of p is enough, so that a proxy does not alternate between widths.
func (p Subset) Next(proxyNumber, proxies, total int, entries []Endpoint, placements []Placement) Subset {
	next := SubsetOf(proxyNumber, proxies, total)
	for entries != nil && p.Covers(next) && !next.IsAll() && !next.suffices(entries, placements) {
		wider := subsetAt(proxyNumber, 2*next.width())
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
