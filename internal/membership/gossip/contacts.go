package gossip

import (
	"net/netip"
	"slices"

	"wrenspread/internal/membership"
)

// contact is how a member is reached, whether it serves, and which catalogue of tenants it has.
type contact struct {
	address   netip.AddrPort
	serving   bool
	catalogue uint64 // 0 of one that is not alive
}

// SendTo sends a datagram of another part of the program to a member by its name, if it is known. It does not
// wait.
func (s *Server) SendTo(name string, data []byte) {
	if r, ok := s.contacts.Load(name); ok && r.(contact).address.IsValid() {
		s.cfg.Send(r.(contact).address, data)
	}
}

// ServingMembers are the members that live and serve, but the own one, by name.
func (s *Server) ServingMembers() (all []string) {
	s.contacts.Range(func(name, r any) bool {
		if r.(contact).serving && name != s.cfg.Name {
			all = append(all, name.(string))
		}
		return true
	})
	slices.Sort(all)
	return all
}

// HighestCatalogue is the highest number of a catalogue of tenants that a live member says it has.
func (s *Server) HighestCatalogue() (number uint64) {
	s.contacts.Range(func(_, r any) bool {
		number = max(number, r.(contact).catalogue)
		return true
	})
	return number
}

// recordContact keeps how a member is reached.
func (s *Server) recordContact(m membership.Member) {
	r := contact{address: s.address(m.Name, m.Addr)}
	if m.Health == membership.Alive {
		r.serving, r.catalogue = m.Metadata.State == membership.Serving, m.Metadata.Catalogue
	}
	s.contacts.Store(m.Name, r)
}
