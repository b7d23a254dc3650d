package membership

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"wrenspread/internal/membership/wire"
)

// A flood of garbage, of datagrams of another fleet and of invented names causes a bounded number of answers
// and of members, and does not change what the node knows of its fleet.
func TestFloodIsBoundedAndChangesNothing(t *testing.T) {
	net, nodes := settledFleet(t, 31, 5)
	n := nodes[1]
	n.cfg.MaxMembers = 100
	other := New(Config{Fleet: "other", Name: "n9"}, 0)
	stranger := New(Config{Fleet: "books", Name: "ghost", Addr: addrOf(500)}, 0)
	digest, sent := n.digest, n.Stats().Sent
	for i := range 20000 {
		garbage := make([]byte, net.rng.IntN(300))
		for j := range garbage {
			garbage[j] = byte(net.rng.Uint32())
		}
		net.handle(n, Received{addrOf(500), garbage})
		net.handle(n, Received{addrOf(500), other.appendBroadcasts(other.newNumbered(wire.Ping, uint32(i), 0))})
		foreign := stranger.newNumbered(wire.Ping, uint32(i), 0)
		binary.BigEndian.PutUint64(foreign[5:], uint64(i)+1)
		net.handle(n, Received{addrOf(500), foreign})
	}
	if n.digest != digest || n.Stats().Sent-sent > strangersPerPeriod+10 || len(n.changes) > 10 {
		t.Errorf("the flood changed the view or was answered %d times", n.Stats().Sent-sent)
	}
	for i := range 500 {
		stranger.self.statement.Name = fmt.Sprintf("ghost-%d", i)
		stranger.self.hash = wire.Hash(stranger.self.statement.Name)
		net.handle(n, Received{addrOf(500), stranger.appendBroadcasts(stranger.newHeader(wire.Gossip), stranger.self)})
	}
	if s := n.Stats(); s.Members != 100 || s.Refused != 500-95 {
		t.Errorf("%d members remembered, %d refused", s.Members, s.Refused)
	}
	if got := n.View().Serving(); len(slices.DeleteFunc(got, func(s string) bool { return s[0] == 'g' })) != 5 {
		t.Errorf("serving: %v", got)
	}
}

// Load notes of older nodes, package quota's datagrams and kinds of newer versions are dropped. Older nodes
// drop the datagrams of this version, since all their kinds are above those that older nodes know.
func TestDatagramsOfOtherKindsAreDropped(t *testing.T) {
	net, nodes := settledFleet(t, 32, 3)
	good := nodes[0].appendBroadcasts(nodes[0].newHeader(wire.Gossip))
	for _, kind := range []byte{0, 1, 0x3f, 0x4a, 0x5f, 0x60, 0x6f, 0x70, 0xff} {
		b := slices.Clone(good)
		b[0] = kind
		before := nodes[1].Stats()
		for _, data := range [][]byte{b, {kind, 1, 2, 3, 4, 5}, {kind, 1, 2, 3, 4, 5, 6}} {
			net.handle(nodes[1], Received{addrOf(0), data})
		}
		if s := nodes[1].Stats(); s.Dropped != before.Dropped+3 || s.Received != before.Received {
			t.Errorf("kind %#x was not dropped", kind)
		}
	}
	for _, n := range nodes {
		for kind := range n.sentByKind {
			if n.sentByKind[kind] > 0 && (kind < 0x40 || kind >= 0x60) {
				t.Errorf("sent kind %#x", kind)
			}
		}
	}
}

// New load is sent without a new incarnation and without a change of the digest. Other new metadata is sent
// with a new incarnation.
func TestNewMetadataExceptLoadRaisesIncarnation(t *testing.T) {
	net, nodes := settledFleet(t, 33, 5)
	metadata := nodes[2].self.statement.Metadata
	digest := nodes[2].digest
	metadata.Load = 700
	net.handle(nodes[2], MetadataChanged{metadata})
	net.run(2 * time.Second)
	if m := nodes[0].viewOf("n2"); m.Metadata.Load != 700 || m.Incarnation != 0 || nodes[0].digest != digest {
		t.Errorf("load: %+v", m)
	}
	metadata.Catalogue, metadata.State = 9, Draining
	net.handle(nodes[2], MetadataChanged{metadata})
	took, ok := net.runUntil(3*time.Second, func() bool { return nodes[0].viewOf("n2").Metadata == metadata })
	if m := nodes[0].viewOf("n2"); !ok || m.Incarnation != 1 || slices.Contains(nodes[0].View().Serving(), "n2") {
		t.Errorf("metadata: %+v", m)
	}
	t.Logf("new metadata known after %v", took)
	metadata.Zone = "a zone with far too long a name"
	net.handle(nodes[2], MetadataChanged{metadata})
	if len(nodes[2].otherActions) != 1 {
		t.Errorf("metadata out of bounds: %v", nodes[2].otherActions)
	}
}

// The same events and seeds give the same views and counters.
func TestSameEventsAndSeedsGiveSameViews(t *testing.T) {
	run := func() (s string) {
		net, nodes := settledFleet(t, 34, 9)
		net.lossRate = 0.2
		nodes[5].running = false
		net.run(20 * time.Second)
		for _, n := range nodes {
			s += fmt.Sprintf("%x %d %+v\n", n.digest, n.version, n.Stats())
		}
		return s
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}
