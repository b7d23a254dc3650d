package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Nodes that start together, with all addresses as seeds, meet in two separate groups if their first pings go
// that way (here because of a cut of one second). Each node continues to ping its seeds and does not wait for
// the slow round of pings to seeds, so that the groups have joined after 3 s.
func TestSeparateGroupsAtStartJoinThroughSeeds(t *testing.T) {
	w := newNetwork(t, 7)
	island := func(n *node) bool { return n.name < "n2" }
	w.isCut = func(from, to *node) bool { return w.now < time.Second && island(from) != island(to) }
	const n = 5
	var seeds []netip.AddrPort
	for i := range n {
		seeds = append(seeds, addrOf(i))
	}
	for i := range n {
		cfg := w.config(i, fmt.Sprint("n", i), uint64(1000+i))
		cfg.Seeds = seeds
		w.start(cfg)
	}
	w.run(3 * time.Second)
	for _, n := range w.nodes {
		if v, first := n.View(), w.nodes[0].View(); len(v.Members) != len(w.nodes) || v.Digest != first.Digest {
			t.Errorf("after 3 s %s knows %d of %d members", n.name, len(v.Members), len(w.nodes))
		}
	}
}
