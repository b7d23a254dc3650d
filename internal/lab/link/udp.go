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

// maxDatagram bounds what is passed on; a longer one comes cut, so that its reader sees that it is too long.
const maxDatagram = 2048

// Pair lays a link for datagrams between two parties, which listen at the
// addresses given. Each gets the address at which it finds the other, and from
// which the other's datagrams come.
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
	return local(near), local(far), nil
}

func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func local(c *net.UDPConn) netip.AddrPort {
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// datagrams passes on what one end sends to in, from out. Only that end is listened to.
func (n *Net) datagrams(l *state, in, out *net.UDPConn, sender, receiver netip.AddrPort, way Way) {
	defer n.tasks.Done()
	chance := l.chance(0, way)
	buf := make([]byte, maxDatagram)
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

func (l *state) datagram(out *net.UDPConn, b []byte, receiver netip.AddrPort, way Way, chance *rand.Rand) {
	now := l.now.Load().Shape
	if now.Hold&way != 0 || (now.Loss > 0 && chance.Float64() < now.Loss) {
		return
	}
	lag := now.lag(chance)
	if lag == 0 {
		besteffort.Datagram(out.WriteToUDPAddrPort(b, receiver))
		return
	}
	kept := append([]byte(nil), b...)
	time.AfterFunc(lag, func() { besteffort.Datagram(out.WriteToUDPAddrPort(kept, receiver)) })
}
