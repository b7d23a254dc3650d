package gossip

import (
	"net/netip"
	"slices"

	"wrenspread/internal/membership"
)

// reach is how a member is reached, whether it serves, and which catalogue of tenants it has.
type reach struct {
	at        netip.AddrPort
	serves    bool
	catalogue uint64 // 0 of one that is not alive
}

// Tell sends a datagram of another part of the program to a member by its name, if it is known. It does not wait.
func (s *Shell) Tell(name string, data []byte) {
	if r, ok := s.book.Load(name); ok && r.(reach).at.IsValid() {
		s.cfg.Write(r.(reach).at, data)
	}
}

// Serving are the members that live and serve, but the own one, by name.
func (s *Shell) Serving() (all []string) {
	s.book.Range(func(name, r any) bool {
		if r.(reach).serves && name != s.cfg.Name {
			all = append(all, name.(string))
		}
		return true
	})
	slices.Sort(all)
	return all
}

// Catalogue is the highest number of a catalogue of tenants that a live member says it has.
func (s *Shell) Catalogue() (number uint64) {
	s.book.Range(func(_, r any) bool {
		number = max(number, r.(reach).catalogue)
		return true
	})
	return number
}

// note keeps how a member is reached.
func (s *Shell) note(m membership.Member) {
	r := reach{at: s.address(m.Name, m.Addr)}
	if m.Health == membership.Alive {
		r.serves, r.catalogue = m.Facts.State == membership.Serving, m.Facts.Catalogue
	}
	s.book.Store(m.Name, r)
}
