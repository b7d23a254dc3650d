package gossip

import (
	"context"
	"fmt"
	"io"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership"
)

// Report is what a node reports about its view at the control address. It has at most 4,096 members, since
// the core remembers no more.
type Report struct {
	Fleet       string   `json:"fleet"`
	Name        string   `json:"name"`
	Generation  uint64   `json:"life"`
	Incarnation uint32   `json:"incarnation"`
	Version     uint64   `json:"number"`  // rises with each change that the digest covers
	Digest      string   `json:"digest"`  // 16 hexadecimal digits
	Yielded     bool     `json:"yielded"` // the node sends nothing, as another process has its name
	Members     []Member `json:"members"` // by name, this node included
	Sent        Traffic  `json:"sent"`
	Received    Received `json:"received"`
	LateMS      int64    `json:"late_ms"` // largest lateness of a wake so far
}

// Member is a member in the node's view.
type Member struct {
	Name        string `json:"name"`
	Health      string `json:"health"` // alive, suspect, dead, left
	State       string `json:"state"`  // joining, serving, draining, leaving
	Generation  uint64 `json:"life"`
	Incarnation uint32 `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"` // for how long the member has had this generation and health
	Reason      string `json:"why"`
	Accusers    string `json:"by"` // names of the accusers, separated by commas
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Catalogue   uint64 `json:"catalogue"`
	Policy      uint64 `json:"policy"`
	Load        uint16 `json:"load"` // per mille
}

// Traffic counts the datagrams in one direction since the start of the process.
type Traffic struct {
	Datagrams int64 `json:"datagrams"`
	Bytes     int64 `json:"bytes"`
}

// Received counts the received datagrams.
type Received struct {
	Traffic
	Strangers int64 `json:"strangers"` // datagrams from addresses that are not of a member
	// Dropped counts the datagrams that were not passed to the core: those of another fleet or no fleet, and
	// those beyond a limit (Server.Receive).
	Dropped int64 `json:"dropped"`
}

// Report returns a report of the owner's present view. ok is false if the owner has ended, or did not answer
// before the context ended.
func (s *Server) Report(ctx context.Context) (r Report, ok bool) {
	ok = s.call(ctx, func() { r = s.report() })
	return r, ok
}

func (s *Server) report() Report {
	view := s.core.View()
	report := Report{
		Fleet:   s.cfg.Fleet,
		Name:    view.Self,
		Version: view.Version,
		Digest:  fmt.Sprintf("%016x", view.Digest),
		Yielded: view.Yielded,
		Sent:    s.sent.read(),
		Received: Received{
			Traffic:   s.received.read(),
			Strangers: s.received.fromStrangers.Load(),
			Dropped:   s.received.dropped.Load(),
		},
		LateMS:  s.maxLateness.Milliseconds(),
		Members: make([]Member, 0, len(view.Members)),
	}
	for _, member := range view.Members {
		if member.Name == view.Self {
			report.Generation, report.Incarnation = member.Generation, member.Incarnation
		}
		report.Members = append(
			report.Members,
			Member{
				Name:        member.Name,
				Health:      member.Health.String(),
				State:       member.Metadata.State.String(),
				Generation:  member.Generation,
				Incarnation: member.Incarnation,
				AgeMS:       max(0, s.now()-member.Since).Milliseconds(),
				Reason:      member.Reason,
				Accusers:    member.Accusers,
				Zone:        member.Metadata.Zone,
				Version:     member.Metadata.Version,
				Catalogue:   member.Metadata.Catalogue,
				Policy:      member.Metadata.Policy,
				Load:        member.Metadata.Load,
			},
		)
	}
	return report
}

func (t *trafficCounters) read() Traffic {
	return Traffic{Datagrams: t.datagrams.Load(), Bytes: t.bytes.Load()}
}

// WriteStats writes the membership metrics as lines of text. It does not wait for the owner.
func (s *Server) WriteStats(w io.Writer) {
	for _, gauge := range []struct {
		name   string
		health membership.Health
	}{{"alive", membership.Alive}, {"suspect", membership.Suspect}, {"dead", membership.Dead}} {
		besteffort.Output(fmt.Fprintf(w, "app.fleet.%s:%d|g\n", gauge.name, s.membersByHealth[gauge.health].Load()))
	}
	sent := s.sent.read()
	besteffort.Output(
		fmt.Fprintf(
			w,
			"app.fleet.changes:%d|c\napp.fleet.datagrams:%d|c\napp.fleet.bytes:%d|c\n",
			s.changes.Load(),
			sent.Datagrams,
			sent.Bytes,
		),
	)
}
