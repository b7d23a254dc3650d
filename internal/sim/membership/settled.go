package membership

import (
	"fmt"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// Settle is the stated time after the last fault in which all views are the same and right. It is the sum of
// the longest waits: a node that has just been accused by one is suspect for three times the joint time (6 s
// in a fleet of 30), holds its own accusations back for 10 s where many probes fail, and asks a dead member
// each second, and a seed each ten.
const Settle = 30 * time.Second

// look is a picture of all live nodes' views.
type look struct {
	nodes []*Node
	views []membership.View
	names map[string]*Node
}

func (f *Fleet) look() look {
	l := look{nodes: f.Live(), names: map[string]*Node{}}
	for _, n := range l.nodes {
		l.views = append(l.views, n.Core.View())
		l.names[n.Name] = n
	}
	return l
}

// same reports whether all have one digest.
func (l look) same() error {
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
func (l look) complete() error {
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
func (l look) clean() error {
	for _, v := range l.views {
		for _, m := range v.Members {
			if m.Health <= membership.Suspect && l.names[m.Name] == nil {
				return fmt.Errorf("%s has %s %v, of which no process runs", v.Self, m.Name, m.Health)
			}
		}
	}
	return nil
}

// single reports whether of several processes with one name one at most goes on.
func (l look) single() error {
	for _, n := range l.nodes {
		if o := l.names[n.Name]; o != n {
			return fmt.Errorf("%s and %s both go on as %s", n.end, o.end, n.Name)
		}
	}
	return nil
}

// Settled says what is still missing until all views are the same and right.
func (f *Fleet) Settled() error {
	l := f.look()
	for _, cond := range []func() error{l.single, l.complete, l.clean, l.same} {
		if err := cond(); err != nil {
			return err
		}
	}
	return nil
}

// settling returns the checks of what must come true within Settle after the last fault.
func (f *Fleet) settling(took func(time.Duration)) (all []sim.Check) {
	var began time.Duration
	wait := func(name string, cond func(look) error) {
		all = append(all, sim.Check{Name: name, End: func() error {
			if began == 0 {
				began = f.World.Now()
			}
			err := cond(f.look())
			for err != nil && f.World.Now()-began < Settle {
				f.World.RunTo(f.World.Now() + 100*time.Millisecond)
				err = cond(f.look())
			}
			if name == "settled" && took != nil && err == nil {
				took(f.World.Now() - began)
			}
			return err
		}})
	}
	wait("one of a name", look.single)
	wait("alive", look.complete)
	wait("dead", look.clean)
	wait("settled", look.same)
	return all
}
