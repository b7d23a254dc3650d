package fleet

// This file injects the faults of links.

import (
	"context"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
)

// matchLink reports whether a link connects a party of the step's On with a party of its To, and whether the
// link goes forward, that is from On to To.
func matchLink(s spec.Step, e link.Ends) (matches, forward bool) {
	contains := func(side []string, party string) bool {
		party, _, _ = strings.Cut(party, "-") // discovery-1 is the first new address of an agent that moved
		party, _, _ = strings.Cut(party, "/") // r1/http is the end of links for requests forwarded to replica r1
		return slices.Contains(side, party)
	}
	if contains(s.On, e.From) && contains(s.To, e.To) {
		return true, true
	}
	return contains(s.On, e.To) && contains(s.To, e.From), false
}

// shapeLinks applies a step's shape to its links until the shape is lifted by the step's name.
func (f *fleet) shapeLinks(s spec.Step) {
	for _, forward := range []bool{true, false} {
		shape := shapeOf(s, forward)
		f.net.ApplyShape(s.Name, shape, func(e link.Ends) bool {
			matches, sameDirection := matchLink(s, e)
			return matches && sameDirection == forward
		})
	}
}

// shapeOf returns the shape that a step gives to its links that go from On to To (forward), or from To to On.
func shapeOf(s spec.Step, forward bool) link.Shape {
	direction := map[string]link.Direction{
		"":        link.Both,
		"both":    link.Both,
		"forward": link.Forward,
		"back":    link.Back,
	}[s.Direction]
	if !forward && direction != link.Both {
		direction ^= link.Both
	}
	switch s.Do {
	case "cut":
		return link.Shape{Hold: direction, Cut: true}
	case "mute":
		return link.Shape{Hold: direction}
	case "refuse":
		return link.Shape{Refuse: true}
	case "snip":
		return link.Shape{Snip: s.Bytes}
	}
	return link.Shape{
		Delay:  time.Duration(s.Delay),
		Jitter: time.Duration(s.Jitter),
		Loss:   s.Loss,
		Rate:   int64(s.Rate),
	}
}

// resetLinks resets the connections of a step's links once or, if the step has an interval, again after each
// interval until the step's end.
func (f *fleet) resetLinks(ctx context.Context, s spec.Step) error {
	for end := f.log.Now() + time.Duration(s.For); ; {
		f.net.Reset(func(e link.Ends) bool { matches, _ := matchLink(s, e); return matches })
		if s.Interval == 0 || f.log.Now()+time.Duration(s.Interval) > end ||
			!backoff.Sleep(ctx, time.Duration(s.Interval)) {
			return nil
		}
	}
}
