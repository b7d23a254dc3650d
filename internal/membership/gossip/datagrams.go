package gossip

import (
	"net/netip"
	"sync/atomic"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
)

// Datagrams of this fleet from addresses of no member, a second and at once: what 300 that join within a second send until they
// are known, and some. Decoding so many takes about a millisecond.
const (
	strangersRate  = 500
	strangersBurst = 500
)

type arrivals struct {
	traffic
	strangers, dropped atomic.Int64
}

// Receive takes a datagram from the socket. It does not wait, and data is not kept. What is not of this fleet, too much of
// what strangers send, and what the owner has no time for is dropped.
func (s *Shell) Receive(from netip.AddrPort, data []byte) {
	s.came.datagrams.Add(1)
	s.came.bytes.Add(int64(len(data)))
	known := s.peers[from]
	if !known {
		_, known = s.known.Load(from)
	}
	if !known {
		s.came.strangers.Add(1)
	}
	if !wire.Ours(data, s.hash) || !known && !s.strangers.Allow() {
		s.came.dropped.Add(1)
		return
	}
	select {
	case s.events <- membership.Received{From: from, Data: append([]byte(nil), data...)}:
	default:
		s.came.dropped.Add(1)
	}
}

func (s *Shell) send(a membership.Send) {
	to := s.address(a.Name, a.To)
	if !to.IsValid() {
		return
	}
	s.sent.datagrams.Add(1)
	s.sent.bytes.Add(int64(len(a.Data)))
	s.cfg.Write(to, a.Data)
}

// address is the configured one of a member that has a number here, else what it advertises.
func (s *Shell) address(name string, advertised netip.AddrPort) netip.AddrPort {
	if number, ok := s.numbers[name]; ok && number >= 0 && number < len(s.cfg.Peers) && s.cfg.Peers[number].IsValid() {
		return s.cfg.Peers[number]
	}
	return advertised
}
