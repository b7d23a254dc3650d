package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/timeline"
)

// Check is a property that every simulation of a play must have.
type Check struct {
	Name       string
	Throughout func() error // called every CheckInterval; may be nil
	AtEnd      func() error // called once, RecoveryTime after the last fault is over; may be nil
}

// Play describes a family of simulations: what is simulated, which faults are drawn and what is checked.
type Play struct {
	Names         []string // the hosts that faults may hit
	Kinds         []FaultKind
	MaxFaults     int                    // most faults of a schedule
	WarmUp        time.Duration          // true time before the first fault
	FaultWindow   time.Duration          // after the warm-up, in which all faults begin
	RecoveryTime  time.Duration          // after the last fault's end, within which the system has to recover
	CheckInterval time.Duration          // between two calls of Check.Throughout
	Build         func(w *World) []Check // adds hosts to a new world and returns the checks
	Drawing       timeline.Drawing       // how Explain draws the timeline of a violation
}

// Violation is the failure of a check.
type Violation struct {
	Check string
	At    time.Duration
	Err   error
}

// Error returns the check, the true time of the violation and its reason.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: after %.2f s: %v", v.Check, v.At.Seconds(), v.Err)
}

// Faults draws the fault schedule of a seed, sorted by start.
func (p Play) Faults(seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa017))
	faults := make([]Fault, 1+rng.IntN(p.MaxFaults))
	for i := range faults {
		k := p.Kinds[rng.IntN(len(p.Kinds))]
		faults[i] = k.Draw(rng, p.Names)
		faults[i].Kind, faults[i].At = k.Name, time.Duration(rng.Int64N(int64(p.FaultWindow)))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Run simulates a schedule in a new world of the seed. It returns a nil Violation if no check failed.
func (p Play) Run(seed uint64, faults []Fault) (*World, *Violation) {
	w := New(seed)
	return w, p.RunIn(w, faults)
}

// RunIn simulates a schedule in w, which must be new, up to the first violation.
func (p Play) RunIn(w *World, faults []Fault) *Violation {
	checks := p.Build(w)
	w.RunTo(p.WarmUp)
	lastEnd := time.Duration(0)
	for _, f := range faults {
		w.After(f.At, func() { p.startFault(w, f) })
		lastEnd = max(lastEnd, f.At+f.Duration)
	}
	for end := p.WarmUp + lastEnd + p.RecoveryTime; w.Now() < end; {
		w.RunTo(min(w.Now()+p.CheckInterval, end))
		for _, c := range checks {
			if c.Throughout != nil {
				if err := c.Throughout(); err != nil {
					return &Violation{c.Name, w.Now(), err}
				}
			}
		}
	}
	for _, c := range checks {
		if c.AtEnd != nil {
			if err := c.AtEnd(); err != nil {
				return &Violation{c.Name, w.Now(), err}
			}
		}
	}
	return nil
}

// startFault starts a fault and schedules its end.
func (p Play) startFault(w *World, f Fault) {
	for _, k := range p.Kinds {
		if k.Name == f.Kind {
			if undo := k.Start(w, f); undo != nil && f.Duration > 0 {
				w.After(f.Duration, undo)
			}
		}
	}
}

// Shrink drops faults from a schedule as long as the same check still fails, in ever smaller groups down to
// single faults, and returns the remaining ones.
func (p Play) Shrink(seed uint64, faults []Fault, check string) []Fault {
	violates := func(f []Fault) bool {
		_, v := p.Run(seed, f)
		return v != nil && v.Check == check
	}
	for size := max(1, len(faults)/2); size >= 1; size /= 2 {
		for at := 0; at < len(faults); {
			fewer := slices.Concat(faults[:at], faults[min(at+size, len(faults)):])
			if violates(fewer) {
				faults = fewer
				continue
			}
			at += size
		}
	}
	return faults
}

// Explain describes a violation as text: the faults that Shrink leaves, and the timeline of a run with them.
func (p Play) Explain(seed uint64, faults []Fault, violation *Violation) string {
	needed := p.Shrink(seed, faults, violation.Check)
	w, reproduced := p.Run(seed, needed)
	if reproduced == nil {
		return fmt.Sprintf("seed %d broke %v, and does not again", seed, violation)
	}
	s := fmt.Sprintf("seed %d, %d of %d faults left:\n", seed, len(needed), len(faults))
	for _, f := range needed {
		s += "  " + f.String() + "\n"
	}
	d := p.Drawing
	d.Caption = fmt.Sprintf("Seed %d broke %s", seed, reproduced.Error())
	return s + d.Draw(w.Log())
}
