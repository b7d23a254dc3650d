package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// udpSocket opens a UDP socket on a loopback port.
func udpSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestPeerSocketPassesValidMessagesOnly: the messages of peers are passed on with the peer's index.
// Datagrams that are too long or come from an unknown address are dropped, messages that are too long or have an
// unknown index are not sent, and the socket stays usable.
func TestPeerSocketPassesValidMessagesOnly(t *testing.T) {
	peer, peerAddr := udpSocket(t)
	stranger, _ := udpSocket(t)
	p, err := listenPeers("127.0.0.1:0", []netip.AddrPort{{}, peerAddr}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type message struct {
		from int
		data []byte
	}
	got, ended := make(chan message, 10), make(chan struct{})
	go func() {
		defer close(ended)
		p.run(ctx, func(from int, data []byte) { got <- message{from, data} })
	}()
	ownAddr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, m := range []struct {
		from *net.UDPConn
		data []byte
	}{
		{stranger, []byte("unknown")}, {peer, bytes.Repeat([]byte("x"), maxPeerMessageBytes+1)}, {stranger, nil},
		{peer, bytes.Repeat([]byte("y"), maxPeerMessageBytes)}, {peer, nil}, {peer, []byte("end")},
	} {
		if _, err := m.from.WriteToUDPAddrPort(m.data, ownAddr); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range [][]byte{bytes.Repeat([]byte("y"), maxPeerMessageBytes), {}, []byte("end")} {
		select {
		case m := <-got:
			if m.from != 1 || !bytes.Equal(m.data, want) {
				t.Errorf("%d bytes from %d, want %d from 1", len(m.data), m.from, len(want))
			}
		case <-time.After(10 * time.Second):
			t.Fatal("timed out waiting for a message")
		}
	}
	p.send(0, []byte("nobody")) // peer 0 has no valid address
	p.send(7, []byte("nobody"))
	p.send(-1, []byte("nobody"))
	p.send(1, bytes.Repeat([]byte("z"), maxPeerMessageBytes+1))
	p.send(1, []byte("hello"))
	besteffort.SocketOption(peer.SetReadDeadline(time.Now().Add(10 * time.Second)))
	buf := make([]byte, 512)
	if n, from, err := peer.ReadFromUDPAddrPort(buf); err != nil || from != ownAddr || string(buf[:n]) != "hello" {
		t.Errorf("received %q from %v, %v, want hello from the peer socket", buf[:n], from, err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("run does not return after its context has ended")
	}
}

// TestProxyExchangesMessagesWithPeers: a running proxy sends the balancer's messages to its peers. It
// continues to run after a peer has sent an invalid message.
func TestProxyExchangesMessagesWithPeers(t *testing.T) {
	peer, addr := udpSocket(t)
	c := testConfig("127.0.0.1:1")
	c.Settings.Proxies, c.Settings.ProxyIndex, c.Settings.AllowGossip = 2, 0, true
	c.PeerListen, c.Peers = "127.0.0.1:0", []netip.AddrPort{{}, addr}
	srv := New(c, discardLog)
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	srv.frontend.waitForLateConns = func() {}
	go func() { ended <- srv.Run(ctx, ln) }()
	srv.post(func() {
		srv.carryOut(balancer.SendMessage{To: 1, Data: []byte("one")})
		srv.carryOut(balancer.SendMessage{ToAll: true, Data: []byte("all")})
	})
	besteffort.SocketOption(peer.SetReadDeadline(time.Now().Add(10 * time.Second)))
	buf := make([]byte, 512)
	for _, want := range []string{"one", "all"} {
		size, from, err := peer.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:size]) != want {
			t.Fatalf("%q, %v, want %q", buf[:size], err, want)
		}
		if _, err := peer.WriteToUDPAddrPort([]byte("\xff invalid"), from); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the proxy does not end")
	}
}

// TestListenPeersRejectsUnusableAddresses: an address in use and an invalid address give errors. Without an
// address there is no socket, and send does nothing.
func TestListenPeersRejectsUnusableAddresses(t *testing.T) {
	socketInUse, addr := udpSocket(t)
	defer besteffort.Close(socketInUse)
	if p, err := listenPeers(addr.String(), []netip.AddrPort{addr}, discardLog); err == nil {
		t.Errorf("listening on an address in use returns %v, want an error", p)
	}
	if p, err := listenPeers("nonsense", []netip.AddrPort{addr}, discardLog); err == nil {
		t.Errorf("listening on an invalid address returns %v, want an error", p)
	}
	p, err := listenPeers("", nil, discardLog)
	if p != nil || err != nil {
		t.Errorf("listening without an address returns %v, %v, want no socket and no error", p, err)
	}
	p.send(0, []byte("x"))
}

// TestSplitRequestsAndResponsesAreReadCorrectly: requests and responses are read correctly at whichever byte
// they are split into two writes.
func TestSplitRequestsAndResponsesAreReadCorrectly(t *testing.T) {
	const responses = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-App: a, b\r\n\r\n" +
		"5;ext=1\r\nhello\r\n6;x=\"y\"\r\n world\r\n0\r\nX-T: t\r\n\r\n"
	const sent = "POST /api/a%%2Fb?c=d HTTP/1.1\r\nhost: app.svc\r\nx-request-id: q%d\r\nX-CLASS:pagar\r\nX-Deadline:  20 \r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nX-Trailer: t\r\n\r\n"
	var splitAt atomic.Int64
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil || string(body) != "abcd" || req.RequestURI != "/api/a%2Fb?c=d" {
				t.Errorf("the backend received %q for %s, %v", body, req.RequestURI, err)
			}
			offset := splitAt.Load()
			besteffort.Output(io.WriteString(c, responses[:offset]))
			besteffort.Output(io.WriteString(c, responses[offset:]))
		}
	}))
	for i := range max(len(sent), len(responses)) {
		c := srv.dial(t)
		request := fmt.Sprintf(sent, i)
		splitAt.Store(int64(min(i, len(responses))))
		offset := min(i, len(request))
		besteffort.Output(io.WriteString(c, request[:offset]))
		besteffort.Output(io.WriteString(c, request[offset:]))
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatalf("split at %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(body) != "hello world" || resp.Header.Get("X-App") != "a, b" {
			t.Errorf("split at %d: %s %q %v", i, resp.Status, body, err)
		}
		besteffort.Close(c)
	}
}
