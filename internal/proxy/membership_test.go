package proxy

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// withMembership configures c as a member of a fleet, with a peer socket at a free port.
func withMembership(t testing.TB, c *Config, join ...netip.AddrPort) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(socket)
	a := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	c.Name, c.PeerListen, c.Settings.AllowGossip = "n"+a.String()[len("127.0.0.1:"):], a.String(), true
	c.Membership = MembershipConfig{Name: "windhoek", Join: join, Address: a}
}

// TestDatagramsAreDispatchedByFirstFourBits: a datagram whose kind (the first four bits) has a handler is
// accepted from any address. Load messages are accepted only from peers.
func TestDatagramsAreDispatchedByFirstFourBits(t *testing.T) {
	peer, peerAddr := udpSocket(t)
	stranger, _ := udpSocket(t)
	p, err := listenPeers("127.0.0.1:0", []netip.AddrPort{peerAddr}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 10)
	p.handlers[0x6] = func(_ netip.AddrPort, data []byte) { received <- "handled " + string(data[1:]) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { received <- "load " + string(data[1:]) })
	ownAddr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, m := range []struct {
		from *net.UDPConn
		text string
	}{{stranger, "\x60a"}, {stranger, "\x01b"}, {stranger, "\x40c"}, {peer, "\x6fd"}, {peer, "\x40e"}, {peer, "\x01f"}} {
		if _, err := m.from.WriteToUDPAddrPort([]byte(m.text), ownAddr); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"handled a", "handled d", "load e", "load f"} {
		if got := wait(t, received, want); got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	}
}

// TestMembershipNeedsGossip: if the settings don't allow gossip, the proxy has no membership and logs the
// reason.
func TestMembershipNeedsGossip(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		cfg := testConfig("127.0.0.1:1")
		withMembership(t, &cfg)
		cfg.Settings.AllowGossip = allowed
		var logged bytes.Buffer
		srv := New(cfg, slog.New(slog.NewTextHandler(&logged, nil)))
		ctx, stop := context.WithCancel(t.Context())
		srv.loopContext = ctx
		if srv.lacksPeerSocket() {
			srv.listenPeers(ctx)
		}
		rec := httptest.NewRecorder()
		srv.controlMux().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/fleet", nil))
		if want := map[bool]int{false: 404, true: 200}[allowed]; rec.Code != want {
			t.Errorf("gossip allowed %v: status %d, want %d: %s", allowed, rec.Code, want, rec.Body.String())
		}
		if strings.Contains(logged.String(), membershipOffMessage) == allowed {
			t.Errorf("gossip allowed %v: the log is %q", allowed, logged.String())
		}
		stop()
	}
}

// BenchmarkInFleet measures the GET request of BenchmarkWhole in a proxy that is a member of a fleet of two.
func BenchmarkInFleet(b *testing.B) {
	first := netip.AddrPort{}
	benchProxy(b, 0, func(c *Config) { withMembership(b, c); first = c.Membership.Address })
	c := benchProxy(b, 0, func(c *Config) { withMembership(b, c, first) })
	time.Sleep(time.Second) // the second proxy joins the first in this time
	benchRequests(b, c, "GET", "saldo", 0)
}
