package spec

// This file lists the kinds of faults, with the parties that each acts on and the keys that it accepts.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// faultKind describes one kind of fault: its target and the keys that an experiment file may give for it.
type faultKind struct {
	target       string          // the kind of party that it acts on: node, link, box, replica or discovery
	hasLength    bool            // the fault lasts for a time, so its key "for" is required
	allowedKeys  map[string]bool // keys that the fault accepts in addition to the common ones
	requiredKeys []string        // the keys among allowedKeys that have to be given
	description  string          // printed by the lab
}

func keySet(names ...string) map[string]bool {
	keys := map[string]bool{}
	for _, n := range names {
		keys[n] = true
	}
	return keys
}

// faultKinds holds all kinds of faults and of operators' actions, by their name in experiment files.
var faultKinds = map[string]faultKind{
	"kill":    {target: "node", hasLength: true, description: "SIGKILL; started again after for"},
	"pause":   {target: "node", hasLength: true, description: "SIGSTOP, and SIGCONT after for"},
	"join":    {target: "node", description: "a node that was absent so far is started"},
	"restart": {target: "node", description: "SIGTERM, and started again once it has ended"},
	"upgrade": {
		target:      "node",
		description: "a new process beside the old one, which gets SIGTERM once the new one says yes",
	},
	"cut": {
		target:      "link",
		hasLength:   true,
		allowedKeys: keySet("way"),
		description: "nothing passes and nothing is said; new connections never come up",
	},
	"mute": {target: "link", hasLength: true, allowedKeys: keySet("way"),
		description: "connections come up, but nothing passes"},
	"refuse": {target: "link", hasLength: true, description: "new connections are refused"},
	"reset": {
		target:      "link",
		allowedKeys: keySet("every"),
		description: "open connections are reset; with every and for, again and again",
	},
	"shape": {
		target:      "link",
		hasLength:   true,
		allowedKeys: keySet("delay", "jitter", "loss", "rate"),
		description: "what passes is late, lost or slow",
	},
	"snip": {
		target:       "link",
		hasLength:    true,
		allowedKeys:  keySet("bytes"),
		requiredKeys: []string{"bytes"},
		description:  "connections are reset after 1 to bytes bytes, anywhere in a message",
	},
	"slow": {
		target:       "box",
		hasLength:    true,
		allowedKeys:  keySet("times"),
		requiredKeys: []string{"times"},
		description:  "works so many times slower",
	},
	"hang": {target: "box", hasLength: true, description: "takes work and answers nothing"},
	"errors": {
		target:       "box",
		hasLength:    true,
		allowedKeys:  keySet("part"),
		requiredKeys: []string{"part"},
		description:  "that part of its requests fails at once",
	},
	"neighbour": {
		target:       "box",
		hasLength:    true,
		allowedKeys:  keySet("part"),
		requiredKeys: []string{"part"},
		description:  "another program takes that part of it",
	},
	"crash": {target: "box", hasLength: true, description: "its process dies; it returns cold after for"},
	"vanish": {
		target:      "box",
		hasLength:   true,
		description: "its machine is lost without a word; it returns cold after for",
	},
	"drain": {target: "box", hasLength: true,
		description: "listed as draining, then gone; it returns cold after for"},
	"full": {target: "replica", hasLength: true, description: "its disk takes nothing"},
	"corrupt": {
		target:      "replica",
		hasLength:   true,
		description: "SIGKILL, its log is spoilt, and it is started after for, or replaced if it notices",
	},
	"move": {
		target:      "discovery",
		description: "discovery gets another address, told by SIGHUP; the old one ends after 1.5 s",
	},
}

// exclusive reports whether a fault stops or starts its target or damages its disk. Two exclusive faults may
// not overlap on one target.
func exclusive(do string) bool {
	switch do {
	case "kill", "pause", "restart", "join", "upgrade", "crash", "vanish", "drain", "full", "corrupt":
		return true
	}
	return false
}

// FaultDescriptions returns one line of description for each kind of fault, sorted by target.
func FaultDescriptions() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(faultKinds)) {
		lines = append(
			lines,
			fmt.Sprintf("%-10s %-9s %s", name, faultKinds[name].target, faultKinds[name].description))
	}
	slices.SortStableFunc(
		lines,
		func(a, b string) int { return cmp.Compare(strings.Fields(a)[1], strings.Fields(b)[1]) },
	)
	return lines
}
