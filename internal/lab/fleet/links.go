package fleet

// What a step does to links.

import (
	"context"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
)

// over reports whether a link runs between the ends of a step, and whether it does so in the step's own
// direction.
func over(s spec.Step, e link.Ends) (is, forward bool) {
	in := func(side []string, party string) bool {
		party, _, _ = strings.Cut(party, "-") // discovery may have moved
		party, _, _ = strings.Cut(party, "/") // a replica's own calls
		return slices.Contains(side, party)
	}
	if in(s.On, e.From) && in(s.To, e.To) {
		return true, true
	}
	return in(s.On, e.To) && in(s.To, e.From), false
}

// layStep lays a step's shape on its links.
func (f *fleet) layStep(s spec.Step) {
	for _, forward := range []bool{true, false} {
		shape := shapeOf(s, forward)
		f.net.Lay(s.Name, shape, func(e link.Ends) bool {
			is, same := over(s, e)
			return is && same == forward
		})
	}
}

func shapeOf(s spec.Step, forward bool) link.Shape {
	way := map[string]link.Way{"": link.Both, "both": link.Both, "forward": link.Forward, "back": link.Back}[s.Way]
	if !forward && way != link.Both {
		way ^= link.Both
	}
	switch s.Do {
	case "cut":
		return link.Shape{Hold: way, Cut: true}
	case "mute":
		return link.Shape{Hold: way}
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

// storm resets the connections of a step's links, once or again and again.
func (f *fleet) storm(ctx context.Context, s spec.Step) error {
	for end := f.log.Now() + time.Duration(s.For); ; {
		f.net.Reset(func(e link.Ends) bool { is, _ := over(s, e); return is })
		if s.Every == 0 || f.log.Now()+time.Duration(s.Every) > end || !backoff.Sleep(ctx, time.Duration(s.Every)) {
			return nil
		}
	}
}
