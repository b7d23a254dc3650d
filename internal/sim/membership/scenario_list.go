package membership

import (
	"time"

	"wrenspread/internal/sim"
)

const second = time.Second

// fault returns a fault of a kind that begins at a time after the warm-up.
func fault(kind string, targets []string, at, length time.Duration) sim.Fault {
	return sim.Fault{Kind: kind, Targets: targets, At: at, Duration: length}
}

// Scenarios returns the scenarios whose drawings are in testdata.
func Scenarios() []Scenario {
	slow := fault("slow pair", []string{"n2", "n5"}, second, 20*second)
	slow.Delay = 700 * time.Millisecond
	flap := fault("flap", []string{"n3"}, second, 16*second)
	flap.Delay = 2 * second
	late := fault("late", []string{"n3"}, second, 15*second)
	late.Delay = 600 * time.Millisecond
	return []Scenario{
		{
			Name:   "join",
			Nodes:  3,
			Length: 5 * second,
			Caption: "Three nodes start one after the other, and know nothing but the address of n1. Each asks n1, " +
				"and with the answer comes what n1 knows; n1 passes the news of the newcomer on. So all know all " +
				"within moments, though n2 and n3 were never told of each other.",
		},
		{
			Name:      "crash",
			Nodes:     5,
			WarmUp:    10 * second,
			Length:    8 * second,
			NeverDead: []string{"n1", "n2", "n4", "n5"},
			Faults:    []sim.Fault{fault("kill", []string{"n3"}, second, 0)},
			Caption: "n3 is killed. Whoever asks it next gets no answer, neither directly nor through others, and " +
				"none in the next period either: it is a suspect. As no word of its own " +
				"comes within the time that it has to refute, all take it for dead. The time shrinks with independent " +
				"accusers, so one bad link alone kills nobody.",
		},
		{
			Name:   "one-way",
			Nodes:  5,
			WarmUp: 10 * second,
			Length: 25 * second,
			Faults: []sim.Fault{fault("one way", []string{"n2", "n4"}, second, 20*second)},
			Caption: "For 20 s nothing that n2 sends arrives at n4, while all else does. Nobody is suspected: n2 " +
				"has others ask n4 in its place, and hears " +
				"through them that n4 is there; n4's own questions to n2 are answered through others too.",
		},
		{
			Name:   "slow-pair",
			Nodes:  5,
			WarmUp: 10 * second,
			Length: 25 * second,
			Faults: []sim.Fault{slow},
			Caption: "For 20 s what n2 and n5 send each other takes 0.7 s, longer than a period of 0.2 s. Answers " +
				"come too late to count, but those through others come in time, so " +
				"that neither suspects the other.",
		},
		{
			Name:      "pause",
			Nodes:     5,
			WarmUp:    10 * second,
			Length:    15 * second,
			NeverDead: []string{"n1", "n2", "n4", "n5"},
			Faults:    []sim.Fault{fault("pause", []string{"n3"}, second, 10*second)},
			Caption: "n3 stands still for 10 s and is taken for dead. Woken, its clock tells it that it is late: it " +
				"accuses nobody, though none of its questions was answered. " +
				"It hears what is said of it, refutes, and all take it back in the same life, because a pause is no " +
				"restart.",
		},
		{
			Name:      "third",
			Nodes:     6,
			WarmUp:    10 * second,
			Length:    10 * second,
			NeverDead: []string{"n1", "n3", "n4", "n6"},
			Faults:    []sim.Fault{fault("kill", []string{"n2", "n5"}, second, 0)},
			Caption: "A third of the fleet is killed at once. Both are found as fast as one, since each node asks " +
				"and accuses by itself; nobody who lives is taken for dead, " +
				"although questions through the killed ones fail too.",
		},
		{
			Name:      "halves",
			Nodes:     6,
			Seeds:     []string{"n1", "n4"},
			WarmUp:    10 * second,
			Length:    20 * second,
			NeverDead: []string{},
			Columns:   []string{"n1", "n2", "n3", "x", "n4", "n5", "n6", "y"},
			Step:      second / 2,
			MinGap:    2 * second,
			Faults: []sim.Fault{
				fault("halves", []string{"n4", "n5", "n6", "y"}, second, 60*second),
				fault("kill", []string{"n3"}, 15*second, 0),
				fault("kill", []string{"n6"}, 20*second, 0),
				fault("join", []string{"x"}, 25*second, 0),
				fault("join", []string{"y"}, 30*second, 0),
			},
			Caption: "The halves n1 to n3 and n4 to n6 can't reach each other for a minute. Each takes the other " +
				"for dead and goes on: n3 and n6 are killed, x and y join. Dead members are " +
				"still asked now and then, so after the heal one answer is enough: the halves find each other without " +
				"help, and end with one view in which x and y live, n3 and n6 do not.",
		},
		{
			Name:      "flapping",
			Nodes:     5,
			WarmUp:    10 * second,
			Length:    12 * second,
			NeverDead: []string{"n1", "n2", "n4", "n5"},
			Step:      second / 2,
			Faults:    []sim.Fault{flap},
			Caption: "n3 is cut off and healed every 2 s. Each time the others miss it and take it for dead, and " +
				"take it back at its first word. Cut off, n3 suspects one of them, then sees that all of its questions " +
				"fail, " +
				"looks for the fault at itself, and so takes nobody for dead. Once it stays, nothing is left of it.",
		},
		{
			Name:      "late",
			Nodes:     5,
			WarmUp:    10 * second,
			Length:    10 * second,
			NeverDead: []string{"n1", "n2", "n4", "n5"},
			Step:      second,
			Faults:    []sim.Fault{late},
			Caption: "n3 takes up to 0.6 s over whatever it does, for 15 s. It notices that its own timers come " +
				"late, and accuses nobody: the answers are waiting in its own socket. " +
				"The others hear it answer late, and may suspect it; it refutes.",
		},
		{
			Name:   "restart",
			Nodes:  5,
			WarmUp: 10 * second,
			Length: 6 * second,
			Faults: []sim.Fault{fault("kill", []string{"n3"}, second, 100*time.Millisecond)},
			Caption: "n3 is killed and back after 0.1 s, within one probe period, with nothing remembered. Nobody " +
				"has missed it; its first words carry a later life, which " +
				"counts above all that was said of the former, so nobody has to take it for dead first.",
		},
		{
			Name:      "twin",
			Nodes:     4,
			WarmUp:    10 * second,
			Length:    8 * second,
			NeverDead: []string{"n1", "n2", "n4"},
			Columns:   []string{"n1", "n2", "n3", "n3" + twinMark, "n4"},
			Faults:    []sim.Fault{fault("twin", []string{"n3"}, second, 0)},
			Caption: "A second process named n3 starts on another machine while the first runs. The first hears of " +
				"a later life of its name that it never had, and falls silent: of two with one name the " +
				"later keeps it, and the others never hear both by turns.",
		},
		{
			Name:      "leave",
			Nodes:     5,
			WarmUp:    10 * second,
			Length:    8 * second,
			NeverDead: []string{"n1", "n2", "n4", "n5"},
			Faults: []sim.Fault{
				fault("leave", []string{"n2"}, second, 0),
				fault("kill", []string{"n3"}, second, 0),
			},
			Caption: "n2 leaves, n3 is killed at the same moment. What n2 says of itself is known within a second, " +
				"and nobody suspects it: nobody has to find out. " +
				"n3 has said nothing, so it must be missed, suspected and given its time.",
		},
		{
			Name:      "stale",
			Nodes:     4,
			WarmUp:    10 * second,
			Length:    14 * second,
			NeverDead: []string{"n1", "n2", "n4"},
			Step:      second / 2,
			Faults: []sim.Fault{
				fault("kill", []string{"n3"}, second, 4*second),
				fault("stale", []string{"n3"}, 7*second, 5*second),
			},
			Caption: "n3 is killed, taken for dead, and back in a new life. Then for 5 s datagrams of its former " +
				"life arrive again, from its own address. They are of an earlier life, so nobody takes " +
				"up what they say: the view does not change, and n3 is not taken for what it was.",
		},
	}
}
