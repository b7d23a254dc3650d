package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership"
	"wrenspread/internal/membership/gossip"
)

const (
	// leaveTimeout bounds how long the process stays to tell the others that it goes on purpose: eight periods
	// of 200 ms, and some for a proxy that is late.
	leaveTimeout = 2500 * time.Millisecond
	// reportTimeout is for the view's owner to get to a call: it has a millisecond of work at a time.
	reportTimeout = 800 * time.Millisecond
	// Datagrams that begin with 0x40 to 0x5f are the view's, by their first four bits.
	membershipKinds, membershipKindsMore = 0x4, 0x5
)

// identity is what the proxy says of itself in its generation.
type identity struct {
	number          int // among the peers, -1: none
	zone            string
	maxOpenRequests int64 // requests that it may have open
}

func newIdentity(cfg Config, clients int) identity {
	o := identity{number: -1, zone: cfg.Settings.Zone, maxOpenRequests: int64(clients)}
	if s := cfg.Settings; s.Proxies > 1 && s.ProxyIndex >= 0 && s.ProxyIndex < len(cfg.Peers) {
		o.number = s.ProxyIndex
	}
	if most := cfg.Settings.MaxOpenRequests; most > 0 {
		o.maxOpenRequests = min(o.maxOpenRequests, int64(most))
	}
	return o
}

// startMembership begins the proxy's part in the view of the fleet, if its configuration names one, at the
// peers' socket.
func (srv *Server) startMembership(p *peerSocket, handed *gossip.Handoff) {
	c := srv.config.Membership
	if c.Name == "" {
		return
	}
	seeds := c.Join
	if len(seeds) == 0 {
		seeds = otherPeers(srv.config.Peers, srv.identity.number)
	}
	shell := gossip.Start(
		srv.loopContext,
		gossip.Config{
			Fleet:         c.Name,
			Name:          srv.config.Name,
			Number:        srv.identity.number,
			Addr:          c.Address,
			Seeds:         seeds,
			Peers:         srv.config.Peers,
			ProbeInterval: c.ProbeInterval,
			Zone:          srv.identity.zone,
			Version:       version(),
			LocalState:    srv.localState(handed),
			Send:          p.write,
			Log:           srv.log,
			Handoff:       handed,
		},
	)
	p.handlers[membershipKinds], p.handlers[membershipKindsMore] = shell.Receive, shell.Receive
	if srv.policy != nil {
		p.handlers[quotaKind] = srv.receiveQuotaDatagram
	}
	srv.membership.Store(shell)
}

func otherPeers(all []netip.AddrPort, own int) (others []netip.AddrPort) {
	for i, a := range all {
		if i != own && a.IsValid() {
			others = append(others, a)
		}
	}
	return others
}

// localState tells the fleet what the proxy does. One that takes over from a process of its own goes on with
// that one's state until it accepts.
func (srv *Server) localState(handed *gossip.Handoff) func() (membership.State, uint16) {
	return func() (membership.State, uint16) {
		load := uint16(min(1000, max(0, srv.stats.outstanding.Load()*1000/srv.identity.maxOpenRequests)))
		switch {
		case srv.frontend.draining.Load():
			return membership.Draining, load
		case srv.frontend.serving():
			return membership.Serving, load
		case handed != nil && !srv.frontend.accepting.Load():
			return handed.State, load
		}
		return membership.Joining, load
	}
}

// leaveMembership tells the fleet that this proxy goes on purpose. A proxy that handed over has nothing to
// tell.
func (srv *Server) leaveMembership(ctx context.Context) {
	if shell := srv.membership.Load(); shell != nil {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		shell.Leave(ctx)
	}
}

// handOffMembership ends the view in this process, and gives what the next one goes on with; nil without a
// view.
func (srv *Server) handOffMembership() json.RawMessage {
	shell := srv.membership.Load()
	if shell == nil {
		return nil
	}
	handed, err := json.Marshal(shell.HandOver())
	if err != nil {
		srv.log.Error("membership not handed off", "err", err)
	}
	return handed
}

// decodeHandoff reads what handOffMembership returned; nil for nothing, and for what can't be read.
func (srv *Server) decodeHandoff(raw json.RawMessage) *gossip.Handoff {
	if raw == nil {
		return nil
	}
	h := &gossip.Handoff{}
	if err := json.Unmarshal(raw, h); err != nil {
		srv.log.Warn("membership handoff unreadable, members see a restart", "err", err)
		return nil
	}
	return h
}

// serveFleet tells an operator what the proxy sees.
func (srv *Server) serveFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), reportTimeout)
	defer cancel()
	shell := srv.membership.Load()
	if shell == nil {
		http.Error(
			w,
			"the view has not begun: this process has no socket for other nodes yet",
			http.StatusServiceUnavailable,
		)
		return
	}
	report, ok := shell.Report(ctx)
	if !ok {
		http.Error(w, "the view has ended here, or is late", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	besteffort.Encode(json.NewEncoder(w).Encode(report))
}
