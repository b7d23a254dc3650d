// Package load draws all operations of the lab's clients before a run. The seed determines them. The package
// has no side effects.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wrenspread/internal/lab/world"
)

// Op is one operation of a client: a first try and, if the outcome of the previous try allows it, retries.
type Op struct {
	N                int // the operation's number, from 1
	Due              time.Duration
	Class            world.Class
	Tenant           string
	Zone             string // the client's zone
	Work             time.Duration
	Hint             time.Duration // the client's estimate of the work
	Key              string        // idempotency key of keyed classes
	Share            float64       // share of the deadline after which the client gives up a try
	Retries          int
	Backoff          []time.Duration // wait before each retry
	HonorsRetryAfter bool            // the client waits as long as Retry-After says
	NodeChoice       uint64          // selects among the nodes of the zone
}

// Shape describes the rate of operations over time.
type Shape struct {
	Rate   float64       // mean number of operations per second
	Length time.Duration // time during which operations arrive
	Bursty bool          // the rate oscillates
	Swing  float64       // amplitude of the oscillation, as a share of the rate
	Skew   float64       // additional load of the first zone, as a fraction of an even share
	Surges []Surge
}

// Surge is a period in which the rate is multiplied by Times.
type Surge struct {
	From, To time.Duration
	Times    float64
}

// swingPeriod is the period of a bursty load. A short run has several periods.
const swingPeriod = 7 * time.Second

// Draw draws the operations in the order in which they are due.
func Draw(seed uint64, w world.World, s Shape) []Op {
	r := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	maxRate := s.Rate * (1 + s.Swing)
	for _, surge := range s.Surges {
		maxRate = max(maxRate, s.Rate*(1+s.Swing)*surge.Times)
	}
	var ops []Op
	for t := time.Duration(0); maxRate > 0; {
		t += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
		if t >= s.Length {
			break
		}
		threshold := r.Float64() * maxRate // arrivals are drawn at the highest rate and thinned to the rate at t
		op := drawOp(r, w, s, t, seed, len(ops)+1)
		if threshold < s.rateAt(t) {
			ops = append(ops, op)
		}
	}
	return ops
}

// rateAt returns the rate at time t.
func (s Shape) rateAt(t time.Duration) float64 {
	rate := s.Rate
	if s.Bursty {
		rate *= 1 + s.Swing*math.Sin(2*math.Pi*float64(t)/float64(swingPeriod))
	}
	for _, surge := range s.Surges {
		if t >= surge.From && t < surge.To {
			rate *= surge.Times
		}
	}
	return rate
}

// drawOp draws operation n, which is due at the time due.
func drawOp(r *rand.Rand, w world.World, s Shape, due time.Duration, seed uint64, n int) Op {
	classes := make([]float64, len(w.Classes))
	for i, c := range w.Classes {
		classes[i] = c.Share
	}
	demands := make([]float64, len(w.Tenants))
	for i, t := range w.Tenants {
		demands[i] = t.Share * t.Demand
	}
	zones := make([]float64, len(w.Zones))
	for i := range zones {
		zones[i] = 1
	}
	zones[0] += s.Skew
	class := w.Classes[choose(r, classes)]
	work := time.Duration(float64(class.Work) * world.Spread(r, class.CV))
	op := Op{
		N:      n,
		Due:    due,
		Class:  class,
		Tenant: w.Tenants[choose(r, demands)].Name,
		Zone:   w.Zones[choose(r, zones)],
		Work:   work,
		Hint: time.Duration(
			float64(work) * world.Spread(r, 0.4),
		),
		Share:            0.5 + 0.3*r.Float64(),
		Retries:          1 + r.IntN(2),
		HonorsRetryAfter: r.Float64() < 0.85,
		NodeChoice:       r.Uint64(),
	}
	backoff := (18 + 122*r.Float64()) * float64(time.Millisecond)
	for i := range op.Retries {
		op.Backoff = append(op.Backoff, time.Duration(backoff*float64(int(1)<<i)*(0.5+r.Float64())))
	}
	if class.Effect == world.Keyed {
		op.Key = fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())
	}
	return op
}

// choose draws an index with a probability that is proportional to its weight.
func choose(r *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	remaining := r.Float64() * sum
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// ID returns the request ID of a try; the first try has number 0. All IDs of a run differ.
func (o Op) ID(seed uint64, try int) string {
	r := rand.New(rand.NewPCG(seed, uint64(o.N)<<8|uint64(try)))
	return fmt.Sprintf("%016x%06x%02x", r.Uint64(), o.N, try)
}
