package membership

import (
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// SettleTime is the promised time after the last fault within which all views are equal and right. It is the
// sum of the longest waits: a node accused by a single member is suspect for three times the suspicion
// timeout with three accusers (6 s in a fleet of 30), suppresses its own accusations for 10 s while many
// probes fail, queries a dead member each second, and a seed every ten seconds.
const SettleTime = 30 * time.Second

// viewSnapshot holds the views of all live nodes at one time.
type viewSnapshot struct {
	nodes  []*Node
	views  []membership.View
	byName map[string]*Node
}

func (f *Fleet) snapshot() viewSnapshot {
	l := viewSnapshot{nodes: f.LiveNodes(), byName: map[string]*Node{}}
	for _, n := range l.nodes {
		l.views = append(l.views, n.Core.View())
		l.byName[n.Name] = n
	}
	return l
}

// same returns an error if the digests of two views differ or the first view has a live node in another
// generation than its current one. The equal digests cover the generations in the other views, except those
// of members that have been dead or left for DeadGossipTime. A live node that is in no view gives no error;
// complete finds it.
func (l viewSnapshot) same() error {
	for i, v := range l.views {
		if v.Digest != l.views[0].Digest {
			return fmt.Errorf(
				"%s has the digest %016x, %s has %016x",
				v.Self,
				v.Digest,
				l.views[0].Self,
				l.views[0].Digest,
			)
		}
		for _, m := range v.Members {
			if n := l.byName[m.Name]; i == 0 && n != nil && m.Generation != n.self.Generation {
				return fmt.Errorf(
					"%s has %s in life %d, which is in life %d",
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
func (l viewSnapshot) complete() error {
	for _, v := range l.views {
		alive := map[string]bool{}
		for _, m := range v.Members {
			alive[m.Name] = m.Health == membership.Alive
		}
		for _, n := range l.nodes {
			if !alive[n.Name] {
				return fmt.Errorf("%s does not have %s alive", v.Self, n.Name)
			}
		}
	}
	return nil
}

// clean returns an error if a view has a member alive or suspect that is not a live node.
func (l viewSnapshot) clean() error {
	for _, v := range l.views {
		for _, m := range v.Members {
			if m.Health <= membership.Suspect && l.byName[m.Name] == nil {
				return fmt.Errorf("%s has %s %v, of which no process runs", v.Self, m.Name, m.Health)
			}
		}
	}
	return nil
}

// uniqueNames returns an error if several live processes have the same name.
func (l viewSnapshot) uniqueNames() error {
	for _, n := range l.nodes {
		if other := l.byName[n.Name]; other != n {
			return fmt.Errorf("%s and %s both go on as %s", n.host, other.host, n.Name)
		}
	}
	return nil
}

// Settled returns nil if all views are equal and right, or else the first difference.
func (f *Fleet) Settled() error {
	l := f.snapshot()
	for _, cond := range []func() error{l.uniqueNames, l.complete, l.clean, l.same} {
		if err := cond(); err != nil {
			return err
		}
	}
	return nil
}

// settleChecks returns the checks of what must come true within SettleTime after the last fault. took, if
// set, is called with the time that the last of these checks needed.
func (f *Fleet) settleChecks(took func(time.Duration)) (all []sim.Check) {
	var began time.Duration
	add := func(name string, cond func(viewSnapshot) error) {
		all = append(all, sim.Check{Name: name, AtEnd: func() error {
			if began == 0 {
				began = f.World.Now()
			}
			err := cond(f.snapshot())
			for err != nil && f.World.Now()-began < SettleTime {
				f.World.RunTo(f.World.Now() + 100*time.Millisecond)
				err = cond(f.snapshot())
			}
			if name == "settled" && took != nil && err == nil {
				took(f.World.Now() - began)
			}
			return err
		}})
	}
	add("one of a name", viewSnapshot.uniqueNames)
	add("alive", viewSnapshot.complete)
	add("dead", viewSnapshot.clean)
	add("settled", viewSnapshot.same)
	return all
}
