package membership

import (
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// SettleTime is the guaranteed time after the last fault within which all views are equal and correct. It
// covers the sum of the longest waits: a node that a single member accuses is suspect for three times the
// suspicion timeout with three accusers (6 s in a fleet of 30), suppresses its own accusations for 10 s while
// many probes fail, queries a dead member each second, and a seed every ten seconds.
const SettleTime = 30 * time.Second

// viewSnapshot holds the views of all live nodes at one time.
type viewSnapshot struct {
	nodes  []*Node
	views  []membership.View
	byName map[string]*Node
}

func (f *Fleet) snapshot() viewSnapshot {
	s := viewSnapshot{nodes: f.LiveNodes(), byName: map[string]*Node{}}
	for _, n := range s.nodes {
		s.views = append(s.views, n.Core.View())
		s.byName[n.Name] = n
	}
	return s
}

// same returns an error if the digests of two views differ, or if the first view has a live node in a
// generation other than the node's current one. The equal digests cover the generations in the other views,
// except those of members that have been dead or left for DeadGossipTime. A live node that is in no view
// gives no error; complete finds it.
func (s viewSnapshot) same() error {
	for i, v := range s.views {
		if v.Digest != s.views[0].Digest {
			return fmt.Errorf(
				"%s has the digest %016x, %s has %016x",
				v.Self,
				v.Digest,
				s.views[0].Self,
				s.views[0].Digest,
			)
		}
		for _, m := range v.Members {
			if n := s.byName[m.Name]; i == 0 && n != nil && m.Generation != n.self.Generation {
				return fmt.Errorf(
					"%s has %s in generation %d, want %d",
					v.Self,
					m.Name,
					m.Generation,
					n.self.Generation,
				)
			}
		}
	}
	return nil
}

// complete returns an error unless every live node is alive in every view.
func (s viewSnapshot) complete() error {
	for _, v := range s.views {
		alive := map[string]bool{}
		for _, m := range v.Members {
			alive[m.Name] = m.Health == membership.Alive
		}
		for _, n := range s.nodes {
			if !alive[n.Name] {
				return fmt.Errorf("%s does not have %s as alive", v.Self, n.Name)
			}
		}
	}
	return nil
}

// clean returns an error if a view has a member as alive or suspect that is not a live node.
func (s viewSnapshot) clean() error {
	for _, v := range s.views {
		for _, m := range v.Members {
			if m.Health <= membership.Suspect && s.byName[m.Name] == nil {
				return fmt.Errorf("%s has %s as %v, but no live node has this name", v.Self, m.Name, m.Health)
			}
		}
	}
	return nil
}

// uniqueNames returns an error if several live processes have the same name.
func (s viewSnapshot) uniqueNames() error {
	for _, n := range s.nodes {
		if other := s.byName[n.Name]; other != n {
			return fmt.Errorf("the processes on %s and %s both use the name %s", n.host, other.host, n.Name)
		}
	}
	return nil
}

// Settled returns nil if all views are equal and correct, or else the first difference.
func (f *Fleet) Settled() error {
	s := f.snapshot()
	for _, cond := range []func() error{s.uniqueNames, s.complete, s.clean, s.same} {
		if err := cond(); err != nil {
			return err
		}
	}
	return nil
}

// settleChecks returns the checks that must pass within SettleTime after the last fault. They share this
// time. onSettled, if set, is called with the time until the last of them passed.
func (f *Fleet) settleChecks(onSettled func(time.Duration)) (checks []sim.Check) {
	var startedAt time.Duration
	add := func(name string, cond func(viewSnapshot) error) {
		checks = append(checks, sim.Check{Name: name, AtEnd: func() error {
			if startedAt == 0 {
				startedAt = f.World.Now()
			}
			err := cond(f.snapshot())
			for err != nil && f.World.Now()-startedAt < SettleTime {
				f.World.RunTo(f.World.Now() + 100*time.Millisecond)
				err = cond(f.snapshot())
			}
			if name == "settled" && onSettled != nil && err == nil {
				onSettled(f.World.Now() - startedAt)
			}
			return err
		}})
	}
	add("one of a name", viewSnapshot.uniqueNames)
	add("alive", viewSnapshot.complete)
	add("dead", viewSnapshot.clean)
	add("settled", viewSnapshot.same)
	return checks
}
