package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wrenspread/internal/membership/wire"
)

type (
	// Health says whether a member is alive, according to other members or to itself.
	Health = wire.Health
	// State is the state that a member reports of itself.
	State = wire.State
	// Metadata is what a member reports of itself.
	Metadata = wire.Metadata
)

// The healths and states of a member, which package wire describes.
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

// Member is a member in the node's view.
type Member struct {
	Name        string
	Number      int            // index among the configured peers; -1 means none
	Addr        netip.AddrPort // address that the member advertises
	Generation  uint64
	Incarnation uint32
	Health      Health
	Metadata    Metadata
	Since       Time // when the member got this generation and health, on the owner's clock
	// Reason is why the member is suspect, dead or left; Accusers are the names of at most three accusers,
	// separated by commas.
	Reason, Accusers string
}

// View is the node's view at one moment. Version rises with each change that the digest covers. Two nodes
// with the same Digest see the same members, with the same generations, incarnations, healths and metadata
// except for the load.
type View struct {
	Version uint64
	Digest  uint64
	Self    string   // the node's name
	Yielded bool     // the node sends nothing any more, because another process has its name
	Members []Member // by name, the node included; dead and left members until they are forgotten
}

// Serving returns the names, in order, of the members that are not dead or left and report that they serve.
func (v View) Serving() []string {
	var names []string
	for _, m := range v.Members {
		if m.Health <= Suspect && m.Metadata.State == Serving {
			names = append(names, m.Name)
		}
	}
	return names
}

// View returns the node's present view.
func (c *Core) View() View {
	v := View{Version: c.version, Digest: c.digest, Self: c.self.statement.Name, Yielded: c.hasYielded}
	for _, member := range c.sorted {
		v.Members = append(v.Members, c.asMember(member.statement, member.since))
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// asMember returns the view entry for a statement. since is when the member got its generation and health.
func (c *Core) asMember(statement wire.Statement, since Time) Member {
	m := Member{
		Name:        statement.Name,
		Number:      statement.Number,
		Addr:        statement.Addr,
		Generation:  statement.Generation,
		Incarnation: statement.Incarnation,
		Health:      statement.Health,
		Metadata:    statement.Metadata,
		Since:       since,
	}
	var accusers []string
	for _, h := range statement.Accusers {
		if member := c.byHash[h]; member != nil {
			accusers = append(accusers, member.statement.Name)
		} else if h != 0 {
			accusers = append(accusers, fmt.Sprintf("%016x", h))
		}
	}
	m.Accusers = strings.Join(accusers, ",")
	switch statement.Health {
	case Suspect:
		m.Reason = "no answer, neither directly nor through others"
	case Dead:
		m.Reason = "suspected, and did not speak up in time"
	case Left:
		m.Reason, m.Accusers = "said that it leaves", statement.Name
	}
	return m
}
