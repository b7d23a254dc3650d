package fleet

// Faults of links.

import (
	"context"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
)

// matchLink reports whether a link connects the two sides of a step, and whether it runs in the step's
// direction, from On to To.
func matchLink(s spec.Step, e link.Ends) (is, forward bool) {
	contains := func(side []string, party string) bool {
		party, _, _ = strings.Cut(party, "-") // the agent's address may have moved: discovery-1 ...
		party, _, _ = strings.Cut(party, "/") // links between replicas for forwarded requests: r1/http
		return slices.Contains(side, party)
	}
	if contains(s.On, e.From) && contains(s.To, e.To) {
		return true, true
	}
	return contains(s.On, e.To) && contains(s.To, e.From), false
}

// shapeLinks applies a step's shape to its links until the step's name is lifted.
func (f *fleet) shapeLinks(s spec.Step) {
	for _, forward := range []bool{true, false} {
		shape := shapeOf(s, forward)
		f.net.Lay(s.Name, shape, func(e link.Ends) bool {
			is, same := matchLink(s, e)
			return is && same == forward
		})
	}
}

// shapeOf converts a step into the shape of links that run in the step's direction, or against it.
func shapeOf(s spec.Step, forward bool) link.Shape {
	direction := map[string]link.Way{
		"":        link.Both,
		"both":    link.Both,
		"forward": link.Forward,
		"back":    link.Back,
	}[s.Way]
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

// resetLinks resets the connections of a step's links: once, or at each interval during the step.
func (f *fleet) resetLinks(ctx context.Context, s spec.Step) error {
	for end := f.log.Now() + time.Duration(s.For); ; {
		f.net.Reset(func(e link.Ends) bool { is, _ := matchLink(s, e); return is })
		if s.Every == 0 || f.log.Now()+time.Duration(s.Every) > end || !backoff.Sleep(ctx, time.Duration(s.Every)) {
			return nil
		}
	}
}
