package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The sorts of fault that every play has.
var (
	// Kill ends processes; those that come back after For remember nothing. One in five does not come back.
	Kill = Kind{"kill", drawKill, func(w *World, f Fault) func() {
		eachEnd(w, f, func(e *End) { w.Say(e.Name, "killed"); e.Kill() })
		return func() {
			eachEnd(w, f, func(e *End) {
				if !e.Up() {
					w.Say(e.Name, "starts")
					e.Start()
				}
			})
		}
	}}
	// Pause lets a process stand still.
	Pause = Kind{"pause", during(1, 100*time.Millisecond, 12*time.Second), func(w *World, f Fault) func() {
		eachEnd(w, f, func(e *End) { w.Say(e.Name, "stands still"); e.Stop() })
		return func() {
			eachEnd(w, f, func(e *End) {
				if e.Still() {
					w.Say(e.Name, "woken")
					e.Resume()
				}
			})
		}
	}}
	// Late makes a process late with all that it does.
	Late = Kind{"late", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Who:   pick(rng, names, 1),
			For:   some(rng, time.Second, 20*time.Second),
			Delay: some(rng, 10*time.Millisecond, time.Second),
		}
	}, func(w *World, f Fault) func() {
		eachEnd(w, f, func(e *End) { w.Say(e.Name, "late"); e.Slow(f.Delay) })
		return func() { eachEnd(w, f, func(e *End) { w.Say(e.Name, "in time again"); e.Slow(0) }) }
	}}
	// CutOff takes one end off all others.
	CutOff = Kind{
		"cut",
		during(1, 500*time.Millisecond, 30*time.Second),
		broken("cut off", "healed", between, cutting),
	}
	// OneWay cuts the way from one end to another, not the way back.
	OneWay = Kind{"one way", during(2, time.Second, 40*time.Second), func(w *World, f Fault) func() {
		w.Say(f.Who[0], "can't reach "+f.Who[1])
		wrong := w.Net.Break(func(from, to string) bool { return from == f.Who[0] && to == f.Who[1] }, Cut)
		return func() { w.Net.Mend(wrong); w.Say(f.Who[0], "reaches "+f.Who[1]) }
	}}
	// Deaf lets nothing arrive at one end, while the others hear it.
	Deaf = Kind{
		"deaf",
		during(1, 500*time.Millisecond, 20*time.Second),
		broken("deaf", "hears again", func(f Fault) func(string, string) bool {
			return func(_, to string) bool { return slices.Contains(f.Who, to) }
		}, cutting),
	}
	// SlowPair delays what two ends send each other, and nothing else.
	SlowPair = Kind{"slow pair", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Who:   pick(rng, names, 2),
			For:   some(rng, time.Second, 30*time.Second),
			Delay: some(rng, 20*time.Millisecond, time.Second),
		}
	}, broken("slow pair", "pair in time", func(f Fault) func(string, string) bool {
		return func(from, to string) bool {
			return from == f.Who[0] && to == f.Who[1] || from == f.Who[1] && to == f.Who[0]
		}
	}, func(f Fault) func(*Link) { return func(l *Link) { l.Delay += f.Delay } })}
	// Halves cuts a drawn part of the ends off the others. What is not among the names stays with the others.
	Halves = Kind{"halves", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Who: pick(rng, names, 1+rng.IntN(max(1, len(names)-1))),
			For: some(rng, time.Second, time.Minute),
		}
	}, broken("cut off", "healed", between, cutting)}
	// Lossy loses a part of all datagrams, up to 30%.
	Lossy = Kind{"lossy", func(rng *rand.Rand, _ []string) Fault {
		return Fault{For: some(rng, time.Second, 40*time.Second), Loss: 0.05 + 0.25*rng.Float64()}
	}, broken("", "", everywhere, func(f Fault) func(*Link) { return func(l *Link) { l.Loss = max(l.Loss, f.Loss) } })}
	// Doubled lets a part of all datagrams arrive twice and in another order.
	Doubled = Kind{"doubled", func(rng *rand.Rand, _ []string) Fault {
		return Fault{
			For:   some(rng, time.Second, 40*time.Second),
			Loss:  0.3,
			Delay: some(rng, time.Millisecond, 100*time.Millisecond),
		}
	}, broken("", "", everywhere, func(f Fault) func(*Link) {
		return func(l *Link) { l.Twice, l.Jitter = f.Loss, l.Jitter+f.Delay }
	})}
	// Flap cuts one end off and heals it again, every Delay.
	Flap = Kind{"flap", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Who:   pick(rng, names, 1),
			For:   some(rng, 5*time.Second, 40*time.Second),
			Delay: some(rng, time.Second, 3*time.Second),
		}
	}, doFlap}
	// ServiceDown takes the registry away; Unreachable takes it away from some.
	ServiceDown = Kind{
		"list down",
		func(rng *rand.Rand, _ []string) Fault { return Fault{For: some(rng, time.Second, 40*time.Second)} },
		func(w *World, _ Fault) func() { w.Service.Down(); return w.Service.Up },
	}
	Unreachable = Kind{"list unreachable", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Who: pick(rng, names, 1+rng.IntN(max(1, len(names)-1))),
			For: some(rng, time.Second, 40*time.Second),
		}
	}, broken("loses the list", "reaches the list", func(f Fault) func(string, string) bool {
		return func(from, to string) bool {
			return to == ServiceName && slices.Contains(f.Who, from) ||
				from == ServiceName && slices.Contains(f.Who, to)
		}
	}, cutting)}
)

func everywhere(Fault) func(string, string) bool { return func(string, string) bool { return true } }

func drawKill(rng *rand.Rand, names []string) Fault {
	f := Fault{Who: pick(rng, names, 1)}
	switch rng.IntN(5) {
	case 0: // stays away
	case 1, 2:
		f.For = some(rng, 10*time.Millisecond, 300*time.Millisecond) // back before anybody may have noticed
	default:
		f.For = some(rng, time.Second, 30*time.Second)
	}
	if rng.IntN(8) == 0 {
		f.Who = pick(rng, names, max(1, len(names)/3))
	}
	return f
}

func doFlap(w *World, f Fault) func() {
	var wrong *Wrong
	over := false
	var turn func()
	turn = func() {
		switch {
		case wrong != nil:
			w.Net.Mend(wrong)
			wrong = nil
			sayAll(w, f.Who, "healed")
		case !over:
			wrong = w.Net.Break(between(f), Cut)
			sayAll(w, f.Who, "cut off")
		}
		if !over {
			w.After(f.Delay, turn)
		}
	}
	turn()
	return func() { over = true; turn() }
}
