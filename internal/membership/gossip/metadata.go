package gossip

import "wrenspread/internal/membership"

// versions are the versions of the tenant catalogue and of the policy that this proxy has.
type versions struct{ catalogue, policy uint64 }

// SetVersions sets the versions of the tenant catalogue and of the policy that this proxy has. The node
// starts to broadcast them within a period. SetVersions does not block.
func (s *Server) SetVersions(catalogue, policy uint64) {
	s.versions.Store(&versions{catalogue, policy})
}

// currentMetadata returns the node's present metadata.
func (s *Server) currentMetadata() membership.Metadata {
	v := s.versions.Load()
	state, load := s.cfg.LocalState()
	return membership.Metadata{
		Zone:      s.cfg.Zone,
		Version:   s.cfg.Version,
		Catalogue: v.catalogue,
		Policy:    v.policy,
		Load:      load,
		State:     state,
	}
}
