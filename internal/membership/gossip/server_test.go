package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
)

const awaitTimeout = 30 * time.Second // only a hang takes so long

// network carries datagrams between servers by address.
type network struct{ servers sync.Map }

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func (net *network) start(ctx context.Context, i int, handoff *Handoff) *Server {
	s := Start(ctx, Config{Fleet: "f", Name: string(rune('a' + i)), Number: -1, Addr: addr(i), Seeds: []netip.AddrPort{addr(0)}, ProbeInterval: 20 * time.Millisecond,
		LocalState: func() (membership.State, uint16) { return membership.Serving, 7 }, Log: slog.New(slog.DiscardHandler), Handoff: handoff,
		Send: func(to netip.AddrPort, data []byte) {
			if s, ok := net.servers.Load(to); ok {
				s.(*Server).Receive(addr(i), data)
			}
		}})
	net.servers.Store(addr(i), s)
	return s
}

// await waits until wanted returns true for a server's report, and returns that report.
func await(t *testing.T, s *Server, condition string, wanted func(Report) bool) (r Report) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	for {
		r, ok := s.Report(ctx)
		if !ok {
			t.Fatalf("%s: no report in time: %+v", condition, r)
		}
		if wanted(r) {
			return r
		}
		time.Sleep(time.Millisecond)
	}
}

func healthSummary(r Report) (summary string) {
	for _, m := range r.Members {
		summary += m.Name + " " + m.Health + " "
	}
	return summary
}

// New versions reach the other node, a generation is handed over, a leave is broadcast, the metrics are
// right, and no goroutine remains.
func TestServerSpreadsMetadataHandsOverAndLeaves(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	net := &network{}
	a, b := net.start(ctx, 0, nil), net.start(ctx, 1, nil)
	b.SetVersions(3, 4)
	r := await(t, a, "b and its versions", func(r Report) bool {
		return len(r.Members) == 2 && r.Members[1].Catalogue == 3 && r.Members[1].Policy == 4 && r.Members[1].Load == 7
	})
	// b hands over the addresses of the living members that it has seen itself.
	await(t, b, "a", func(r Report) bool { return healthSummary(r) == "a alive b alive " })
	h := b.HandOver()
	if h.Generation != r.Members[1].Generation || h.State != membership.Serving || len(h.Join) != 1 || h.Join[0] != addr(0) {
		t.Errorf("handed over %+v of %+v", h, r)
	}
	next := net.start(ctx, 1, h)
	await(t, a, "the next process", func(r Report) bool {
		if m := r.Members[1]; m.Health != "alive" || m.Generation != h.Generation {
			t.Fatalf("during an upgrade the node is seen as %+v", m)
		}
		return r.Members[1].Incarnation > h.Incarnation
	})
	await(t, next, "a", func(r Report) bool { return healthSummary(r) == "a alive b alive " }) // a leave is only sent to members that the node knows
	leave, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	next.Leave(leave)
	await(t, a, "b has left", func(r Report) bool { return healthSummary(r) == "a alive b left " })
	var text strings.Builder
	a.WriteStats(&text)
	if !strings.HasPrefix(text.String(), "app.fleet.alive:1|g\napp.fleet.suspect:0|g\napp.fleet.dead:0|g\napp.fleet.changes:") {
		t.Errorf("metrics %s", text.String())
	}
	stop()
	<-a.ended
	if a.Leave(t.Context()); a.HandOver() == nil {
		t.Error("an ended server gives no handoff")
	}
}

// Whatever strangers send, a bounded number of their datagrams reaches the owner, and all datagrams of
// members do.
func TestStrangersAreRateLimitedAndMembersAreNot(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	net := &network{}
	a, b := net.start(ctx, 0, nil), net.start(ctx, 1, nil)
	await(t, a, "b", func(r Report) bool { return healthSummary(r) == "a alive b alive " })
	rng := rand.New(rand.NewPCG(4, 2))
	begun, before := time.Now(), a.received.read().Datagrams
	const flood = 100_000
	for i := range flood {
		d := wire.Datagram{Header: wire.Header{Kind: wire.Ping, Fleet: wire.FleetHash("f"), Sender: rng.Uint64(), Generation: 1}}
		data := d.Encode()
		if i%3 == 0 {
			data[rng.IntN(5)] ^= byte(1 + rng.IntN(255))
		}
		a.Receive(netip.AddrPortFrom(addr(2+i%200).Addr(), uint16(i)), data)
	}
	maxFromStrangers := int64(strangerBurst + strangerRate*time.Since(begun).Seconds() + 1)
	reached := a.received.read().Datagrams - before - a.received.dropped.Load()
	if fromMembers := a.received.read().Datagrams - before - flood; reached > maxFromStrangers+fromMembers {
		t.Errorf("%d datagrams reached the owner, want at most %d of strangers and %d of members", reached, maxFromStrangers, fromMembers)
	}
	await(t, a, "b still", func(r Report) bool { return healthSummary(r) == "a alive b alive " })
	await(t, b, "a still", func(r Report) bool { return healthSummary(r) == "a alive b alive " })
	stop()
	<-a.ended
	<-b.ended
}
