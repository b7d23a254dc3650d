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

// inFleet has a configuration keep the view of a fleet, at a socket of its own.
func inFleet(t testing.TB, c *Config, join ...netip.AddrPort) {
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(free)
	a := free.LocalAddr().(*net.UDPAddr).AddrPort()
	c.Name, c.PeerListen, c.Settings.AllowGossip = "n"+a.String()[len("127.0.0.1:"):], a.String(), true
	c.Membership = MembershipConfig{Name: "windhoek", Join: join, Address: a}
}

// TestDatagramsGoByTheirFirstByte: a kind that somebody takes is taken from whoever sends it; load notes are the peers' alone.
func TestDatagramsGoByTheirFirstByte(t *testing.T) {
	peer, peerAddr := udpSocket(t)
	stranger, _ := udpSocket(t)
	p, err := listenPeers("127.0.0.1:0", []netip.AddrPort{peerAddr}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan string, 10)
	p.handlers[0x6] = func(_ netip.AddrPort, data []byte) { heard <- "claim " + string(data[1:]) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { heard <- "note " + string(data[1:]) })
	here := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, m := range []struct {
		from *net.UDPConn
		text string
	}{{stranger, "\x60a"}, {stranger, "\x01b"}, {stranger, "\x40c"}, {peer, "\x6fd"}, {peer, "\x40e"}, {peer, "\x01f"}} {
		if _, err := m.from.WriteToUDPAddrPort([]byte(m.text), here); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"claim a", "claim d", "note e", "note f"} {
		if got := wait(t, heard, want); got != want {
			t.Errorf("heard %q, want %q", got, want)
		}
	}
}

// TestViewNeedsMessages: where the settings allow none between proxies, there is no view, and the log says why.
func TestViewNeedsMessages(t *testing.T) {
	for _, may := range []bool{false, true} {
		cfg := testConfig("127.0.0.1:1")
		inFleet(t, &cfg)
		cfg.Settings.AllowGossip = may
		var said bytes.Buffer
		n := New(cfg, slog.New(slog.NewTextHandler(&said, nil)))
		ctx, stop := context.WithCancel(t.Context())
		n.loopContext = ctx
		if n.lacksPeerSocket() {
			n.listenPeers(ctx)
		}
		rec := httptest.NewRecorder()
		n.controlMux().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/fleet", nil))
		if want := map[bool]int{false: 404, true: 200}[may]; rec.Code != want {
			t.Errorf("messages %v: status %d, want %d: %s", may, rec.Code, want, rec.Body.String())
		}
		if strings.Contains(said.String(), membershipOffMessage) == may {
			t.Errorf("messages %v: the log says %q", may, said.String())
		}
		stop()
	}
}

// BenchmarkInFleet is the same request as BenchmarkWhole's, in a proxy that keeps a view with another one.
func BenchmarkInFleet(b *testing.B) {
	first := netip.AddrPort{}
	benchNode(b, 0, func(c *Config) { inFleet(b, c); first = c.Membership.Address })
	c := benchNode(b, 0, func(c *Config) { inFleet(b, c, first) })
	time.Sleep(time.Second) // they have met
	benchRequests(b, c, "GET", "saldo", 0)
}
