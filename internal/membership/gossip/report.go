package gossip

import (
	"context"
	"fmt"
	"io"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership"
)

// Report is what a node reports about its view on the control address: at most 4,096 members, as many as the
// core remembers.
type Report struct {
	Fleet       string   `json:"fleet"`
	Name        string   `json:"name"`
	Generation  uint64   `json:"life"`
	Incarnation uint32   `json:"incarnation"`
	Version     uint64   `json:"number"`  // rises with each change that the digest covers
	Digest      string   `json:"digest"`  // 16 hexadecimal digits
	Yielded     bool     `json:"yielded"` // silent, as another process has the name
	Members     []Member `json:"members"` // by name, own included
	Sent        Traffic  `json:"sent"`
	Received    Received `json:"received"`
	LateMS      int64    `json:"late_ms"` // by how much its worst wake so far came too late
}

// Member is one member as the node sees it.
type Member struct {
	Name        string `json:"name"`
	Health      string `json:"health"` // alive, suspect, dead, left
	State       string `json:"state"`  // joining, serving, draining, leaving
	Generation  uint64 `json:"life"`
	Incarnation uint32 `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"` // since it has this generation and health
	Reason      string `json:"why"`
	Accusers    string `json:"by"` // names of its accusers, by comma
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Catalogue   uint64 `json:"catalogue"`
	Policy      uint64 `json:"policy"`
	Load        uint16 `json:"load"` // per mille
}

// Traffic is what has gone over the socket since the process began.
type Traffic struct {
	Datagrams int64 `json:"datagrams"`
	Bytes     int64 `json:"bytes"`
}

// Received is what has come.
type Received struct {
	Traffic
	Strangers int64 `json:"strangers"` // datagrams from addresses of no member
	// datagrams that were not looked into: of no fleet or another one, too many
	Dropped int64 `json:"dropped"`
}

// Report asks the owner for what it sees. It returns false if the owner has ended, or does not get to it
// before the context ends.
func (s *Server) Report(ctx context.Context) (r Report, ok bool) {
	ok = s.call(ctx, func() { r = s.report() })
	return r, ok
}

func (s *Server) report() Report {
	v := s.core.View()
	r := Report{
		Fleet:   s.cfg.Fleet,
		Name:    v.Self,
		Version: v.Version,
		Digest:  fmt.Sprintf("%016x", v.Digest),
		Yielded: v.Yielded,
		Sent:    s.sent.read(),
		Received: Received{
			Traffic:   s.received.read(),
			Strangers: s.received.strangers.Load(),
			Dropped:   s.received.dropped.Load(),
		},
		LateMS:  s.maxLateness.Milliseconds(),
		Members: make([]Member, 0, len(v.Members)),
	}
	for _, m := range v.Members {
		if m.Name == v.Self {
			r.Generation, r.Incarnation = m.Generation, m.Incarnation
		}
		r.Members = append(
			r.Members,
			Member{
				Name:        m.Name,
				Health:      m.Health.String(),
				State:       m.Metadata.State.String(),
				Generation:  m.Generation,
				Incarnation: m.Incarnation,
				AgeMS:       max(0, s.now()-m.Since).Milliseconds(),
				Reason:      m.Reason,
				Accusers:    m.Accusers,
				Zone:        m.Metadata.Zone,
				Version:     m.Metadata.Version,
				Catalogue:   m.Metadata.Catalogue,
				Policy:      m.Metadata.Policy,
				Load:        m.Metadata.Load,
			},
		)
	}
	return r
}

func (t *trafficCounters) read() Traffic {
	return Traffic{Datagrams: t.datagrams.Load(), Bytes: t.bytes.Load()}
}

// WriteStats returns the membership metrics as lines of text. It waits for nobody.
func (s *Server) WriteStats(w io.Writer) {
	for _, g := range []struct {
		name   string
		health membership.Health
	}{{"alive", membership.Alive}, {"suspect", membership.Suspect}, {"dead", membership.Dead}} {
		besteffort.Output(fmt.Fprintf(w, "app.fleet.%s:%d|g\n", g.name, s.membersByHealth[g.health].Load()))
	}
	t := s.sent.read()
	besteffort.Output(
		fmt.Fprintf(
			w,
			"app.fleet.changes:%d|c\napp.fleet.datagrams:%d|c\napp.fleet.bytes:%d|c\n",
			s.changes.Load(),
			t.Datagrams,
			t.Bytes,
		),
	)
}
