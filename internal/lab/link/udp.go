package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"wrenspread/internal/besteffort"
)

// maxDatagramBytes bounds the size of a forwarded datagram. A longer one arrives truncated to this size, so
// the receiver sees that it is too long.
const maxDatagramBytes = 2048

// Pair makes a datagram link between two parties that listen at the given addresses. toSeen and fromSeen are
// the addresses at which one party reaches the other, and from which the other's datagrams arrive.
func (n *Net) Pair(
	e Ends,
	fromListens, toListens netip.AddrPort,
) (toSeen, fromSeen netip.AddrPort, err error) {
	near, err := listenUDP()
	if err != nil {
		return toSeen, fromSeen, fmt.Errorf("link %s: %w", e, err)
	}
	far, err := listenUDP()
	if err != nil {
		besteffort.Close(near)
		return toSeen, fromSeen, fmt.Errorf("link %s: %w", e, err)
	}
	l := newState(n, e)
	closing := func() { besteffort.Close(near); besteffort.Close(far) }
	if err := n.add(e, l, closing); err != nil {
		closing()
		return toSeen, fromSeen, err
	}
	n.tasks.Add(2)
	go n.datagrams(l, near, far, fromListens, toListens, Forward)
	go n.datagrams(l, far, near, toListens, fromListens, Back)
	return localAddress(near), localAddress(far), nil
}

func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func localAddress(c *net.UDPConn) netip.AddrPort {
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// datagrams forwards the datagrams that sender sends to in: they go from out to receiver. Datagrams from
// other addresses are ignored.
func (n *Net) datagrams(l *linkState, in, out *net.UDPConn, sender, receiver netip.AddrPort, way Way) {
	defer n.tasks.Done()
	chance := l.randomSource(0, way)
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := in.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != sender {
			continue
		}
		l.datagram(out, buf[:size], receiver, way, chance)
	}
}

// datagram forwards one datagram according to the link's shape: it may be dropped or delayed.
func (l *linkState) datagram(out *net.UDPConn, b []byte, receiver netip.AddrPort, way Way,
	chance *rand.Rand) {
	now := l.current.Load().Shape
	if now.Hold&way != 0 || (now.Loss > 0 && chance.Float64() < now.Loss) {
		return
	}
	lag := now.drawDelay(chance)
	if lag == 0 {
		besteffort.Datagram(out.WriteToUDPAddrPort(b, receiver))
		return
	}
	kept := append([]byte(nil), b...)
	time.AfterFunc(lag, func() { besteffort.Datagram(out.WriteToUDPAddrPort(kept, receiver)) })
}
