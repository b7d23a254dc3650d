package membership

import (
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// SettleTime is the stated time after the last fault in which all views are the same and right. It is the sum of
// the longest waits: a node that has just been accused by one is suspect for three times the joint time (6 s
// in a fleet of 30), holds its own accusations back for 10 s where many probes fail, and asks a dead member
// each second, and a seed each ten.
const SettleTime = 30 * time.Second

// viewSnapshot is a picture of all live nodes' views.
type viewSnapshot struct {
	nodes []*Node
	views []membership.View
	names map[string]*Node
}

func (f *Fleet) snapshot() viewSnapshot {
	l := viewSnapshot{nodes: f.LiveNodes(), names: map[string]*Node{}}
	for _, n := range l.nodes {
		l.views = append(l.views, n.Core.View())
		l.names[n.Name] = n
	}
	return l
}

// same reports whether all have one digest.
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
			if n := l.names[m.Name]; i == 0 && n != nil && m.Generation != n.self.Generation {
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

// complete reports whether every live node is alive in every view.
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

// clean reports whether nobody else is alive in any view.
func (l viewSnapshot) clean() error {
	for _, v := range l.views {
		for _, m := range v.Members {
			if m.Health <= membership.Suspect && l.names[m.Name] == nil {
				return fmt.Errorf("%s has %s %v, of which no process runs", v.Self, m.Name, m.Health)
			}
		}
	}
	return nil
}

// uniqueNames reports whether of several processes with one name one at most goes on.
func (l viewSnapshot) uniqueNames() error {
	for _, n := range l.nodes {
		if other := l.names[n.Name]; other != n {
			return fmt.Errorf("%s and %s both go on as %s", n.host, other.host, n.Name)
		}
	}
	return nil
}

// Settled says what is still missing until all views are the same and right.
func (f *Fleet) Settled() error {
	l := f.snapshot()
	for _, cond := range []func() error{l.uniqueNames, l.complete, l.clean, l.same} {
		if err := cond(); err != nil {
			return err
		}
	}
	return nil
}

// settleChecks returns the checks of what must come true within Settle after the last fault.
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
