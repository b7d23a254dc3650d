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

// maxDatagramBytes bounds the size of a forwarded datagram. A longer datagram arrives truncated to this size,
// so the receiver sees that it is too long.
const maxDatagramBytes = 2048

// Pair makes a datagram link between two parties that listen at the given addresses. toSeen is the address at
// which e.From reaches e.To, and from which e.To's datagrams arrive at e.From. fromSeen is the address of
// e.From, as e.To sees it.
func (n *Net) Pair(
	e Ends,
	fromListens, toListens netip.AddrPort,
) (toSeen, fromSeen netip.AddrPort, err error) {
	fromSocket, err := listenUDP()
	if err != nil {
		return toSeen, fromSeen, fmt.Errorf("listen for link %s: %w", e, err)
	}
	toSocket, err := listenUDP()
	if err != nil {
		besteffort.Close(fromSocket)
		return toSeen, fromSeen, fmt.Errorf("listen for link %s: %w", e, err)
	}
	l := newState(n, e)
	closeLink := func() { besteffort.Close(fromSocket); besteffort.Close(toSocket) }
	if err := n.add(e, l, closeLink); err != nil {
		closeLink()
		return toSeen, fromSeen, err
	}
	n.tasks.Add(2)
	go n.forwardDatagrams(l, fromSocket, toSocket, fromListens, toListens, Forward)
	go n.forwardDatagrams(l, toSocket, fromSocket, toListens, fromListens, Back)
	return localAddress(fromSocket), localAddress(toSocket), nil
}

func listenUDP() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func localAddress(c *net.UDPConn) netip.AddrPort {
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forwardDatagrams forwards the datagrams that sender sends to the socket in. It sends them to receiver from
// the socket out. Datagrams from other addresses are ignored.
func (n *Net) forwardDatagrams(l *linkState, in, out *net.UDPConn, sender, receiver netip.AddrPort,
	direction Direction) {
	defer n.tasks.Done()
	rng := l.randomSource(0, direction)
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := in.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != sender {
			continue
		}
		l.forwardDatagram(out, buf[:size], receiver, direction, rng)
	}
}

// forwardDatagram forwards one datagram. The link's shape may drop or delay the datagram.
func (l *linkState) forwardDatagram(out *net.UDPConn, b []byte, receiver netip.AddrPort, direction Direction,
	rng *rand.Rand) {
	shape := l.current.Load().Shape
	if shape.Hold&direction != 0 || (shape.Loss > 0 && rng.Float64() < shape.Loss) {
		return
	}
	delay := shape.drawDelay(rng)
	if delay == 0 {
		besteffort.Datagram(out.WriteToUDPAddrPort(b, receiver))
		return
	}
	clone := append([]byte(nil), b...)
	time.AfterFunc(delay, func() { besteffort.Datagram(out.WriteToUDPAddrPort(clone, receiver)) })
}
