package proxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestOldProcessContinuesWhenNewProcessEndsBeforeReady: the old process continues to serve, gets its full
// limits back, and accepts the next new process.
func TestOldProcessContinuesWhenNewProcessEndsBeforeReady(t *testing.T) {
	dir := handoffDir(t)
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	fullLimit := n.maxBackendConns()
	for range 2 {
		o := dialHandoff(t, dir)
		o.send(t, helloLine)
		if m := o.receive(t, kindState); len(m.Learned.Endpoints) != 1 || m.Names["s-0"] != m.Learned.Endpoints[0].ID {
			t.Errorf("state %+v", m)
		}
		if halved := n.maxBackendConns(); halved > fullLimit/2 {
			t.Errorf("the limit is %d of %d connections, want half", halved, fullLimit)
		}
		second := dialHandoff(t, dir)
		second.send(t, helloLine)
		second.receive(t, kindRefused) // one new process at a time
		besteffort.Close(o)
		for until := time.Now().Add(enough); n.maxBackendConns() != fullLimit; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the full limit of connections is not restored")
			}
		}
		if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 || a.header.Get("Connection") == "close" {
			t.Errorf("answer %+v", a)
		}
	}
}

// TestInvalidHandoffMessagesAreHarmless: invalid first messages get a close without an answer, and unexpected
// messages on a link are ignored.
func TestInvalidHandoffMessagesAreHarmless(t *testing.T) {
	dir := handoffDir(t)
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	for _, noise := range []string{"", "\n", "{}", `{"v":2,"kind":"hello"}`, `{"v":1,"kind":"ready"}`, "GET / HTTP/1.1\r\n\r\n",
		`[1]`, "\x00\xff"} {
		o := dialHandoff(t, dir)
		o.send(t, noise)
		besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough)))
		if b, err := io.ReadAll(o); err != nil && !strings.Contains(err.Error(), "reset") || len(b) > 0 {
			t.Errorf("%q is answered %q, %v, want a close", noise, b, err)
		}
	}
	o := dialHandoff(t, dir)
	o.send(t, helloLine)
	o.receive(t, kindState)
	o.send(t, `{"kind":"odd"}`)
	o.send(t, `{"kind":"done","number":77}`)
	o.send(t, `{"kind":"yours"}`)
	o.send(t, `{"kind":"call","backend":"nobody","on":true,"number":5}`)
	if m := o.receive(t, kindDone); m.Number != 5 {
		t.Errorf("answer %+v", m)
	}
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}

// TestStopBeforeTheNewProcessIsReady: SIGTERM before the handoff stops the old process as usual, and the new
// process notices it by the end of the link.
func TestStopBeforeTheNewProcessIsReady(t *testing.T) {
	dir := handoffDir(t)
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	o := dialHandoff(t, dir)
	o.send(t, helloLine)
	o.receive(t, kindState)
	n.stop()
	n.linger()
	if err := wait(t, n.ended, "the proxy's end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
	if _, err := io.ReadAll(o); err != nil {
		t.Errorf("the link ends with %v", err)
	}
}

// TestPeersSocketIsHandedOver: only the new process reads what other proxies send, and both processes send
// from the same address.
func TestPeersSocketIsHandedOver(t *testing.T) {
	dir := handoffDir(t)
	conn, ownAddr := udpSocket(t)
	peerConn, peerAddr := udpSocket(t)
	old := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, serving(t))
	heard := make(chan string, 10)
	p := newPeerSocket(conn, []netip.AddrPort{ownAddr, peerAddr}, quiet)
	old.peers.Store(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { heard <- "old " + string(data) })
	besteffort.Datagram(peerConn.WriteToUDPAddrPort([]byte("1"), ownAddr))
	if got := wait(t, heard, "a message"); got != "old 1" {
		t.Errorf("heard %q", got)
	}
	o := dialHandoff(t, dir)
	o.send(t, helloLine)
	o.receive(t, kindState)
	l := newHandoffLink(o.UnixConn)
	o.send(t, `{"kind":"ready"}`)
	if m, err := l.receive(time.Now().Add(enough)); err != nil || m.Kind != kindRelease || len(l.descriptors) != 1 {
		t.Fatalf("%+v, %v, descriptors %v", m, err, l.descriptors)
	}
	next := &Server{log: quiet, config: Config{PeerListen: ownAddr.String(), Peers: []netip.AddrPort{ownAddr, peerAddr}}, inbox: make(chan func(), 10),
		ended: make(chan struct{}), loopState: loopState{loopContext: ctx}}
	next.takePeerSocket(l, nil)
	besteffort.Datagram(peerConn.WriteToUDPAddrPort([]byte("2"), ownAddr))
	wait(t, next.inbox, "the message at the new process")
	buf := make([]byte, 10)
	for i, n := range []*peerSocket{old.peers.Load(), next.peers.Load()} {
		n.send(1, []byte("x"))
		besteffort.SocketOption(peerConn.SetReadDeadline(time.Now().Add(enough)))
		if _, from, err := peerConn.ReadFromUDPAddrPort(buf); err != nil || from != ownAddr {
			t.Errorf("process %d sends from %v, %v", i, from, err)
		}
	}
	select {
	case got := <-heard:
		t.Errorf("the old process heard %q", got)
	default:
	}
	if _, err := net.Dial("tcp", old.address); err == nil {
		t.Error("the old process accepts")
	}
}
