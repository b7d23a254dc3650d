package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one fault of a schedule. It holds all of its draws, so that its effect stays the same when other
// faults are dropped from the schedule.
type Fault struct {
	Kind     string
	At       time.Duration // after the play's warm-up
	Duration time.Duration // 0: the fault never ends, or has no lasting effect
	Targets  []string      // hosts, or other arguments that the fault's kind has drawn
	Loss     float64       // a fraction of datagrams
	Delay    time.Duration // a delay, or another number; its meaning depends on the kind
}

func (f Fault) String() string {
	s := fmt.Sprintf("%.2f s %s %s", f.At.Seconds(), f.Kind, strings.Join(f.Targets, ","))
	if f.Duration > 0 {
		s += fmt.Sprintf(" for %.2f s", f.Duration.Seconds())
	}
	if f.Loss > 0 {
		s += fmt.Sprintf(" loss %.0f%%", 100*f.Loss)
	}
	if f.Delay > 0 {
		s += fmt.Sprintf(" delay %v", f.Delay)
	}
	return s
}

// FaultKind describes how faults of a kind are drawn and what they do. Plays can add their own kinds.
type FaultKind struct {
	Name string
	Draw func(rng *rand.Rand, names []string) Fault // sets all fields but Kind and At
	// Start begins the fault. The returned undo, if not nil, ends the fault after its Duration; a fault with a
	// Duration of 0 is not ended.
	Start func(w *World, f Fault) (undo func())
}

// randomDuration draws a duration from lowest to highest, both included.
func randomDuration(rng *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rng.Int64N(int64(highest-lowest)+1))
}

// pickNames draws n of the names, or all of them where there are fewer.
func pickNames(rng *rand.Rand, names []string, n int) []string {
	names = slices.Clone(names)
	rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:min(n, len(names))]
}

// drawLasting returns a Draw of a fault that hits n hosts and lasts from shortest to longest.
func drawLasting(n int, shortest, longest time.Duration) func(*rand.Rand, []string) Fault {
	return func(rng *rand.Rand, names []string) Fault {
		return Fault{Targets: pickNames(rng, names, n), Duration: randomDuration(rng, shortest, longest)}
	}
}

// breakLinks returns a Start that changes the matching links while the fault lasts. startText and endText are
// added to the timeline columns of the fault's targets.
func breakLinks(
	startText, endText string,
	matches func(f Fault) func(from, to string) bool,
	change func(f Fault) func(*Link),
) func(*World, Fault) func() {
	return func(w *World, f Fault) func() {
		noteAll(w, f.Targets, startText)
		linkFault := w.Net.AddFault(matches(f), change(f))
		return func() {
			w.Net.RemoveFault(linkFault)
			noteAll(w, f.Targets, endText)
		}
	}
}

// noteAll adds the same event to the timeline columns of several hosts.
func noteAll(w *World, hosts []string, text string) {
	for _, n := range hosts {
		w.Note(n, text)
	}
}

// cutChange is the argument change of breakLinks for faults that cut links.
func cutChange(Fault) func(*Link) { return CutLink }

// linksAcross matches the links between the fault's targets and all other hosts, in both directions.
func linksAcross(f Fault) func(from, to string) bool {
	return func(from, to string) bool {
		return slices.Contains(f.Targets, from) != slices.Contains(f.Targets, to)
	}
}

// forEachHost calls do for each of the fault's targets that is a host of the world.
func forEachHost(w *World, f Fault, do func(*Host)) {
	for _, n := range f.Targets {
		if host := w.Host(n); host != nil {
			do(host)
		}
	}
}
