package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Nodes that start together, with all addresses as seeds, can form two separate groups by their first pings
// (here because the network is cut for one second). Each node continues to ping one seed in each period in
// the first round of seeds, so that the groups have joined after 3 s.
func TestSeparateGroupsAtStartJoinThroughSeeds(t *testing.T) {
	net := newNetwork(t, 7)
	inFirstGroup := func(n *node) bool { return n.name < "n2" }
	net.isCut = func(from, to *node) bool { return net.now < time.Second && inFirstGroup(from) != inFirstGroup(to) }
	const nodeCount = 5
	var seeds []netip.AddrPort
	for i := range nodeCount {
		seeds = append(seeds, addrOf(i))
	}
	for i := range nodeCount {
		cfg := net.config(i, fmt.Sprint("n", i), uint64(1000+i))
		cfg.Seeds = seeds
		net.start(cfg)
	}
	net.run(3 * time.Second)
	for _, n := range net.nodes {
		if v, first := n.View(), net.nodes[0].View(); len(v.Members) != len(net.nodes) || v.Digest != first.Digest {
			t.Errorf("after 3 s %s knows %d of %d members", n.name, len(v.Members), len(net.nodes))
		}
	}
}
