package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/timeline"
)

// Check is something that must hold of a history.
type Check struct {
	Name       string
	Throughout func() error // asked each Every; nil: it is judged at the end alone
	End        func() error // asked once, Quiet after the last fault is over; nil: throughout alone
}

// Play is what schedules are drawn for.
type Play struct {
	Names  []string // of the ends that faults may hit
	Kinds  []Kind
	Most   int           // faults of a schedule
	Warm   time.Duration // before the first fault
	Length time.Duration // in which faults begin
	Quiet  time.Duration // after the last fault's end: the stated time in which all must be well again
	Every  time.Duration // between looks of the checks
	Build  func(w *World) []Check
	Drawn  timeline.Drawing // of a history that broke a check
}

// Broken says which check did not hold, and when.
type Broken struct {
	Check string
	At    time.Duration
	Why   error
}

func (b *Broken) Error() string {
	return fmt.Sprintf("%s: after %.2f s: %v", b.Check, b.At.Seconds(), b.Why)
}

// Faults draws the schedule of a seed.
func (p Play) Faults(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa017))
	faults := make([]Fault, 1+rng.IntN(p.Most))
	for i := range faults {
		k := p.Kinds[rng.IntN(len(p.Kinds))]
		faults[i] = k.Draw(rng, p.Names)
		faults[i].Kind, faults[i].At = k.Name, time.Duration(rng.Int64N(int64(p.Length)))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Run plays a schedule in the world of a seed. It gives nil for what is broken if all held.
func (p Play) Run(seed uint64, faults []Fault) (*World, *Broken) {
	w := New(seed)
	return w, p.RunIn(w, faults)
}

// RunIn plays a schedule in a world that is new.
func (p Play) RunIn(w *World, faults []Fault) *Broken {
	checks := p.Build(w)
	w.RunTo(p.Warm)
	over := time.Duration(0)
	for _, f := range faults {
		w.After(f.At, func() { p.begin(w, f) })
		over = max(over, f.At+f.For)
	}
	for end := p.Warm + over + p.Quiet; w.Now() < end; {
		w.RunTo(min(w.Now()+p.Every, end))
		for _, c := range checks {
			if c.Throughout != nil {
				if err := c.Throughout(); err != nil {
					return &Broken{c.Name, w.Now(), err}
				}
			}
		}
	}
	for _, c := range checks {
		if c.End != nil {
			if err := c.End(); err != nil {
				return &Broken{c.Name, w.Now(), err}
			}
		}
	}
	return nil
}

// begin begins a fault and has it ended in time.
func (p Play) begin(w *World, f Fault) {
	for _, k := range p.Kinds {
		if k.Name == f.Kind {
			if undo := k.Do(w, f); undo != nil && f.For > 0 {
				w.After(f.For, undo)
			}
		}
	}
}

// Shrink drops faults from a schedule as long as the same check breaks, halves first, then single ones, and
// gives what is left.
func (p Play) Shrink(seed uint64, faults []Fault, check string) []Fault {
	breaks := func(f []Fault) bool {
		_, b := p.Run(seed, f)
		return b != nil && b.Check == check
	}
	for size := max(1, len(faults)/2); size >= 1; size /= 2 {
		for at := 0; at < len(faults); {
			less := slices.Concat(faults[:at], faults[min(at+size, len(faults)):])
			if breaks(less) {
				faults = less
				continue
			}
			at += size
		}
	}
	return faults
}

// Explain tells of a schedule that broke a check: the faults that it takes, and what happened.
func (p Play) Explain(seed uint64, faults []Fault, broken *Broken) string {
	least := p.Shrink(seed, faults, broken.Check)
	w, b := p.Run(seed, least)
	if b == nil {
		return fmt.Sprintf("seed %d broke %v, and does not again", seed, broken)
	}
	s := fmt.Sprintf("seed %d, %d of %d faults left:\n", seed, len(least), len(faults))
	for _, f := range least {
		s += "  " + f.String() + "\n"
	}
	d := p.Drawn
	d.Says = fmt.Sprintf("Seed %d broke %s", seed, b.Error())
	return s + d.Draw(w.Log())
}
