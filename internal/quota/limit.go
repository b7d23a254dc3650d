package quota

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"wrenspread/ratelimit"
)

// quotaLimit is one limit of a table, as proxies and allocator allocate it. For limits on concurrency, rate
// is the number of requests that may be in flight and burst is 0.
type quotaLimit struct {
	hash           uint64              // represents the limit's name on the wire
	parent         int32               // index of the next outer limit; -1 means none
	attribute      ratelimit.Attribute // attribute of the limit's scope
	concurrency    bool                // the limit is on requests in flight
	borrow         bool                // the limit may get more of its parent than its floor
	rate, burst    float64             // units a second, units
	floor          float64             // units a second that are guaranteed before siblings borrow
	weight         float64             // share, relative to siblings, of the parent's rate beyond the floors
	fallbackRate   float64             // of all fallback shares together, at the lowest scheduled values
	fallbackTokens uint64              // of all fallback shares together, at the lowest scheduled values
}

// maxPool bounds a limit's fallback tokens, so that the arithmetic of slots stays within 64 bits.
const maxPool = 1 << 30

// limits are the limits of a table. A limit's index is the one that ratelimit.Tokens uses: first come the
// table's limits, then an entry for each key slot of the limits that have key slots.
type limits struct {
	table      *ratelimit.Table
	version    uint64
	rateFactor float64 // reduces rates, so that a proxy with a fast clock does not exceed the limit
	byIndex    []quotaLimit
	byHash     map[uint64]int32 // index by quotaLimit.hash
}

// newLimits returns the limits of a finalized table, with rates reduced by drift. For a nil table there are
// no limits.
func newLimits(t *ratelimit.Table, drift float64) *limits {
	result := &limits{table: t, rateFactor: 1 - drift, byHash: map[uint64]int32{}}
	if t == nil {
		return result
	}
	result.version = t.Version
	result.byIndex = make([]quotaLimit, t.TokenSlots())
	for i := range t.Limits {
		result.byIndex[i] = result.newLimit(i)
	}
	for at := len(t.Limits); at < len(result.byIndex); {
		limitIndex := t.LimitOfSlot(at)
		for k := range max(t.Limits[limitIndex].KeySlots, 1) {
			limit := result.byIndex[limitIndex]
			limit.parent, limit.hash = -1, mixHash(limit.hash, uint64(k))
			result.byIndex[at+k] = limit
		}
		at += max(t.Limits[limitIndex].KeySlots, 1)
	}
	for i := range result.byIndex {
		if _, found := result.byHash[result.byIndex[i].hash]; !found {
			result.byHash[result.byIndex[i].hash] = int32(i)
		}
	}
	return result
}

// newLimit returns the table's limit with index i, at its unscheduled values.
func (l *limits) newLimit(i int) quotaLimit {
	source, minimum := &l.table.Limits[i], l.table.MinimumRates(i)
	limit := quotaLimit{
		hash: mixHash(0, 0, source.Name), parent: int32(source.Parent), attribute: source.Attribute,
		concurrency: source.Unit == ratelimit.UnitConcurrency, borrow: source.Borrow,
		rate: source.Rate, burst: source.Burst, floor: source.Floor, weight: source.Weight,
	}
	tokens := minimum.Burst
	if limit.concurrency {
		tokens = minimum.Rate
	} else {
		limit.rate, minimum.Rate = limit.rate*l.rateFactor, minimum.Rate*l.rateFactor
	}
	limit.fallbackTokens = uint64(min(max(source.FallbackShare*tokens, 0), maxPool))
	if limit.fallbackTokens > 0 {
		limit.fallbackRate = source.FallbackShare * minimum.Rate
	}
	return limit
}

// applySchedule sets the limits' values to those scheduled for a wall-clock time. Only the allocator calls
// it: a proxy's fallback share follows from the lowest scheduled values.
func (l *limits) applySchedule(now time.Time) {
	for i := range l.byIndex {
		limitIndex := l.table.LimitOfSlot(i)
		if i >= len(l.table.Limits) && len(l.table.Limits[limitIndex].Schedule) == 0 {
			continue
		}
		scheduled := l.table.RatesAt(limitIndex, now)
		if !l.byIndex[i].concurrency {
			scheduled.Rate *= l.rateFactor
		}
		l.byIndex[i].rate, l.byIndex[i].burst, l.byIndex[i].floor = scheduled.Rate, scheduled.Burst, scheduled.Floor
	}
}

// fallback returns the fallback share of the proxy that has the slot. A slot that gets no complete token has
// an empty share, since a bucket that can't hold a token never admits a request. For limits on concurrency
// the share is empty unless coversConcurrency is set.
func (l *quotaLimit) fallback(slot Slot, coversConcurrency bool) shareSize {
	if l.fallbackTokens == 0 || slot.Level == noSlotLevel || l.concurrency && !coversConcurrency {
		return shareSize{}
	}
	tokens := float64(slot.tokens(l.fallbackTokens, l.hash))
	if l.concurrency {
		return shareSize{rate: tokens}
	}
	return shareSize{rate: l.fallbackRate * tokens / float64(l.fallbackTokens), burst: tokens}
}

// shareSize is the size of a share: its rate in units a second (for limits on concurrency, requests in
// flight) and the capacity of its bucket in units.
type shareSize struct{ rate, burst float64 }

func (s shareSize) max(other shareSize) shareSize {
	return shareSize{max(s.rate, other.rate), max(s.burst, other.burst)}
}

func (s shareSize) plus(other shareSize) shareSize {
	return shareSize{s.rate + other.rate, s.burst + other.burst}
}

// roundDownToWire returns the largest 32-bit float of at most v, since datagrams carry 32-bit floats. For a
// negative v it returns 0.
func roundDownToWire(v float64) float64 {
	f := float32(max(v, 0))
	if float64(f) > v {
		f = math.Nextafter32(f, 0)
	}
	return float64(f)
}

// mixHash hashes numbers and names.
func mixHash(a, b uint64, names ...string) uint64 {
	h := fnv.New64a()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:8], a)
	binary.BigEndian.PutUint64(n[8:], b)
	h.Write(n[:])
	for _, w := range names {
		h.Write([]byte(w))
	}
	v := h.Sum64() // slots are rotated by the high bits, so the bits are mixed once more
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}
