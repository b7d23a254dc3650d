package link

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"wrenspread/internal/besteffort"
)

const hangTimeout = 30 * time.Second // longer than any step takes unless it hangs

var ends = Ends{"a", "b"}

func allLinks(Ends) bool { return true }

// newTestLink makes a network with one link to a listener, whose accepted connections are sent to accepted.
// Both are closed at the end of the test, and no goroutine may remain.
func newTestLink(t *testing.T) (n *Net, address string, accepted chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n = NewNet(7)
	if address, err = n.Connect(ends, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted = make(chan net.Conn, 16)
	go func() {
		defer close(accepted)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() {
		n.Close()
		besteffort.Close(ln)
		for c := range accepted {
			besteffort.Close(c)
		}
		goleak.VerifyNone(t)
	})
	return n, address, accepted
}

// dial connects to address. All reads and writes on the connection end after hangTimeout.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", address, hangTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	besteffort.SocketOption(c.SetDeadline(time.Now().Add(hangTimeout)))
	return c
}

func TestMergeOrderDoesNotMatterAndLiftRestores(t *testing.T) {
	shape := rapid.Custom(func(t *rapid.T) Shape {
		return Shape{Delay: time.Duration(rapid.IntRange(0, 99).Draw(t, "delay")), Loss: rapid.Float64Range(0, 1).Draw(t, "loss"),
			Rate: rapid.Int64Range(0, 99).Draw(t, "rate"), Hold: Direction(rapid.IntRange(0, 3).Draw(t, "hold")), Cut: rapid.Bool().Draw(t, "cut"),
			Refuse: rapid.Bool().Draw(t, "refuse"), Snip: rapid.IntRange(0, 9).Draw(t, "snip")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := shape.Draw(t, "a"), shape.Draw(t, "b"), shape.Draw(t, "c")
		if Merge(a, b) != Merge(b, a) || Merge(a, Merge(b, c)) != Merge(Merge(a, b), c) || Merge(a, Shape{}) != a {
			t.Fatal("the result of Merge depends on the order, or the zero shape changes it")
		}
		l := newState(NewNet(1), ends)
		l.setShape("a", &a)
		l.setShape("b", &b)
		l.setShape("a", nil)
		if got := l.current.Load().Shape; got != b {
			t.Fatalf("shape of the link after shape a is lifted: %+v, want %+v", got, b)
		}
	})
}

// TestBytesPassUnchanged: bytes pass unchanged, whatever the link does to their timing.
func TestBytesPassUnchanged(t *testing.T) {
	for name, s := range map[string]Shape{"plain": {}, "late": {Delay: time.Millisecond, Jitter: 3 * time.Millisecond}, "lossy": {Loss: 0.05}, "slow": {Rate: 4 << 20}} {
		t.Run(name, func(t *testing.T) {
			n, address, accepted := newTestLink(t)
			n.ApplyShape("s", s, allLinks)
			c := dial(t, address)
			sent := make([]byte, 1<<20)
			rng := rand.New(rand.NewPCG(1, 2))
			for i := range sent {
				sent[i] = byte(rng.Uint32())
			}
			targetConn := <-accepted
			go func() { // echo what arrives
				_, _ = io.Copy(targetConn, targetConn)
				besteffort.Close(targetConn)
			}()
			go func() {
				for unsent := sent; len(unsent) > 0; {
					k := min(len(unsent), 1+rng.IntN(100_000))
					besteffort.Output(c.Write(unsent[:k]))
					unsent = unsent[k:]
				}
				_ = c.(*net.TCPConn).CloseWrite()
			}()
			if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("got %d of %d bytes back, unchanged: %v, error %v", len(got), len(sent), bytes.Equal(got, sent), err)
			}
		})
	}
}

// TestCutHoldsBytesAndConnectionsUntilLifted: over a cut link no byte and no new connection passes, and
// neither end gets an error; after the cut is lifted the delayed bytes and new connections pass.
func TestCutHoldsBytesAndConnectionsUntilLifted(t *testing.T) {
	n, address, accepted := newTestLink(t)
	c := dial(t, address)
	targetConn := <-accepted
	n.ApplyShape("cut", Shape{Hold: Both, Cut: true}, allLinks)
	besteffort.Output(io.WriteString(c, "held"))
	if extra, err := net.DialTimeout("tcp4", address, 300*time.Millisecond); err == nil {
		besteffort.Close(extra)
		t.Error("a new connection was established over a cut link")
	}
	besteffort.SocketOption(targetConn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	if k, err := targetConn.Read(make([]byte, 9)); k > 0 || !errors.Is(err, syscall.EAGAIN) && !isTimeout(err) {
		t.Errorf("read over a cut link: %d bytes, error %v; want no bytes and a timeout", k, err)
	}
	n.RemoveShape("cut")
	besteffort.SocketOption(targetConn.SetReadDeadline(time.Now().Add(hangTimeout)))
	got := make([]byte, 4)
	if _, err := io.ReadFull(targetConn, got); err != nil || string(got) != "held" {
		t.Errorf("read after the cut was lifted: %q, error %v", got, err)
	}
	dial(t, address)
	besteffort.Close((<-accepted))
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// TestOneWayHoldLetsTheOtherDirectionPass: a hold of one direction does not affect the other.
func TestOneWayHoldLetsTheOtherDirectionPass(t *testing.T) {
	n, address, accepted := newTestLink(t)
	c := dial(t, address)
	targetConn := <-accepted
	n.ApplyShape("cut", Shape{Hold: Forward}, allLinks)
	besteffort.Output(io.WriteString(c, "x"))
	besteffort.Output(io.WriteString(targetConn, "y"))
	got := make([]byte, 1)
	if _, err := c.Read(got); err != nil || got[0] != 'y' {
		t.Errorf("read in the direction that is not held: %q, error %v", got, err)
	}
	besteffort.SocketOption(targetConn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	if k, _ := targetConn.Read(got); k > 0 {
		t.Error("bytes passed in the held direction")
	}
}

// TestClosedByOpenerSeesACloseThroughAHeldLink: ClosedByOpener reports a close that the link does not
// forward.
func TestClosedByOpenerSeesACloseThroughAHeldLink(t *testing.T) {
	n, address, accepted := newTestLink(t)
	c := dial(t, address)
	targetConn := <-accepted
	s, ok := n.Lookup(targetConn.RemoteAddr().String())
	if !ok || s.Ends != ends || s.ClosedByOpener() {
		t.Fatalf("stream found: %v, %+v; it has other ends, or is reported closed while it is open", ok, s)
	}
	n.ApplyShape("cut", Shape{Hold: Both}, allLinks)
	besteffort.Close(c)
	for deadline := time.Now().Add(hangTimeout); !s.ClosedByOpener(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("ClosedByOpener does not report the close")
		}
	}
}

func TestRefuseAndResetReachBothEnds(t *testing.T) {
	n, address, accepted := newTestLink(t)
	c := dial(t, address)
	targetConn := <-accepted
	n.ApplyShape("down", Shape{Refuse: true}, allLinks)
	if _, err := net.DialTimeout("tcp4", address, hangTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial over a link that refuses: %v", err)
	}
	n.Reset(allLinks)
	besteffort.SocketOption(targetConn.SetDeadline(time.Now().Add(hangTimeout)))
	for _, end := range []net.Conn{c, targetConn} {
		if _, err := end.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read after a reset: %v", err)
		}
	}
	n.RemoveShape("down")
	dial(t, address)
	besteffort.Close((<-accepted))
}

// TestSnipPassesAPrefixAndEndsTheConnection: the receiver gets a prefix of the sent bytes, and then the end.
func TestSnipPassesAPrefixAndEndsTheConnection(t *testing.T) {
	n, address, accepted := newTestLink(t)
	n.ApplyShape("snip", Shape{Snip: 100}, allLinks)
	c := dial(t, address)
	targetConn := <-accepted
	sent := bytes.Repeat([]byte("0123456789"), 20)
	besteffort.Output(c.Write(sent))
	besteffort.SocketOption(targetConn.SetDeadline(time.Now().Add(hangTimeout)))
	got, _ := io.ReadAll(targetConn)
	if len(got) > 100 || !bytes.HasPrefix(sent, got) {
		t.Errorf("got %d bytes, want 100 at most; they are a prefix of the sent bytes: %v", len(got), bytes.HasPrefix(sent, got))
	}
}

// TestDatagramsKeepPeerAddressesAndFollowTheShape: datagrams arrive from the address at which the receiver
// reaches their sender, and a hold drops the datagrams in its direction.
func TestDatagramsKeepPeerAddressesAndFollowTheShape(t *testing.T) {
	n := NewNet(1)
	defer goleak.VerifyNone(t)
	defer n.Close()
	a, err := listenUDP()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(a)
	b, err := listenUDP()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(b)
	bSeen, aSeen, err := n.Pair(ends, localAddress(a), localAddress(b))
	if err != nil {
		t.Fatal(err)
	}
	receive := func(at *net.UDPConn, wait time.Duration) (string, netip.AddrPort) {
		buf := make([]byte, 100)
		besteffort.SocketOption(at.SetReadDeadline(time.Now().Add(wait)))
		k, from, _ := at.ReadFromUDPAddrPort(buf)
		return string(buf[:k]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	besteffort.Datagram(a.WriteToUDPAddrPort([]byte("hello"), bSeen))
	if got, from := receive(b, hangTimeout); got != "hello" || from != aSeen {
		t.Errorf("b received %q from %v, want it from %v", got, from, aSeen)
	}
	n.ApplyShape("cut", Shape{Hold: Forward}, allLinks)
	n.links[ends].forwardDatagram(a, []byte("lost"), localAddress(b), Forward, nil) // synchronous: if b does not get "lost" before "again", it was dropped
	besteffort.Datagram(b.WriteToUDPAddrPort([]byte("back"), aSeen))
	if got, from := receive(a, hangTimeout); got != "back" || from != bSeen {
		t.Errorf("a received %q from %v, want it from %v", got, from, bSeen)
	}
	n.RemoveShape("cut")
	besteffort.Datagram(a.WriteToUDPAddrPort([]byte("again"), bSeen))
	if got, _ := receive(b, hangTimeout); got != "again" {
		t.Errorf("after the cut was lifted b received %q", got)
	}
}
