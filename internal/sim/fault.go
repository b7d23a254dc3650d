package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong in a schedule. All that it draws is in it, so that it does the same when
// others are dropped.
type Fault struct {
	Kind  string
	At    time.Duration // after the play's warming up
	For   time.Duration // 0: for ever, or over at once
	Who   []string
	Loss  float64
	Delay time.Duration
}

func (f Fault) String() string {
	s := fmt.Sprintf("%.2f s %s %s", f.At.Seconds(), f.Kind, strings.Join(f.Who, ","))
	if f.For > 0 {
		s += fmt.Sprintf(" for %.2f s", f.For.Seconds())
	}
	if f.Loss > 0 {
		s += fmt.Sprintf(" loss %.0f%%", 100*f.Loss)
	}
	if f.Delay > 0 {
		s += fmt.Sprintf(" delay %v", f.Delay)
	}
	return s
}

// Kind is a sort of fault: how one is drawn, and what it does. Plays add their own.
type Kind struct {
	Name string
	Draw func(rng *rand.Rand, names []string) Fault // all but Kind and At
	// Do begins it. What it gives, if anything, ends it after For; where For is 0 it does not end.
	Do func(w *World, f Fault) (undo func())
}

// some draws between least and most.
func some(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// pick draws n names, or fewer where there are fewer.
func pick(rng *rand.Rand, names []string, n int) []string {
	names = slices.Clone(names)
	rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:min(n, len(names))]
}

// during returns a Draw of a fault of n that lasts between least and most.
func during(n int, least, most time.Duration) func(*rand.Rand, []string) Fault {
	return func(rng *rand.Rand, names []string) Fault {
		return Fault{Who: pick(rng, names, n), For: some(rng, least, most)}
	}
}

// broken returns a Do that changes links while it lasts, and says so in the columns of those that it is
// about.
func broken(
	begins, ends string,
	on func(f Fault) func(from, to string) bool,
	change func(f Fault) func(*Link),
) func(*World, Fault) func() {
	return func(w *World, f Fault) func() {
		sayAll(w, f.Who, begins)
		wrong := w.Net.Break(on(f), change(f))
		return func() {
			w.Net.Mend(wrong)
			sayAll(w, f.Who, ends)
		}
	}
}

func sayAll(w *World, who []string, what string) {
	for _, n := range who {
		w.Say(n, what)
	}
}

func cutting(Fault) func(*Link) { return Cut }

// between picks the links between those of the fault and all others.
func between(f Fault) func(from, to string) bool {
	return func(from, to string) bool { return slices.Contains(f.Who, from) != slices.Contains(f.Who, to) }
}

// eachEnd has something done at each end that the fault names and that is there.
func eachEnd(w *World, f Fault, do func(*End)) {
	for _, n := range f.Who {
		if e := w.End(n); e != nil {
			do(e)
		}
	}
}
