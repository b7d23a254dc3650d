package registry

// Parts of the list: which of its servers a node works with, and so has to know.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wrenspread/internal/splitmix"
)

// The width of a node's part. A node works with the servers that follow its place on the ring, reachLeast at
// least, and as many as let perServer nodes work with each: decide's reach. It holds reserve times as many, so
// that it goes on where most of them are ill and nobody can be asked, and partLeast at least, of which a node's
// own cost is small and chance leaves none without a zone.
const (
	perServer = 6
	reserve   = 4
	partLeast = 256
	groupHas  = 4 * 5 // ready servers that a part has of each group of classes: reserve times decide's least reach
	partMost  = 8192  // servers up to which a part grows for a group that is short: 1 MB to read
)

const (
	ring     = 1 << 16            // units of a part's ends
	leastArc = 4                  // units of the narrowest part
	mostArc  = ring / 4           // of the widest; beyond it is the whole list
	golden   = splitmix.Increment // 2^64 / math.Phi: places of consecutive numbers lie evenly, however many there are
	silver   = 0x6a09e667f3bcc909 // 2^64 * (math.Sqrt2 - 1): even, too, and of no relation to it
)

// Point is the place of a server on the ring: the same at every node, whatever the list.
func Point(name string) uint64 {
	h := uint32(2166136261) // FNV-1a, as of hash/fnv, without its allocation
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return splitmix.Mix(uint64(h))
}

// Place is the point of the ring from which the node of a number takes its servers.
func Place(self int) uint64 { return uint64(self) * golden }

// Part is an arc of the ring, in units of 2^-16 of it. Widths are powers of two, and an arc begins at a quarter of
// its width, so that nodes with places near each other have the same one. The zero Part is all of the list.
type Part struct{ From, Width uint16 }

// partAll is the text form of all of the list.
const partAll = "all"

// All tells whether it is all of the list.
func (p Part) All() bool { return p.Width == 0 }

func (p Part) String() string {
	if p.All() {
		return partAll
	}
	return fmt.Sprintf("%d-%d", p.From, p.Width)
}

// ParsePart reads the text form.
func ParsePart(s string) (Part, error) {
	if s == partAll {
		return Part{}, nil
	}
	first, second, _ := strings.Cut(s, "-")
	from, err := strconv.ParseUint(first, 10, 16)
	width, err2 := strconv.ParseUint(second, 10, 16)
	if err != nil || err2 != nil || width < leastArc || width > mostArc || width&(width-1) != 0 || from%(width/4) != 0 {
		return Part{}, fmt.Errorf("part: %q is neither %q nor FROM-WIDTH with a power of two from %d to %d and a multiple of its quarter",
			s[:min(len(s), 40)], partAll, leastArc, mostArc)
	}
	return Part{uint16(from), uint16(width)}, nil
}

// Holds tells whether a server at that point belongs to it.
func (p Part) Holds(point uint64) bool { return p.All() || uint16(point>>48)-p.From < p.Width }

// EachPart calls do with every part that holds a point, all of the list too: four of each width.
func EachPart(point uint64, do func(Part)) {
	do(Part{})
	at := uint16(point >> 48)
	for arc := uint16(leastArc); arc <= mostArc; arc *= 2 {
		step := arc / 4
		for k := range uint16(4) {
			do(Part{at/step*step - k*step, arc})
		}
	}
}

// Covers tells whether all that belongs to q belongs to it.
func (p Part) Covers(q Part) bool {
	return p.All() || !q.All() && int(q.From-p.From)+int(q.Width) <= int(p.Width)
}

func (p Part) arc() int {
	if p.All() {
		return ring
	}
	return int(p.Width)
}

// partAt is the part of an arc around a node's place: three quarters of it follow the place, at least.
func partAt(self, arc int) Part {
	if arc > mostArc {
		return Part{}
	}
	step := uint16(arc / 4)
	return Part{uint16(Place(self)>>48) / step * step, uint16(arc)}
}

// PartOf is the part that the node of a number needs where so many nodes work with a list of total servers. Two
// nodes that believe in other numbers have parts of other widths around the same place. The size at which a part's
// width doubles differs by half from node to node, so that no single server or node moves many parts.
func PartOf(self, nodes, total int) Part {
	if nodes <= 0 || total <= 0 {
		return Part{}
	}
	need := max(partLeast, reserve*perServer*float64(total)/float64(nodes))
	need *= 1 + float64(uint64(self)*silver>>33)/(1<<32)
	arc := leastArc
	for arc <= mostArc && float64(arc/4*3)*float64(total) < need*ring {
		arc *= 2
	}
	return partAt(self, arc)
}

// Group is a placement that classes of requests share: the zones and types of the servers open to them, all where nil.
type Group struct{ Zones, Types []string }

func (g Group) open(e Entry) bool {
	return (g.Zones == nil || slices.Contains(g.Zones, e.Zone)) && (g.Types == nil || slices.Contains(g.Types, e.Type))
}

// enough tells whether q, of which entries are all at least, has servers enough for each group.
func (q Part) enough(entries []Entry, groups []Group) bool {
	has := make([]int, len(groups))
	for _, e := range entries {
		if e.Status != Ready || !q.Holds(Point(e.Name)) {
			continue
		}
		for i, g := range groups {
			if g.open(e) {
				has[i]++
			}
		}
	}
	for i, g := range groups {
		empty := g.Zones != nil && len(g.Zones) == 0 || g.Types != nil && len(g.Types) == 0
		if has[i] < groupHas && !empty {
			return false
		}
	}
	return true
}

// Next is the part to follow for a node that has p, and these entries of it. It grows at once, and where a group
// is short of servers up to partMost; it shrinks only to under a quarter, so that nothing goes to and fro. Entries
// are nil where none are known yet.
func (p Part) Next(self, nodes, total int, entries []Entry, groups []Group) Part {
	next := PartOf(self, nodes, total)
	for entries != nil && p.Covers(next) && !next.All() && !next.enough(entries, groups) {
		wider := partAt(self, 2*next.arc())
		if wider.arc()*total > partMost*ring {
			break
		}
		next = wider
	}
	if p.Covers(next) && 4*next.arc() >= p.arc() {
		return p
	}
	return next
}
