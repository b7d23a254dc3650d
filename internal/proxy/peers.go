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

const peerSocketRetry = time.Second // between two attempts to open the peer socket

// maxPeerMessageBytes is the maximum length of a datagram between proxies; longer ones break the protocol.
const maxPeerMessageBytes = 256

// peerSocket sends datagrams to the other proxies and receives theirs: the balancer's load messages, gossip
// and quota datagrams. Datagrams may be lost, late or repeated. The nil peerSocket sends nothing.
type peerSocket struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort       // of all proxies, by proxy index
	indexByAddr map[netip.AddrPort]int // the proxy index of each valid address
	log         *slog.Logger
	// handlers of datagrams by their first four bits; a datagram whose bits have no handler is a load message
	handlers       [16]datagramHandler
	readingStopped atomic.Bool   // set when another process takes over reading
	readerEnded    chan struct{} // closed when this process has stopped reading
}

// datagramHandler handles the datagrams of one kind, from any address. It must not block, nor retain data
// after it returns.
type datagramHandler func(from netip.AddrPort, data []byte)

// listenPeers opens the socket; it returns nil if listen is empty.
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
		return nil, fmt.Errorf("open the peer socket: %w", err)
	}
	return newPeerSocket(conn, addrs, log), nil
}

// newPeerSocket makes a peerSocket of an open socket; addrs are the addresses of all proxies, by proxy index.
func newPeerSocket(conn *net.UDPConn, addrs []netip.AddrPort, log *slog.Logger) *peerSocket {
	p := &peerSocket{
		conn:        conn,
		addrs:       addrs,
		indexByAddr: map[netip.AddrPort]int{},
		log:         log,
		readerEnded: make(chan struct{}),
	}
	for i, a := range addrs {
		if a.IsValid() {
			p.indexByAddr[a] = i
		}
	}
	return p
}

// handOffSocket stops reading and calls pass with the socket's file descriptor, which pass sends to the next
// process. This process continues to send on the socket, as the other proxies know it by the socket's
// address. If the socket is not open, the descriptor is -1.
func (p *peerSocket) handOffSocket(pass func(fd int)) {
	if p == nil {
		pass(-1)
		return
	}
	p.readingStopped.Store(true)
	besteffort.SocketOption(p.conn.SetReadDeadline(time.Unix(1, 0)))
	<-p.readerEnded
	raw, err := p.conn.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { pass(int(fd)) })
	}
	if err != nil { // the socket has been closed
		pass(-1)
	}
}

// send sends a load message to the proxy of that index. It does not wait, and the message may be lost.
func (p *peerSocket) send(to int, data []byte) {
	if p == nil || to < 0 || to >= len(p.addrs) || !p.addrs[to].IsValid() {
		return
	}
	if len(data) > maxPeerMessageBytes {
		p.log.Error("load message too long, not sent", "bytes", len(data))
		return
	}
	p.write(p.addrs[to], data)
}

// write sends a datagram to an address; an error is logged only, as datagrams may be lost anyway.
func (p *peerSocket) write(to netip.AddrPort, data []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.log.Debug("datagram not sent", "to", to, "err", err)
	}
}

// run reads datagrams until ctx ends, which closes the socket, or until another process takes over reading.
// It passes load messages to onLoadMessage, with the sender's index, and all other datagrams to their
// handlers. It drops datagrams longer than maxPeerMessageBytes and load messages from unknown addresses.
func (p *peerSocket) run(ctx context.Context, onLoadMessage func(from int, data []byte)) {
	defer close(p.readerEnded)
	context.AfterFunc(ctx, func() { besteffort.Close(p.conn) })
	buf := make([]byte, maxPeerMessageBytes+1)
	for ctx.Err() == nil && !p.readingStopped.Load() {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			// A read error concerns one datagram. The pause prevents a busy loop if it repeats.
			if ctx.Err() == nil && !p.readingStopped.Load() && !backoff.Sleep(ctx, shortWait) {
				return
			}
			continue
		}
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		if n > maxPeerMessageBytes {
			continue
		}
		if n > 0 && p.handlers[buf[0]>>4] != nil {
			p.handlers[buf[0]>>4](addr, buf[:n])
			continue
		}
		if from, known := p.indexByAddr[addr]; known {
			onLoadMessage(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// lacksPeerSocket reports whether the configuration requires a peer socket that is not open yet.
func (srv *Server) lacksPeerSocket() bool {
	return srv.config.PeerListen != "" && (len(srv.config.Peers) > 0 || srv.config.Membership.Name != "") &&
		srv.peers.Load() == nil
}

// listenPeers opens the peer socket. If that fails, it tries again at intervals in the background, and
// clients are served meanwhile.
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

// startPeers starts the membership on a peer socket and begins to read the socket. handoff is the previous
// process's membership; nil without a handoff.
func (srv *Server) startPeers(p *peerSocket, handoff *gossip.Handoff) {
	srv.peers.Store(p)
	srv.startMembership(p, handoff)
	go p.run(srv.loopContext, func(from int, data []byte) {
		srv.post(func() { srv.handle(balancer.MessageReceived{From: from, Data: data}) })
	})
}
