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

// TestOldProcessContinuesWhenNewProcessEndsBeforeReady: the old process continues to serve, restores its
// full limits, and accepts the next new process.
func TestOldProcessContinuesWhenNewProcessEndsBeforeReady(t *testing.T) {
	dir := handoffDir(t)
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	fullLimit := srv.maxBackendConns()
	for range 2 {
		newProcess := dialHandoff(t, dir)
		newProcess.sendLine(t, helloLine)
		if m := newProcess.receive(t, kindState); len(m.Learned.Endpoints) != 1 || m.Names["s-0"] != m.Learned.Endpoints[0].ID {
			t.Errorf("state is %+v, want endpoint s-0 with its ID", m)
		}
		if halved := srv.maxBackendConns(); halved > fullLimit/2 {
			t.Errorf("the limit is %d of %d connections, want half", halved, fullLimit)
		}
		otherProcess := dialHandoff(t, dir)
		otherProcess.sendLine(t, helloLine)
		otherProcess.receive(t, kindRefused) // only one new process at a time is accepted
		besteffort.Close(newProcess)
		for until := time.Now().Add(testTimeout); srv.maxBackendConns() != fullLimit; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the full limit of connections is not restored")
			}
		}
		if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 || a.header.Get("Connection") == "close" {
			t.Errorf("response %+v, want 200", a)
		}
	}
}

// TestInvalidHandoffMessagesAreHarmless: a connection whose first message is invalid is closed without an
// answer. Unexpected messages on a link are ignored.
func TestInvalidHandoffMessagesAreHarmless(t *testing.T) {
	dir := handoffDir(t)
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	for _, message := range []string{"", "\n", "{}", `{"v":2,"kind":"hello"}`, `{"v":1,"kind":"ready"}`, "GET / HTTP/1.1\r\n\r\n",
		`[1]`, "\x00\xff"} {
		newProcess := dialHandoff(t, dir)
		newProcess.sendLine(t, message)
		besteffort.SocketOption(newProcess.SetDeadline(time.Now().Add(testTimeout)))
		if b, err := io.ReadAll(newProcess); err != nil && !strings.Contains(err.Error(), "reset") || len(b) > 0 {
			t.Errorf("%q is answered %q, %v, want a close", message, b, err)
		}
	}
	newProcess := dialHandoff(t, dir)
	newProcess.sendLine(t, helloLine)
	newProcess.receive(t, kindState)
	newProcess.sendLine(t, `{"kind":"odd"}`)
	newProcess.sendLine(t, `{"kind":"done","number":77}`)
	newProcess.sendLine(t, `{"kind":"yours"}`)
	newProcess.sendLine(t, `{"kind":"call","backend":"nobody","on":true,"number":5}`)
	if m := newProcess.receive(t, kindDone); m.Number != 5 {
		t.Errorf("received %+v, want number 5", m)
	}
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	}
}

// TestOldProcessStopsOnSIGTERMBeforeNewProcessIsReady: SIGTERM before the handoff stops the old
// process as usual, and closes the link, which the new process notices.
func TestOldProcessStopsOnSIGTERMBeforeNewProcessIsReady(t *testing.T) {
	dir := handoffDir(t)
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	newProcess := dialHandoff(t, dir)
	newProcess.sendLine(t, helloLine)
	newProcess.receive(t, kindState)
	srv.stop()
	srv.endLateAccepting()
	if err := wait(t, srv.ended, "the proxy to end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
	if _, err := io.ReadAll(newProcess); err != nil {
		t.Errorf("the link ends with %v", err)
	}
}

// TestPeerSocketIsHandedOver: after the handoff only the new process reads the messages of other proxies.
// Both processes send from the same address.
func TestPeerSocketIsHandedOver(t *testing.T) {
	dir := handoffDir(t)
	conn, ownAddr := udpSocket(t)
	peerConn, peerAddr := udpSocket(t)
	old := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, okServer(t))
	received := make(chan string, 10)
	p := newPeerSocket(conn, []netip.AddrPort{ownAddr, peerAddr}, discardLog)
	old.peers.Store(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { received <- "old " + string(data) })
	besteffort.Datagram(peerConn.WriteToUDPAddrPort([]byte("1"), ownAddr))
	if got := wait(t, received, "a message"); got != "old 1" {
		t.Errorf("received %q, want \"old 1\"", got)
	}
	newProcess := dialHandoff(t, dir)
	newProcess.sendLine(t, helloLine)
	newProcess.receive(t, kindState)
	l := newHandoffLink(newProcess.UnixConn)
	newProcess.sendLine(t, `{"kind":"ready"}`)
	if m, err := l.receive(time.Now().Add(testTimeout)); err != nil || m.Kind != kindRelease || len(l.descriptors) != 1 {
		t.Fatalf("%+v, %v, descriptors %v", m, err, l.descriptors)
	}
	newServer := &Server{log: discardLog, config: Config{PeerListen: ownAddr.String(), Peers: []netip.AddrPort{ownAddr, peerAddr}}, inbox: make(chan func(), 10),
		ended: make(chan struct{}), loopState: loopState{loopContext: ctx}}
	newServer.takePeerSocket(l, nil)
	besteffort.Datagram(peerConn.WriteToUDPAddrPort([]byte("2"), ownAddr))
	wait(t, newServer.inbox, "the message at the new process")
	buf := make([]byte, 10)
	for i, n := range []*peerSocket{old.peers.Load(), newServer.peers.Load()} {
		n.send(1, []byte("x"))
		besteffort.SocketOption(peerConn.SetReadDeadline(time.Now().Add(testTimeout)))
		if _, from, err := peerConn.ReadFromUDPAddrPort(buf); err != nil || from != ownAddr {
			t.Errorf("process %d sends from %v, %v", i, from, err)
		}
	}
	select {
	case got := <-received:
		t.Errorf("the old process received %q after the handoff", got)
	default:
	}
	if _, err := net.Dial("tcp", old.address); err == nil {
		t.Error("the old process still accepts connections")
	}
}
