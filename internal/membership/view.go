package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wrenspread/internal/membership/wire"
)

// The words on members are those of the datagrams.
type (
	Health = wire.Health
	State  = wire.State
	Facts  = wire.Facts
)

const (
	Alive   = wire.Alive
	Suspect = wire.Suspect
	Dead    = wire.Dead
	Left    = wire.Left

	Joining  = wire.Joining
	Serving  = wire.Serving
	Draining = wire.Draining
	Leaving  = wire.Leaving
)

// Member is what the node believes of one member.
type Member struct {
	Name        string
	Number      int // place among the configured peers, -1: none
	Addr        netip.AddrPort
	Life        uint64
	Incarnation uint32
	Health      Health
	Facts       Facts
	Since       Time   // since when it has this life and health, on the owner's clock
	Why, By     string // why it is suspect, dead or left, and the names of its accusers (at most three, by comma)
}

// View is what the node believes at one moment. Number rises with each change that the digest covers; two nodes with the same
// Digest see the same members with the same lives, incarnations, healths and facts, load aside.
type View struct {
	Number  uint64
	Digest  uint64
	Self    string
	Yielded bool     // silent, as another process has the name
	Members []Member // by name, own included; the dead and left ones until they are forgotten
}

// Serving gives the names of the members that are not dead or left and say that they serve, in order.
func (v View) Serving() []string {
	var names []string
	for _, m := range v.Members {
		if m.Health <= Suspect && m.Facts.State == Serving {
			names = append(names, m.Name)
		}
	}
	return names
}

// View gives what the node believes now.
func (c *Core) View() View {
	v := View{Number: c.number, Digest: c.root, Self: c.self.st.Name, Yielded: c.yielded}
	for _, r := range c.order {
		v.Members = append(v.Members, c.member(r.st, r.since))
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

func (c *Core) member(st wire.Statement, since Time) Member {
	m := Member{Name: st.Name, Number: st.Number, Addr: st.Addr, Life: st.Life, Incarnation: st.Incarnation, Health: st.Health,
		Facts: st.Facts, Since: since}
	var by []string
	for _, h := range st.By {
		if r := c.byHash[h]; r != nil {
			by = append(by, r.st.Name)
		} else if h != 0 {
			by = append(by, fmt.Sprintf("%016x", h))
		}
	}
	m.By = strings.Join(by, ",")
	switch st.Health {
	case Suspect:
		m.Why = "no answer, neither directly nor through others"
	case Dead:
		m.Why = "suspected, and did not speak up in time"
	case Left:
		m.Why, m.By = "said that it leaves", st.Name
	}
	return m
}
