// Package link emulates the lab's network. Each pair of parties that communicate has a link: a proxy on
// loopback, named by its two ends, that delays, drops or resets traffic as the faults on it require.
package link

import "time"

// Direction is one of the two directions over a link, or both.
type Direction uint8

// The directions. Forward is from the end that connects to the end that listens.
const (
	Forward Direction = 1 << iota
	Back
	Both = Forward | Back
)

// Shape describes what a link does to traffic. The zero value forwards all traffic without delay.
type Shape struct {
	Delay  time.Duration // added in each direction
	Jitter time.Duration // greatest random addition to Delay, evenly distributed
	// share of datagrams that are dropped, and of stream chunks that are delayed by RetransmitAfter
	Loss   float64
	Rate   int64     // bytes per second in each direction; 0: no limit
	Hold   Direction // nothing passes, without an error: stream bytes wait, datagrams are lost
	Cut    bool      // new connections stay pending until the cut is lifted, and are then accepted or reset
	Refuse bool      // new connections are refused
	Snip   int       // each connection is reset after 1 to Snip further bytes; 0: never
}

// RetransmitAfter is the additional delay of a lost stream chunk: TCP's minimum retransmission timeout
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
