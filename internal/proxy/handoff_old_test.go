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

// TestNewProcessEndsBeforeItIsReady: the old one serves on, with all it may use, and the next one is welcome.
func TestNewProcessEndsBeforeItIsReady(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	full := n.mayOpen()
	for range 2 {
		o := meet(t, dir)
		o.say(t, hello)
		if m := o.hear(t, kindState); len(m.Learned.Endpoints) != 1 || m.Names["s-0"] != m.Learned.Endpoints[0].ID {
			t.Errorf("state %+v", m)
		}
		if half := n.mayOpen(); half > full/2 {
			t.Errorf("it uses %d connections of %d", half, full)
		}
		late := meet(t, dir)
		late.say(t, hello)
		late.hear(t, kindRefused) // one at a time
		besteffort.Close(o)
		for until := time.Now().Add(enough); n.mayOpen() != full; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("it does not take its connections back")
			}
		}
		if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 || a.header.Get("Connection") == "close" {
			t.Errorf("answer %+v", a)
		}
	}
}

// TestNoiseAtTheMeetingPlace: whoever calls there with something else does no harm.
func TestNoiseAtTheMeetingPlace(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	for _, noise := range []string{"", "\n", "{}", `{"v":2,"kind":"hello"}`, `{"v":1,"kind":"ready"}`, "GET / HTTP/1.1\r\n\r\n",
		`[1]`, "\x00\xff"} {
		o := meet(t, dir)
		o.say(t, noise)
		besteffort.SocketOption(o.SetDeadline(time.Now().Add(enough)))
		if b, err := io.ReadAll(o); err != nil && !strings.Contains(err.Error(), "reset") || len(b) > 0 {
			t.Errorf("%q is told %q, %v", noise, b, err)
		}
	}
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	o.say(t, `{"kind":"odd"}`)
	o.say(t, `{"kind":"done","number":77}`)
	o.say(t, `{"kind":"yours"}`)
	o.say(t, `{"kind":"call","backend":"nobody","on":true,"number":5}`)
	if m := o.hear(t, kindDone); m.Number != 5 {
		t.Errorf("answer %+v", m)
	}
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}

// TestStopBeforeTheNewProcessIsReady is a stop like any other, and the new process hears of it by the link's end.
func TestStopBeforeTheNewProcessIsReady(t *testing.T) {
	dir := meetingPlace(t)
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	n.stop()
	n.linger()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if _, err := io.ReadAll(o); err != nil {
		t.Errorf("the link ends with %v", err)
	}
}

// TestPeersSocketIsHandedOver: the new process reads what other proxies send, and both send from the one address.
func TestPeersSocketIsHandedOver(t *testing.T) {
	dir := meetingPlace(t)
	conn, own := udpSocket(t)
	far, to := udpSocket(t)
	old := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, serving(t))
	heard := make(chan string, 10)
	p := newPeerSocket(conn, []netip.AddrPort{own, to}, quiet)
	old.peers.Store(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.run(ctx, func(_ int, data []byte) { heard <- "old " + string(data) })
	besteffort.Datagram(far.WriteToUDPAddrPort([]byte("1"), own))
	if got := wait(t, heard, "a message"); got != "old 1" {
		t.Errorf("heard %q", got)
	}
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	l := newHandoffLink(o.UnixConn)
	o.say(t, `{"kind":"ready"}`)
	if m, err := l.receive(time.Now().Add(enough)); err != nil || m.Kind != kindRelease || len(l.descriptors) != 1 {
		t.Fatalf("%+v, %v, descriptors %v", m, err, l.descriptors)
	}
	next := &Server{log: quiet, config: Config{PeerListen: own.String(), Peers: []netip.AddrPort{own, to}}, inbox: make(chan func(), 10),
		ended: make(chan struct{}), loopState: loopState{loopContext: ctx}}
	next.takePeerSocket(l, nil)
	besteffort.Datagram(far.WriteToUDPAddrPort([]byte("2"), own))
	wait(t, next.inbox, "the message at the new process")
	buf := make([]byte, 10)
	for i, n := range []*peerSocket{old.peers.Load(), next.peers.Load()} {
		n.send(1, []byte("x"))
		besteffort.SocketOption(far.SetReadDeadline(time.Now().Add(enough)))
		if _, from, err := far.ReadFromUDPAddrPort(buf); err != nil || from != own {
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
