package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of fault that any play can use.
var (
	// Kill ends processes. A process that is started again has no state of the previous one. One fault in five
	// is drawn without a restart.
	Kill = FaultKind{"kill", drawKill, func(w *World, f Fault) func() {
		forEachHost(w, f, func(h *Host) { w.Note(h.Name, "killed"); h.Kill() })
		return func() {
			forEachHost(w, f, func(h *Host) {
				if !h.Running() {
					w.Note(h.Name, "starts")
					h.Start()
				}
			})
		}
	}}
	// Pause pauses a process, as SIGSTOP does.
	Pause = FaultKind{"pause", drawLasting(1, 100*time.Millisecond, 12*time.Second), func(
		w *World, f Fault,
	) func() {
		forEachHost(w, f, func(h *Host) { w.Note(h.Name, "stands still"); h.Pause() })
		return func() {
			forEachHost(w, f, func(h *Host) {
				if h.Paused() {
					w.Note(h.Name, "woken")
					h.Resume()
				}
			})
		}
	}}
	// Late delays the handling of each event by a process.
	Late = FaultKind{"late", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Targets:  pickNames(rng, names, 1),
			Duration: randomDuration(rng, time.Second, 20*time.Second),
			Delay:    randomDuration(rng, 10*time.Millisecond, time.Second),
		}
	}, func(w *World, f Fault) func() {
		forEachHost(w, f, func(h *Host) { w.Note(h.Name, "late"); h.SetMaxDelay(f.Delay) })
		return func() { forEachHost(w, f, func(h *Host) { w.Note(h.Name, "in time again"); h.SetMaxDelay(0) }) }
	}}
	// CutOff cuts one host off from all others.
	CutOff = FaultKind{
		"cut",
		drawLasting(1, 500*time.Millisecond, 30*time.Second),
		breakLinks("cut off", "healed", linksAcross, cutChange),
	}
	// OneWay cuts the link from one host to another, but not the link back.
	OneWay = FaultKind{"one way", drawLasting(2, time.Second, 40*time.Second), func(w *World, f Fault) func() {
		w.Note(f.Targets[0], "can't reach "+f.Targets[1])
		linkFault := w.Net.AddFault(
			func(from, to string) bool { return from == f.Targets[0] && to == f.Targets[1] },
			CutLink,
		)
		return func() { w.Net.RemoveFault(linkFault); w.Note(f.Targets[0], "reaches "+f.Targets[1]) }
	}}
	// Deaf cuts all links to one host; what the host sends still arrives.
	Deaf = FaultKind{
		"deaf",
		drawLasting(1, 500*time.Millisecond, 20*time.Second),
		breakLinks("deaf", "hears again", func(f Fault) func(string, string) bool {
			return func(_, to string) bool { return slices.Contains(f.Targets, to) }
		}, cutChange),
	}
	// SlowPair delays the datagrams between two hosts, in both directions.
	SlowPair = FaultKind{"slow pair", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Targets:  pickNames(rng, names, 2),
			Duration: randomDuration(rng, time.Second, 30*time.Second),
			Delay:    randomDuration(rng, 20*time.Millisecond, time.Second),
		}
	}, breakLinks("slow pair", "pair in time", func(f Fault) func(string, string) bool {
		return func(from, to string) bool {
			return from == f.Targets[0] && to == f.Targets[1] || from == f.Targets[1] && to == f.Targets[0]
		}
	}, func(f Fault) func(*Link) { return func(l *Link) { l.Delay += f.Delay } })}
	// Halves cuts a drawn set of the named hosts off from all other hosts, which are the rest of the named hosts
	// and all hosts that are not named.
	Halves = FaultKind{"halves", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Targets:  pickNames(rng, names, 1+rng.IntN(max(1, len(names)-1))),
			Duration: randomDuration(rng, time.Second, time.Minute),
		}
	}, breakLinks("cut off", "healed", linksAcross, cutChange)}
	// Lossy drops a drawn fraction of all datagrams, from 5% to 30%.
	Lossy = FaultKind{"lossy", func(rng *rand.Rand, _ []string) Fault {
		return Fault{Duration: randomDuration(rng, time.Second, 40*time.Second), Loss: 0.05 + 0.25*rng.Float64()}
	}, breakLinks("", "", allLinks, func(f Fault) func(*Link) {
		return func(l *Link) { l.Loss = max(l.Loss, f.Loss) }
	})}
	// Doubled duplicates 30% of all datagrams and reorders datagrams by a larger jitter.
	Doubled = FaultKind{"doubled", func(rng *rand.Rand, _ []string) Fault {
		return Fault{
			Duration: randomDuration(rng, time.Second, 40*time.Second),
			Loss:     0.3,
			Delay:    randomDuration(rng, time.Millisecond, 100*time.Millisecond),
		}
	}, breakLinks("", "", allLinks, func(f Fault) func(*Link) {
		return func(l *Link) { l.Duplicate, l.Jitter = f.Loss, l.Jitter+f.Delay }
	})}
	// Flap alternates every Delay between cutting one host off from all others and healing the cut.
	Flap = FaultKind{"flap", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Targets:  pickNames(rng, names, 1),
			Duration: randomDuration(rng, 5*time.Second, 40*time.Second),
			Delay:    randomDuration(rng, time.Second, 3*time.Second),
		}
	}, startFlap}
	// ServiceDown stops the registry.
	ServiceDown = FaultKind{
		"list down",
		func(rng *rand.Rand, _ []string) Fault {
			return Fault{Duration: randomDuration(rng, time.Second, 40*time.Second)}
		},
		func(w *World, _ Fault) func() { w.Service.Down(); return w.Service.Up },
	}
	// Unreachable cuts a drawn set of hosts off from the registry.
	Unreachable = FaultKind{"list unreachable", func(rng *rand.Rand, names []string) Fault {
		return Fault{
			Targets:  pickNames(rng, names, 1+rng.IntN(max(1, len(names)-1))),
			Duration: randomDuration(rng, time.Second, 40*time.Second),
		}
	}, breakLinks("loses the list", "reaches the list", func(f Fault) func(string, string) bool {
		return func(from, to string) bool {
			return to == ServiceName && slices.Contains(f.Targets, from) ||
				from == ServiceName && slices.Contains(f.Targets, to)
		}
	}, cutChange)}
)

// allLinks matches every link.
func allLinks(Fault) func(string, string) bool { return func(string, string) bool { return true } }

// drawKill draws one host, or a third of the hosts in one fault of eight.
func drawKill(rng *rand.Rand, names []string) Fault {
	f := Fault{Targets: pickNames(rng, names, 1)}
	switch rng.IntN(5) {
	case 0: // no restart
	case 1, 2:
		// The restart may come before other hosts have noticed the end of the process.
		f.Duration = randomDuration(rng, 10*time.Millisecond, 300*time.Millisecond)
	default:
		f.Duration = randomDuration(rng, time.Second, 30*time.Second)
	}
	if rng.IntN(8) == 0 {
		f.Targets = pickNames(rng, names, max(1, len(names)/3))
	}
	return f
}

// startFlap cuts the fault's targets off from all other hosts, and from then on heals and cuts the links by
// turns, every f.Delay. The returned function ends this and leaves the links healed; the caller calls it
// after f.Duration.
func startFlap(w *World, f Fault) func() {
	var linkFault *LinkFault
	ended := false
	var toggle func()
	toggle = func() {
		switch {
		case linkFault != nil:
			w.Net.RemoveFault(linkFault)
			linkFault = nil
			noteAll(w, f.Targets, "healed")
		case !ended:
			linkFault = w.Net.AddFault(linksAcross(f), CutLink)
			noteAll(w, f.Targets, "cut off")
		}
		if !ended {
			w.After(f.Delay, toggle)
		}
	}
	toggle()
	return func() { ended = true; toggle() }
}
