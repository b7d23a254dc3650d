package spec

// What a fault may be, and to whom it may be done.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// act is what a fault may be.
type act struct {
	on    string          // what it is done to: node, link, backend or discovery
	lasts bool            // it needs a length
	keys  map[string]bool // what else it takes
	needs []string        // of them
	about string
}

func keys(names ...string) map[string]bool {
	all := map[string]bool{}
	for _, n := range names {
		all[n] = true
	}
	return all
}

// acts are all faults and orders, by the name that a file gives them.
var acts = map[string]act{
	"kill":    {on: "node", lasts: true, about: "SIGKILL; started again after for"},
	"pause":   {on: "node", lasts: true, about: "SIGSTOP, and SIGCONT after for"},
	"join":    {on: "node", about: "a node that was absent so far is started"},
	"restart": {on: "node", about: "SIGTERM, and started again once it has ended"},
	"upgrade": {
		on:    "node",
		about: "a new process beside the old one, which gets SIGTERM once the new one says yes",
	},
	"cut": {
		on:    "link",
		lasts: true,
		keys:  keys("way"),
		about: "nothing passes and nothing is said; new connections never come up",
	},
	"mute":   {on: "link", lasts: true, keys: keys("way"), about: "connections come up, but nothing passes"},
	"refuse": {on: "link", lasts: true, about: "new connections are refused"},
	"reset": {
		on:    "link",
		keys:  keys("every"),
		about: "open connections are reset; with every and for, again and again",
	},
	"shape": {
		on:    "link",
		lasts: true,
		keys:  keys("delay", "jitter", "loss", "rate"),
		about: "what passes is late, lost or slow",
	},
	"snip": {
		on:    "link",
		lasts: true,
		keys:  keys("bytes"),
		needs: []string{"bytes"},
		about: "connections are reset after 1 to bytes bytes, anywhere in a message",
	},
	"slow": {
		on:    "box",
		lasts: true,
		keys:  keys("times"),
		needs: []string{"times"},
		about: "works so many times slower",
	},
	"hang": {on: "box", lasts: true, about: "takes work and answers nothing"},
	"errors": {
		on:    "box",
		lasts: true,
		keys:  keys("part"),
		needs: []string{"part"},
		about: "that part of its requests fails at once",
	},
	"neighbour": {
		on:    "box",
		lasts: true,
		keys:  keys("part"),
		needs: []string{"part"},
		about: "another program takes that part of it",
	},
	"crash": {on: "box", lasts: true, about: "its process dies; it returns cold after for"},
	"vanish": {
		on:    "box",
		lasts: true,
		about: "its machine is lost without a word; it returns cold after for",
	},
	"drain": {on: "box", lasts: true, about: "listed as draining, then gone; it returns cold after for"},
	"full":  {on: "replica", lasts: true, about: "its disk takes nothing"},
	"corrupt": {
		on:    "replica",
		lasts: true,
		about: "SIGKILL, its log is spoilt, and it is started after for, or replaced if it notices",
	},
	"move": {
		on:    "discovery",
		about: "discovery gets another address, told by SIGHUP; the old one ends after 1.5 s",
	},
}

func exclusive(do string) bool {
	switch do {
	case "kill", "pause", "restart", "join", "upgrade", "crash", "vanish", "drain", "full", "corrupt":
		return true
	}
	return false
}

// Acts lists what a fault may do, for a reader.
func Acts() []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(acts)) {
		all = append(all, fmt.Sprintf("%-10s %-9s %s", name, acts[name].on, acts[name].about))
	}
	slices.SortStableFunc(
		all,
		func(a, b string) int { return cmp.Compare(strings.Fields(a)[1], strings.Fields(b)[1]) },
	)
	return all
}
