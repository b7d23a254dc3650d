package registry

// Dispatch and validation of commands on leases, and validation of leases in a snapshot.

import "fmt"

// applyLeaseCommand carries out a command on sessions or leases.
func (s *State) applyLeaseCommand(c Command) Result {
	switch c.Op {
	case OpOpenSession:
		return s.openSession(c)
	case OpCloseSessions:
		for _, id := range c.Sessions {
			s.closeSession(id, c.Grant)
		}
	case OpCampaign:
		return s.campaign(c)
	case OpRelease:
		return s.releaseLeases(c)
	case OpTransfer:
		return s.transferLease(c)
	case OpBlock:
		return s.block(c)
	case OpGrant:
		for _, name := range c.Grant {
			if lease, ok := s.leases.Leases[name]; ok {
				s.grant(lease)
			}
		}
	}
	return Result{}
}

// checkLease validates a command on sessions or leases.
func (c Command) checkLease() error {
	if len(c.Candidacies) > MaxLeaseBatch || len(c.Sessions) > MaxSessions || len(c.Grant) > MaxLeases {
		return fmt.Errorf(
			"%d duties or %d sessions are too many for one command",
			len(c.Candidacies),
			len(c.Sessions),
		)
	}
	for _, candidacy := range c.Candidacies {
		if candidacy.Lease == "" || len(candidacy.Lease) > MaxTextBytes {
			return fmt.Errorf("duty: want 1 to %d bytes", MaxTextBytes)
		}
	}
	switch c.Op {
	case OpOpenSession:
		return c.Session.check()
	case OpCampaign, OpRelease:
		if c.Session == nil || c.Session.ID == "" {
			return fmt.Errorf("session: missing")
		}
	case OpTransfer, OpBlock:
		if c.Name == "" || len(c.Name) > MaxTextBytes || len(c.Process) > MaxTextBytes ||
			c.Op == OpBlock && c.Process == "" {
			return fmt.Errorf("duty and process: want 1 to %d bytes", MaxTextBytes)
		}
	}
	return nil
}

// check validates the sessions and leases of a snapshot of the given version. It rejects a state that no
// sequence of commands can produce.
func (d *leaseState) check(version uint64) error {
	if d.Sessions == nil || d.Leases == nil || d.Changed > version {
		return fmt.Errorf("duties without sessions, or changed after version %d", version)
	}
	if err := d.checkSessions(); err != nil {
		return err
	}
	for name, lease := range d.Leases {
		if lease == nil {
			return fmt.Errorf("duty %s has a holder or a fence that can't be", name)
		}
		if err := d.checkLease(name, lease, version); err != nil {
			return err
		}
	}
	return nil
}

// checkSessions validates the sessions and checks that the leases that they name exist.
func (d *leaseState) checkSessions() error {
	for id, opened := range d.Sessions {
		if opened == nil || opened.ID != id || opened.Leases == nil {
			return fmt.Errorf("session %s is not itself", id)
		}
		for name := range opened.Leases {
			if d.Leases[name] == nil {
				return fmt.Errorf("session %s is in %s, which is no duty", id, name)
			}
		}
	}
	return nil
}

// checkLease validates a lease of a snapshot: its holder and its candidates must have sessions, and its
// fencing token must not be above the snapshot's version.
func (d *leaseState) checkLease(name string, lease *Lease, version uint64) error {
	heldWithoutSession := lease.Holder != "" && d.Sessions[lease.Holder] == nil
	heldWithoutToken := lease.Holder != "" && lease.Token == 0
	if lease.Name != name || lease.Token > version || heldWithoutSession || heldWithoutToken {
		return fmt.Errorf("duty %s has a holder or a fence that can't be", name)
	}
	for _, candidate := range lease.Queue {
		if d.Sessions[candidate.Session] == nil {
			return fmt.Errorf("a candidate of %s has no session", name)
		}
	}
	return nil
}
