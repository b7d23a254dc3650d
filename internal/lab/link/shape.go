// Package link is the lab's network: a proxy on loopback for every pair of parties that communicate, named by
// its two ends, with the faults that are applied to it.
package link

import "time"

// Way is a direction over a link, or both.
type Way uint8

// The directions. Forward is from the end that connects to the end that listens.
const (
	Forward Way = 1 << iota
	Back
	Both = Forward | Back
)

// Shape says what a link does to traffic. The zero value passes everything at once.
type Shape struct {
	Delay  time.Duration // added in each direction
	Jitter time.Duration // greatest random addition to Delay, evenly distributed
	// share of datagrams that is lost, and of pieces of streams that arrive RetransmitAfter later
	Loss   float64
	Rate   int64 // bytes per second in each direction; 0: no limit
	Hold   Way   // directions in which nothing passes and no error is reported; bytes of streams wait
	Cut    bool  // new connections stay pending until the cut is healed, and then are accepted or reset
	Refuse bool  // new connections are refused
	Snip   int   // each connection is reset after 1 to Snip further bytes; 0: never
}

// RetransmitAfter is the additional delay of a lost piece of a stream: TCP's minimum retransmission timeout
// on Linux.
const RetransmitAfter = 200 * time.Millisecond

// Merge combines two shapes: delays add up, and otherwise the stricter value applies. The order of merging
// makes no difference.
func Merge(a, b Shape) Shape {
	return Shape{Delay: a.Delay + b.Delay, Jitter: a.Jitter + b.Jitter, Loss: max(a.Loss, b.Loss),
		Rate: smallerLimit(a.Rate, b.Rate), Hold: a.Hold | b.Hold, Cut: a.Cut || b.Cut,
		Refuse: a.Refuse || b.Refuse,
		Snip:   smallerLimit(a.Snip, b.Snip)}
}

// smallerLimit returns the smaller of two limits, where 0 means no limit.
func smallerLimit[T int | int64](a, b T) T {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
