package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wrenspread/internal/membership/wire"
)

type (
	// Health is what others, or the member itself, say of whether it lives.
	Health = wire.Health
	// State is what a member says that it is doing.
	State = wire.State
	// Metadata is what a member says of itself.
	Metadata = wire.Metadata
)

// The healths and states of a member; package wire says what they mean.
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
	Generation  uint64
	Incarnation uint32
	Health      Health
	Metadata    Metadata
	Since       Time // since when it has this generation and health, on the owner's clock
	// why it is suspect, dead or left, and the names of its accusers (at most three, by comma)
	Reason, Accusers string
}

// View is what the node believes at one moment. Number rises with each change that the digest covers; two
// nodes with the same Digest see the same members with the same generations, incarnations, healths and
// metadata, load aside.
type View struct {
	Version uint64
	Digest  uint64
	Self    string
	Yielded bool     // silent, as another process has the name
	Members []Member // by name, own included; the dead and left ones until they are forgotten
}

// Serving returns the names of the members that are not dead or left and say that they serve, in order.
func (v View) Serving() []string {
	var names []string
	for _, m := range v.Members {
		if m.Health <= Suspect && m.Metadata.State == Serving {
			names = append(names, m.Name)
		}
	}
	return names
}

// View returns what the node believes now.
func (c *Core) View() View {
	v := View{Version: c.version, Digest: c.digest, Self: c.self.statement.Name, Yielded: c.yielded}
	for _, r := range c.sorted {
		v.Members = append(v.Members, c.member(r.statement, r.since))
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

func (c *Core) member(st wire.Statement, since Time) Member {
	m := Member{
		Name:        st.Name,
		Number:      st.Number,
		Addr:        st.Addr,
		Generation:  st.Generation,
		Incarnation: st.Incarnation,
		Health:      st.Health,
		Metadata:    st.Metadata,
		Since:       since,
	}
	var by []string
	for _, h := range st.Accusers {
		if r := c.byHash[h]; r != nil {
			by = append(by, r.statement.Name)
		} else if h != 0 {
			by = append(by, fmt.Sprintf("%016x", h))
		}
	}
	m.Accusers = strings.Join(by, ",")
	switch st.Health {
	case Suspect:
		m.Reason = "no answer, neither directly nor through others"
	case Dead:
		m.Reason = "suspected, and did not speak up in time"
	case Left:
		m.Reason, m.Accusers = "said that it leaves", st.Name
	}
	return m
}
