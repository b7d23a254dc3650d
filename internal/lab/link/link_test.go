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

func everything(Ends) bool { return true }

// newTestLink makes a network with one link to a listener, which sends accepted connections to taken. Both
// are closed at the end of the test, and no goroutine may remain.
func newTestLink(t *testing.T) (n *Net, address string, taken chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n = NewNet(7)
	if address, err = n.Connect(ends, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	taken = make(chan net.Conn, 16)
	go func() {
		defer close(taken)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			taken <- c
		}
	}()
	t.Cleanup(func() {
		n.Close()
		besteffort.Close(ln)
		for c := range taken {
			besteffort.Close(c)
		}
		goleak.VerifyNone(t)
	})
	return n, address, taken
}

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
			Rate: rapid.Int64Range(0, 99).Draw(t, "rate"), Hold: Way(rapid.IntRange(0, 3).Draw(t, "hold")), Cut: rapid.Bool().Draw(t, "cut"),
			Refuse: rapid.Bool().Draw(t, "refuse"), Snip: rapid.IntRange(0, 9).Draw(t, "snip")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := shape.Draw(t, "a"), shape.Draw(t, "b"), shape.Draw(t, "c")
		if Merge(a, b) != Merge(b, a) || Merge(a, Merge(b, c)) != Merge(Merge(a, b), c) || Merge(a, Shape{}) != a {
			t.Fatal("the order of merging makes a difference")
		}
		l := newState(NewNet(1), ends)
		l.lay("a", &a)
		l.lay("b", &b)
		l.lay("a", nil)
		if got := l.current.Load().Shape; got != b {
			t.Fatalf("after shape a is lifted the link has %+v, want %+v", got, b)
		}
	})
}

// TestBytesPassUnchanged: bytes pass unchanged, whatever the link does to their timing.
func TestBytesPassUnchanged(t *testing.T) {
	for name, s := range map[string]Shape{"plain": {}, "late": {Delay: time.Millisecond, Jitter: 3 * time.Millisecond}, "lossy": {Loss: 0.05}, "slow": {Rate: 4 << 20}} {
		t.Run(name, func(t *testing.T) {
			n, address, taken := newTestLink(t)
			n.Lay("s", s, everything)
			c := dial(t, address)
			sent := make([]byte, 1<<20)
			rng := rand.New(rand.NewPCG(1, 2))
			for i := range sent {
				sent[i] = byte(rng.Uint32())
			}
			far := <-taken
			go func() { // an echo
				_, _ = io.Copy(far, far)
				besteffort.Close(far)
			}()
			go func() {
				for rest := sent; len(rest) > 0; {
					k := min(len(rest), 1+rng.IntN(100_000))
					besteffort.Output(c.Write(rest[:k]))
					rest = rest[k:]
				}
				_ = c.(*net.TCPConn).CloseWrite()
			}()
			if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes come back of %d, unchanged: %v, %v", len(got), len(sent), bytes.Equal(got, sent), err)
			}
		})
	}
}

// TestCutHoldsBytesAndConnectionsUntilHealed: over a cut link no byte and no new connection passes, and
// neither end gets an error; after the heal the delayed bytes and new connections pass.
func TestCutHoldsBytesAndConnectionsUntilHealed(t *testing.T) {
	n, address, taken := newTestLink(t)
	c := dial(t, address)
	far := <-taken
	n.Lay("cut", Shape{Hold: Both, Cut: true}, everything)
	besteffort.Output(io.WriteString(c, "held"))
	if extra, err := net.DialTimeout("tcp4", address, 300*time.Millisecond); err == nil {
		besteffort.Close(extra)
		t.Error("a new connection comes up over a cut link")
	}
	besteffort.SocketOption(far.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	if k, err := far.Read(make([]byte, 9)); k > 0 || !errors.Is(err, syscall.EAGAIN) && !isTimeout(err) {
		t.Errorf("over a cut link come %d bytes and %v", k, err)
	}
	n.Lift("cut")
	besteffort.SocketOption(far.SetReadDeadline(time.Now().Add(hangTimeout)))
	got := make([]byte, 4)
	if _, err := io.ReadFull(far, got); err != nil || string(got) != "held" {
		t.Errorf("after the heal come %q, %v", got, err)
	}
	dial(t, address)
	besteffort.Close((<-taken))
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// TestOneWayHoldLetsTheOtherDirectionPass: a hold of one direction does not affect the other.
func TestOneWayHoldLetsTheOtherDirectionPass(t *testing.T) {
	n, address, taken := newTestLink(t)
	c := dial(t, address)
	far := <-taken
	n.Lay("cut", Shape{Hold: Forward}, everything)
	besteffort.Output(io.WriteString(c, "x"))
	besteffort.Output(io.WriteString(far, "y"))
	got := make([]byte, 1)
	if _, err := c.Read(got); err != nil || got[0] != 'y' {
		t.Errorf("back come %q, %v", got, err)
	}
	besteffort.SocketOption(far.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	if k, _ := far.Read(got); k > 0 {
		t.Error("the held direction passes")
	}
}

// TestLeftByOpenerSeesACloseThroughAHeldLink: LeftByOpener reports a close that the link does not pass on.
func TestLeftByOpenerSeesACloseThroughAHeldLink(t *testing.T) {
	n, address, taken := newTestLink(t)
	c := dial(t, address)
	far := <-taken
	s, ok := n.Lookup(far.RemoteAddr().String())
	if !ok || s.Ends != ends || s.LeftByOpener() {
		t.Fatalf("stream %v of %+v, left though it stays", ok, s)
	}
	n.Lay("cut", Shape{Hold: Both}, everything)
	besteffort.Close(c)
	for until := time.Now().Add(hangTimeout); !s.LeftByOpener(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("LeftByOpener does not report the close")
		}
	}
}

func TestRefuseAndResetReachBothEnds(t *testing.T) {
	n, address, taken := newTestLink(t)
	c := dial(t, address)
	far := <-taken
	n.Lay("down", Shape{Refuse: true}, everything)
	if _, err := net.DialTimeout("tcp4", address, hangTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a refusing link gives %v", err)
	}
	n.Reset(everything)
	besteffort.SocketOption(far.SetDeadline(time.Now().Add(hangTimeout)))
	for _, end := range []net.Conn{c, far} {
		if _, err := end.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("after a reset: %v", err)
		}
	}
	n.Lift("down")
	dial(t, address)
	besteffort.Close((<-taken))
}

// TestSnipPassesAPrefixAndEndsTheConnection: the receiver gets a prefix of what was sent, and then the end.
func TestSnipPassesAPrefixAndEndsTheConnection(t *testing.T) {
	n, address, taken := newTestLink(t)
	n.Lay("snip", Shape{Snip: 100}, everything)
	c := dial(t, address)
	far := <-taken
	sent := bytes.Repeat([]byte("0123456789"), 20)
	besteffort.Output(c.Write(sent))
	besteffort.SocketOption(far.SetDeadline(time.Now().Add(hangTimeout)))
	got, _ := io.ReadAll(far)
	if len(got) > 100 || !bytes.HasPrefix(sent, got) {
		t.Errorf("%d bytes come, a beginning of what was sent: %v", len(got), bytes.HasPrefix(sent, got))
	}
}

// TestDatagramsKeepPeerAddressesAndFollowTheShape: each end sees datagrams come from the address that it was
// given for the other, and a hold drops the datagrams of its direction.
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
	hear := func(at *net.UDPConn, wait time.Duration) (string, netip.AddrPort) {
		buf := make([]byte, 100)
		besteffort.SocketOption(at.SetReadDeadline(time.Now().Add(wait)))
		k, from, _ := at.ReadFromUDPAddrPort(buf)
		return string(buf[:k]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	besteffort.Datagram(a.WriteToUDPAddrPort([]byte("hello"), bSeen))
	if got, from := hear(b, hangTimeout); got != "hello" || from != aSeen {
		t.Errorf("b hears %q from %v, want it from %v", got, from, aSeen)
	}
	n.Lay("cut", Shape{Hold: Forward}, everything)
	n.links[ends].datagram(a, []byte("lost"), localAddress(b), Forward, nil) // synchronous, so it is lost for certain if "again" is the next datagram at b
	besteffort.Datagram(b.WriteToUDPAddrPort([]byte("back"), aSeen))
	if got, from := hear(a, hangTimeout); got != "back" || from != bSeen {
		t.Errorf("a hears %q from %v, want it from %v", got, from, bSeen)
	}
	n.Lift("cut")
	besteffort.Datagram(a.WriteToUDPAddrPort([]byte("again"), bSeen))
	if got, _ := hear(b, hangTimeout); got != "again" {
		t.Errorf("after the cut b hears %q", got)
	}
}
