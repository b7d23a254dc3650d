package quota

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"wrenspread/ratelimit"
)

// limit is one index of a table's limits as both ends share it out. For limits on concurrency, rate is the
// count that may be open and burst is 0.
type limit struct {
	hash           uint64 // of its name on the wire
	parent         int32  // -1: none
	attribute      ratelimit.Attribute
	concurrency    bool
	borrow         bool
	rate, burst    float64 // units a second, units
	floor          float64
	weight         float64
	fallbackRate   float64 // of all enrolled proxies together, at the smallest figures that the limit ever has
	fallbackTokens uint64  // whole ones
}

// maxPool keeps a slot's arithmetic within 64 bits.
const maxPool = 1 << 30

// limits are a table's, by the table's index.
type limits struct {
	table         *ratelimit.Table
	version       uint64
	rateReduction float64 // rates are lower by this part, so that no clock that runs fast makes more of them
	all           []limit
	byHash        map[uint64]int32
}

// newLimits takes a table that is ready.
func newLimits(t *ratelimit.Table, slow float64) *limits {
	n := &limits{table: t, rateReduction: 1 - slow, byHash: map[uint64]int32{}}
	if t == nil {
		return n
	}
	n.version = t.Version
	n.all = make([]limit, t.TokenSlots())
	for i := range t.Limits {
		n.all[i] = n.single(i)
	}
	for at := len(t.Limits); at < len(n.all); {
		of := t.LimitOf(at)
		for k := range max(t.Limits[of].KeySlots, 1) {
			l := n.all[of]
			l.parent, l.hash = -1, mix(l.hash, uint64(k))
			n.all[at+k] = l
		}
		at += max(t.Limits[of].KeySlots, 1)
	}
	for i := range n.all {
		if _, there := n.byHash[n.all[i].hash]; !there {
			n.byHash[n.all[i].hash] = int32(i)
		}
	}
	return n
}

func (n *limits) single(i int) limit {
	from, least := &n.table.Limits[i], n.table.Minimum(i)
	l := limit{
		hash: mix(0, 0, from.Name), parent: int32(from.Parent), attribute: from.Attribute,
		concurrency: from.Unit == ratelimit.UnitConcurrency, borrow: from.Borrow,
		rate: from.Rate, burst: from.Burst, floor: from.Floor, weight: from.Weight,
	}
	pool := least.Burst
	if l.concurrency {
		pool = least.Rate
	} else {
		l.rate, least.Rate = l.rate*n.rateReduction, least.Rate*n.rateReduction
	}
	l.fallbackTokens = uint64(min(max(from.FallbackShare*pool, 0), maxPool))
	if l.fallbackTokens > 0 {
		l.fallbackRate = from.FallbackShare * least.Rate
	}
	return l
}

// applySchedule sets the figures of a time of the wall clock, which the allocator alone does: a proxy's safe
// share is by the least.
func (n *limits) applySchedule(wall time.Time) {
	for i := range n.all {
		of := n.table.LimitOf(i)
		if i >= len(n.table.Limits) && len(n.table.Limits[of].Schedule) == 0 {
			continue
		}
		f := n.table.At(of, wall)
		if !n.all[i].concurrency {
			f.Rate *= n.rateReduction
		}
		n.all[i].rate, n.all[i].burst, n.all[i].floor = f.Rate, f.Burst, f.Floor
	}
}

// fallback is a slot's part of the limit without a lease. It is nothing where it holds no whole token, since
// a bucket that can't hold one never admits anything. For limits on concurrency the slot has to be older.
func (l *limit) fallback(s Slot, openToo bool) size {
	if l.fallbackTokens == 0 || s.Level == slotNone || l.concurrency && !openToo {
		return size{}
	}
	tokens := float64(s.tokens(l.fallbackTokens, l.hash))
	if l.concurrency {
		return size{rate: tokens}
	}
	return size{rate: l.fallbackRate * tokens / float64(l.fallbackTokens), burst: tokens}
}

// size is a share: units a second (or open at once), and the most that its bucket holds.
type size struct{ rate, burst float64 }

func (s size) max(o size) size { return size{max(s.rate, o.rate), max(s.burst, o.burst)} }

func (s size) plus(o size) size { return size{s.rate + o.rate, s.burst + o.burst} }

// down rounds to what the wire carries, never up.
func down(v float64) float64 {
	f := float32(max(v, 0))
	if float64(f) > v {
		f = math.Nextafter32(f, 0)
	}
	return float64(f)
}

func mix(a, b uint64, words ...string) uint64 {
	h := fnv.New64a()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:8], a)
	binary.BigEndian.PutUint64(n[8:], b)
	h.Write(n[:])
	for _, w := range words {
		h.Write([]byte(w))
	}
	v := h.Sum64() // its high bits turn slots, so they are mixed once more
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}
