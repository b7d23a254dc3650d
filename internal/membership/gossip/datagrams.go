package gossip

import (
	"net/netip"
	"sync/atomic"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
)

// Datagrams of this fleet from addresses of no member, a second and at once: what 300 that join within a
// second send until they are known, and some. Decoding so many takes about a millisecond.
const (
	strangersRate  = 500
	strangersBurst = 500
)

type receivedCounters struct {
	trafficCounters
	strangers, dropped atomic.Int64
}

// Receive takes a datagram from the socket. It does not wait, and data is not kept. What is not of this
// fleet, too much of what strangers send, and what the owner has no time for is dropped.
func (s *Server) Receive(from netip.AddrPort, data []byte) {
	s.received.datagrams.Add(1)
	s.received.bytes.Add(int64(len(data)))
	known := s.peers[from]
	if !known {
		_, known = s.memberAddresses.Load(from)
	}
	if !known {
		s.received.strangers.Add(1)
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

func (s *Server) send(a membership.Send) {
	to := s.address(a.Name, a.To)
	if !to.IsValid() {
		return
	}
	s.sent.datagrams.Add(1)
	s.sent.bytes.Add(int64(len(a.Data)))
	s.cfg.Send(to, a.Data)
}

// address is the configured one of a member that has a number here, else what it advertises.
func (s *Server) address(name string, advertised netip.AddrPort) netip.AddrPort {
	if number, ok := s.numbers[name]; ok && number >= 0 && number < len(s.cfg.Peers) &&
		s.cfg.Peers[number].IsValid() {
		return s.cfg.Peers[number]
	}
	return advertised
}
