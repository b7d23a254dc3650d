package gossip

import (
	"net/netip"
	"sync/atomic"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
)

// Bounds, per second and in a burst, on the datagrams of this fleet from strangers: addresses that are not of
// a member. When 300 nodes join within a second, they send somewhat fewer than 500 datagrams before they are
// known. Decoding 500 datagrams takes about a millisecond.
const (
	strangerRate  = 500
	strangerBurst = 500
)

// receivedCounters count all received datagrams, and among them those from strangers and those that were
// dropped.
type receivedCounters struct {
	trafficCounters
	fromStrangers, dropped atomic.Int64
}

// Receive passes a datagram from the socket to the owner. It does not block and does not retain data. It
// drops datagrams of other fleets, datagrams of strangers beyond strangerRate, and datagrams that find the
// owner's queue full.
func (s *Server) Receive(from netip.AddrPort, data []byte) {
	s.received.datagrams.Add(1)
	s.received.bytes.Add(int64(len(data)))
	known := s.peerAddresses[from]
	if !known {
		_, known = s.memberAddresses.Load(from)
	}
	if !known {
		s.received.fromStrangers.Add(1)
	}
	if !wire.IsOurs(data, s.hash) || !known && !s.strangerLimiter.Allow() {
		s.received.dropped.Add(1)
		return
	}
	select {
	case s.events <- membership.Received{From: from, Data: append([]byte(nil), data...)}:
	default:
		s.received.dropped.Add(1)
	}
}

func (s *Server) send(action membership.Send) {
	to := s.address(action.Name, action.To)
	if !to.IsValid() {
		return
	}
	s.sent.datagrams.Add(1)
	s.sent.bytes.Add(int64(len(action.Data)))
	s.cfg.Send(to, action.Data)
}

// address returns a member's configured address, or the address that the member advertises if none is
// configured.
func (s *Server) address(name string, advertised netip.AddrPort) netip.AddrPort {
	if number, ok := s.peerNumbers[name]; ok && number >= 0 && number < len(s.cfg.Peers) &&
		s.cfg.Peers[number].IsValid() {
		return s.cfg.Peers[number]
	}
	return advertised
}
