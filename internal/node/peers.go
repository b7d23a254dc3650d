package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
)

// maxMessage is the longest datagram between nodes; a longer one breaks the protocol.
const maxMessage = 256

// peers carries the module's messages to the other nodes and theirs to it, as
// datagrams that may be lost, late or repeated.
type peers struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	from  map[netip.AddrPort]int
	log   *slog.Logger
}

// listenPeers opens the socket, or gives nil where nodes have none.
func listenPeers(listen string, addrs []netip.AddrPort, log *slog.Logger) (*peers, error) {
	if listen == "" || len(addrs) == 0 {
		return nil, nil
	}
	local, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("listening for other nodes: %w", err)
	}
	p := &peers{conn: conn, addrs: addrs, from: map[netip.AddrPort]int{}, log: log}
	for i, a := range addrs {
		if a.IsValid() {
			p.from[a] = i
		}
	}
	return p, nil
}

// send passes a message to one node. It does not wait, and none is owed an arrival.
func (p *peers) send(to int, data []byte) {
	if p == nil || to < 0 || to >= len(p.addrs) || !p.addrs[to].IsValid() {
		return
	}
	if len(data) > maxMessage {
		p.log.Error("message not sent: too long", "bytes", len(data))
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(data, p.addrs[to]); err != nil {
		p.log.Debug("message not sent", "to", to, "err", err)
	}
}

// run passes messages on until ctx ends, and closes the socket. What comes from
// an address of no node, or is longer than any message, is dropped.
func (p *peers) run(ctx context.Context, received func(from int, data []byte)) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buf := make([]byte, maxMessage+1)
	for ctx.Err() == nil {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil && !sleep(ctx, backoffLow) { // an error here is of one datagram; none may spin
				return
			}
			continue
		}
		from, known := p.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n <= maxMessage {
			received(from, append([]byte(nil), buf[:n]...))
		}
	}
}
