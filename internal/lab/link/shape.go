// Package link is the lab's network: a proxy on loopback for every pair of
// parties that talk, named by its two ends, and what is done to it.
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

// Shape is what a link does to what passes. The zero value passes all at once.
type Shape struct {
	Delay  time.Duration // one way
	Jitter time.Duration // up to so much more, evenly
	Loss   float64       // datagrams are lost; a piece of a stream comes RetransmitAfter later
	Rate   int64         // bytes a second each way; 0: no limit
	Hold   Way           // nothing passes this way and nothing is said; what a stream carries waits
	Cut    bool          // new connections never come up; they do, or are reset, once the cut is healed
	Refuse bool          // new connections are refused
	Snip   int           // a connection is reset after 1 to so many further bytes; 0: never
}

// RetransmitAfter is how late a lost piece of a stream comes: TCP's least time-out on Linux.
const RetransmitAfter = 200 * time.Millisecond

// Merge puts a further shape on top of one: delays add up, and whatever stops more wins.
// The order of merging makes no difference.
func Merge(a, b Shape) Shape {
	return Shape{Delay: a.Delay + b.Delay, Jitter: a.Jitter + b.Jitter, Loss: max(a.Loss, b.Loss),
		Rate: least(a.Rate, b.Rate), Hold: a.Hold | b.Hold, Cut: a.Cut || b.Cut, Refuse: a.Refuse || b.Refuse,
		Snip: least(a.Snip, b.Snip)}
}

// least is the smaller of two limits, of which 0 is none.
func least[T int | int64](a, b T) T {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
