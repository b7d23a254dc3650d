package view

import (
	"net/netip"
	"slices"

	"indigotack/internal/fleet"
)

// reach is how a member is reached, and whether it serves.
type reach struct {
	at     netip.AddrPort
	serves bool
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

// note keeps how a member is reached.
func (s *Shell) note(m fleet.Member) {
	s.book.Store(m.Name, reach{s.address(m.Name, m.Addr), m.Health == fleet.Alive && m.Facts.State == fleet.Serving})
}
