package gossip

import "wrenspread/internal/membership"

type versions struct{ catalogue, policy uint64 }

// SetVersions publishes the versions of the tenant catalogue and of the policy that this proxy has; others
// hear of them within a period. It does not wait.
func (s *Server) SetVersions(catalogue, policy uint64) {
	s.versions.Store(&versions{catalogue, policy})
}

// currentMetadata is the node's metadata now.
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
