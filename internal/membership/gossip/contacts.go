package gossip

import (
	"net/netip"
	"slices"

	"wrenspread/internal/membership"
)

// contact is what SendTo, ServingMembers and HighestCatalogue need to know of a member.
type contact struct {
	address   netip.AddrPort
	serving   bool
	catalogue uint64 // version of the member's tenant catalogue; 0 if the member is not alive
}

// SendTo sends a datagram, which other packages define, to the member with the name. If the member's address
// is not known, the datagram is dropped. SendTo does not block.
func (s *Server) SendTo(name string, data []byte) {
	if value, ok := s.contacts.Load(name); ok && value.(contact).address.IsValid() {
		s.cfg.Send(value.(contact).address, data)
	}
}

// ServingMembers returns the names, in order, of the other members that are alive and serve.
func (s *Server) ServingMembers() (names []string) {
	s.contacts.Range(func(name, value any) bool {
		if value.(contact).serving && name != s.cfg.Name {
			names = append(names, name.(string))
		}
		return true
	})
	slices.Sort(names)
	return names
}

// HighestCatalogue returns the highest version of the tenant catalogue that a live member reports.
func (s *Server) HighestCatalogue() (version uint64) {
	s.contacts.Range(func(_, value any) bool {
		version = max(version, value.(contact).catalogue)
		return true
	})
	return version
}

// recordContact stores a member's contact.
func (s *Server) recordContact(member membership.Member) {
	c := contact{address: s.address(member.Name, member.Addr)}
	if member.Health == membership.Alive {
		c.serving, c.catalogue = member.Metadata.State == membership.Serving, member.Metadata.Catalogue
	}
	s.contacts.Store(member.Name, c)
}
