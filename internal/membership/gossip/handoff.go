package gossip

import (
	"net/netip"

	"wrenspread/internal/membership"
)

// maxHandoffAddresses bounds the addresses that are handed over. One address that answers is enough. At a
// loss of 30%, the datagrams to all 16 are lost in one of 10 to the 8 cases.
const maxHandoffAddresses = 16

// Handoff is what one process of a node passes to the node's next process, so that other nodes see neither a
// death nor a second process.
type Handoff struct {
	Generation  uint64           `json:"life"`
	Incarnation uint32           `json:"incarnation"`
	State       membership.State `json:"state"`
	// Join has the addresses of members that are alive, from which the next process learns the view. At most
	// maxHandoffAddresses are used. Join may be empty; the next process then joins through its seeds.
	Join []netip.AddrPort `json:"join,omitempty"`
}

// HandOver ends the server without notifying the other nodes, and returns the handoff for the next process.
func (s *Server) HandOver() *Handoff {
	s.stop()
	<-s.ended
	h := &Handoff{}
	for _, m := range s.core.View().Members {
		switch to := s.address(m.Name, m.Addr); {
		case m.Name == s.cfg.Name:
			h.Generation, h.Incarnation, h.State = m.Generation, m.Incarnation, m.Metadata.State
		case m.Health == membership.Alive && to.IsValid() && len(h.Join) < maxHandoffAddresses:
			h.Join = append(h.Join, to)
		}
	}
	return h
}

// addresses returns a copy of Join of at most maxHandoffAddresses addresses.
func (h *Handoff) addresses() []netip.AddrPort {
	return append([]netip.AddrPort(nil), h.Join[:min(len(h.Join), maxHandoffAddresses)]...)
}
