package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// TestIslands: nodes that all have all addresses and start together meet in two islands, as it happens when their first
// questions go that way (here for a second). Each goes on through its seeds and does not wait for the slow round.
func TestIslands(t *testing.T) {
	w := newNetwork(t, 7)
	island := func(n *node) bool { return n.name < "n2" }
	w.cut = func(from, to *node) bool { return w.now < time.Second && island(from) != island(to) }
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
			t.Errorf("after 3 s %s knows %d of %d", n.name, len(v.Members), len(w.nodes))
		}
	}
}
