// Package load draws ahead, by seed, all that the lab's clients will do. It is pure.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wrenspread/internal/lab/world"
)

// Op is one operation that a client wants done: a first try and, where its
// answer allows that, further ones.
type Op struct {
	N       int // from 1
	Due     time.Duration
	Class   world.Class
	Tenant  string
	Zone    string // of the client
	Work    time.Duration
	Hint    time.Duration // what the client believes of the work
	Key     string        // for keyed ones
	Share   float64       // of the deadline, after which a try is given up
	Retries int
	Backoff []time.Duration // before each retry
	Heeds   bool            // Retry-After
	Pick    uint64          // chooses among the nodes of its zone
}

// Shape says how much is asked for, and when.
type Shape struct {
	Rate   float64       // operations a second, in the mean
	Length time.Duration // of arrivals
	Bursty bool          // the rate swings, by Swing of itself
	Swing  float64
	Skew   float64 // the first zone has so much more than its even share, as a part of it
	Surges []Surge
}

// Surge is a stretch with more load, or less.
type Surge struct {
	From, To time.Duration
	Times    float64
}

const swingPeriod = 7 * time.Second // of a bursty load: several in a short run

// Draw draws the operations in the order in which they are due.
func Draw(seed uint64, w world.World, s Shape) []Op {
	r := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	top := s.Rate * (1 + s.Swing)
	for _, surge := range s.Surges {
		top = max(top, s.Rate*(1+s.Swing)*surge.Times)
	}
	var ops []Op
	for t := time.Duration(0); top > 0; {
		t += time.Duration(r.ExpFloat64() / top * float64(time.Second))
		if t >= s.Length {
			break
		}
		keep := r.Float64() * top // arrivals at the highest rate, thinned to the present one
		op := draw(r, w, s, t, seed, len(ops)+1)
		if keep < s.at(t) {
			ops = append(ops, op)
		}
	}
	return ops
}

// at is the rate at one time.
func (s Shape) at(t time.Duration) float64 {
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

func draw(r *rand.Rand, w world.World, s Shape, due time.Duration, seed uint64, n int) Op {
	classes := make([]float64, len(w.Classes))
	for i, c := range w.Classes {
		classes[i] = c.Share
	}
	books := make([]float64, len(w.Tenants))
	for i, t := range w.Tenants {
		books[i] = t.Share * t.Usage
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
		Tenant: w.Tenants[choose(r, books)].Name,
		Zone:   w.Zones[choose(r, zones)],
		Work:   work,
		Hint: time.Duration(
			float64(work) * world.Spread(r, 0.4),
		),
		Share:   0.5 + 0.3*r.Float64(),
		Retries: 1 + r.IntN(2),
		Heeds:   r.Float64() < 0.85,
		Pick:    r.Uint64(),
	}
	wait := (18 + 122*r.Float64()) * float64(time.Millisecond)
	for i := range op.Retries {
		op.Backoff = append(op.Backoff, time.Duration(wait*float64(int(1)<<i)*(0.5+r.Float64())))
	}
	if class.Effect == world.Keyed {
		op.Key = fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())
	}
	return op
}

func choose(r *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	pick := r.Float64() * sum
	for i, w := range weights {
		if pick -= w; pick < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// ID is the request id of a try, from 0. No two of a run are the same.
func (o Op) ID(seed uint64, try int) string {
	r := rand.New(rand.NewPCG(seed, uint64(o.N)<<8|uint64(try)))
	return fmt.Sprintf("%016x%06x%02x", r.Uint64(), o.N, try)
}
