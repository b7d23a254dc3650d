package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership/gossip"
)

const peerSocketRetry = time.Second // between two tries to open the socket for other proxies

// maxMessage is the longest datagram between proxies; a longer one breaks the protocol.
const maxMessage = 256

// peerSocket carries the balancer's messages to the other proxies and theirs to it, as
// datagrams that may be lost, late or repeated.
type peerSocket struct {
	conn      *net.UDPConn
	addrs     []netip.AddrPort
	byAddress map[netip.AddrPort]int
	log       *slog.Logger
	// by the first four bits of a datagram; those that have none here are load notes
	handlers [16]datagramHandler
	muted    atomic.Bool   // another process reads the socket
	ended    chan struct{} // closed when this one no longer does
}

// datagramHandler takes those of one kind, from whatever address they come. It does not wait, and does not
// keep data.
type datagramHandler func(from netip.AddrPort, data []byte)

// listenPeers opens the socket, or gives nil where proxies have none.
func listenPeers(listen string, addrs []netip.AddrPort, log *slog.Logger) (*peerSocket, error) {
	if listen == "" {
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
	return newPeerSocket(conn, addrs, log), nil
}

func newPeerSocket(conn *net.UDPConn, addrs []netip.AddrPort, log *slog.Logger) *peerSocket {
	p := &peerSocket{
		conn:      conn,
		addrs:     addrs,
		byAddress: map[netip.AddrPort]int{},
		log:       log,
		ended:     make(chan struct{}),
	}
	for i, a := range addrs {
		if a.IsValid() {
			p.byAddress[a] = i
		}
	}
	return p
}

// handOver ends the reading and gives the socket's descriptor to f, to be passed
// on. This process goes on sending by it, as proxies know each other by address.
// Without a socket the descriptor is negative.
func (p *peerSocket) handOver(f func(fd int)) {
	if p == nil {
		f(-1)
		return
	}
	p.muted.Store(true)
	besteffort.SocketOption(p.conn.SetReadDeadline(time.Unix(1, 0)))
	<-p.ended
	raw, err := p.conn.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
	if err != nil { // it has been closed
		f(-1)
	}
}

// send passes a message to one proxy. It does not wait, and none is owed an arrival.
func (p *peerSocket) send(to int, data []byte) {
	if p == nil || to < 0 || to >= len(p.addrs) || !p.addrs[to].IsValid() {
		return
	}
	if len(data) > maxMessage {
		p.log.Error("gossip message too long, not sent", "bytes", len(data))
		return
	}
	p.write(p.addrs[to], data)
}

func (p *peerSocket) write(to netip.AddrPort, data []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.log.Debug("gossip message not sent", "to", to, "err", err)
	}
}

// run passes messages on until ctx ends, which closes the socket, or another process does. What is longer
// than any message is dropped, and so is a load note from an address of no proxy.
func (p *peerSocket) run(ctx context.Context, received func(from int, data []byte)) {
	defer close(p.ended)
	context.AfterFunc(ctx, func() { besteffort.Close(p.conn) })
	buf := make([]byte, maxMessage+1)
	for ctx.Err() == nil && !p.muted.Load() {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			// an error here is of one datagram; none may spin
			if ctx.Err() == nil && !p.muted.Load() && !backoff.Sleep(ctx, shortWait) {
				return
			}
			continue
		}
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		if n > maxMessage {
			continue
		}
		if n > 0 && p.handlers[buf[0]>>4] != nil {
			p.handlers[buf[0]>>4](addr, buf[:n])
			continue
		}
		if from, known := p.byAddress[addr]; known {
			received(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// lacksPeerSocket reports whether this proxy still lacks a socket that it ought to have.
func (srv *Server) lacksPeerSocket() bool {
	return srv.config.PeerListen != "" && (len(srv.config.Peers) > 0 || srv.config.Membership.Name != "") &&
		srv.peers.Load() == nil
}

// listenPeers opens the socket for other proxies' messages. If it can't be had,
// clients are served all the same, and it is tried again.
func (srv *Server) listenPeers(ctx context.Context) {
	p, err := listenPeers(srv.config.PeerListen, srv.config.Peers, srv.log)
	if err == nil {
		srv.startPeers(p, nil)
		return
	}
	srv.log.Error("peer socket not available, retrying", "err", err)
	go func() {
		for backoff.Sleep(ctx, peerSocketRetry) {
			if p, err := listenPeers(srv.config.PeerListen, srv.config.Peers, srv.log); err == nil {
				srv.startPeers(p, nil)
				return
			}
		}
	}()
}

// startPeers begins to hear from other proxies. handed is what the previous process this one has handed over,
// if there was one.
func (srv *Server) startPeers(p *peerSocket, handed *gossip.Handoff) {
	srv.peers.Store(p)
	srv.startMembership(p, handed)
	go p.run(srv.loopContext, func(from int, data []byte) {
		srv.post(func() { srv.handle(balancer.MessageReceived{From: from, Data: data}) })
	})
}
