package gossip

import (
	"net/netip"
	"slices"

	"wrenspread/internal/membership"
)

// contact is a member's address, whether the member serves, and the version of its tenant catalogue.
type contact struct {
	address   netip.AddrPort
	serving   bool
	catalogue uint64 // 0 if the member is not alive
}

// SendTo sends a datagram of another part of the program to the member with the name, if it is known. It does
// not block.
func (s *Server) SendTo(name string, data []byte) {
	if value, ok := s.contacts.Load(name); ok && value.(contact).address.IsValid() {
		s.cfg.Send(value.(contact).address, data)
	}
}

// ServingMembers returns the names, in order, of the other members that are alive and serve.
func (s *Server) ServingMembers() (all []string) {
	s.contacts.Range(func(name, value any) bool {
		if value.(contact).serving && name != s.cfg.Name {
			all = append(all, name.(string))
		}
		return true
	})
	slices.Sort(all)
	return all
}

// HighestCatalogue returns the highest version of the tenant catalogue that a live member reports.
func (s *Server) HighestCatalogue() (number uint64) {
	s.contacts.Range(func(_, value any) bool {
		number = max(number, value.(contact).catalogue)
		return true
	})
	return number
}

// recordContact updates the contact of a member.
func (s *Server) recordContact(member membership.Member) {
	c := contact{address: s.address(member.Name, member.Addr)}
	if member.Health == membership.Alive {
		c.serving, c.catalogue = member.Metadata.State == membership.Serving, member.Metadata.Catalogue
	}
	s.contacts.Store(member.Name, c)
}
