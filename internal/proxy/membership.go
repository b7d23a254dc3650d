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
	// membershipLeaveTimeout bounds the time for announcing that the process leaves: eight probe intervals of
	// 200 ms, and a reserve for a proxy that is scheduled late.
	membershipLeaveTimeout = 2500 * time.Millisecond
	// fleetReportTimeout bounds the wait for the gossip server's goroutine, which works for a millisecond at a
	// time.
	fleetReportTimeout = 800 * time.Millisecond
	// The first four bits of the gossip protocol's datagrams: their first byte is 0x40 to 0x5f.
	membershipKindLow, membershipKindHigh = 0x4, 0x5
)

// identity describes the proxy to the other members.
type identity struct {
	number          int // its index in Config.Peers; -1: none
	zone            string
	maxOpenRequests int64 // its load is reported relative to this
}

// newIdentity returns the identity of a proxy that accepts up to maxClients connections.
func newIdentity(cfg Config, maxClients int) identity {
	id := identity{number: -1, zone: cfg.Settings.Zone, maxOpenRequests: int64(maxClients)}
	if s := cfg.Settings; s.Proxies > 1 && s.ProxyIndex >= 0 && s.ProxyIndex < len(cfg.Peers) {
		id.number = s.ProxyIndex
	}
	if limit := cfg.Settings.MaxOpenRequests; limit > 0 {
		id.maxOpenRequests = min(id.maxOpenRequests, int64(limit))
	}
	return id
}

// startMembership starts the gossip server on the peer socket, if the configuration names a fleet. With a
// handoff it continues the generation of the previous process.
func (srv *Server) startMembership(p *peerSocket, handoff *gossip.Handoff) {
	c := srv.config.Membership
	if c.Name == "" {
		return
	}
	seeds := c.Join
	if len(seeds) == 0 {
		seeds = otherPeers(srv.config.Peers, srv.identity.number)
	}
	gossipServer := gossip.Start(
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
			LocalState:    srv.localState(handoff),
			Send:          p.write,
			Log:           srv.log,
			Handoff:       handoff,
		},
	)
	p.handlers[membershipKindLow], p.handlers[membershipKindHigh] = gossipServer.Receive, gossipServer.Receive
	if srv.policy != nil {
		p.handlers[quotaDatagramKind] = srv.receiveQuotaDatagram
	}
	srv.membership.Store(gossipServer)
}

// otherPeers returns the valid addresses except that of the proxy itself.
func otherPeers(addrs []netip.AddrPort, own int) (others []netip.AddrPort) {
	for i, a := range addrs {
		if i != own && a.IsValid() {
			others = append(others, a)
		}
	}
	return others
}

// localState returns a function that gives the proxy's state and its load, in thousandths of the requests
// that it may have open. After a handoff the previous process's state is reported until this process accepts.
func (srv *Server) localState(handoff *gossip.Handoff) func() (membership.State, uint16) {
	return func() (membership.State, uint16) {
		load := uint16(min(1000, max(0, srv.stats.outstanding.Load()*1000/srv.identity.maxOpenRequests)))
		switch {
		case srv.frontend.draining.Load():
			return membership.Draining, load
		case srv.frontend.serving():
			return membership.Serving, load
		case handoff != nil && !srv.frontend.accepting.Load():
			return handoff.State, load
		}
		return membership.Joining, load
	}
}

// leaveMembership announces to the fleet that this proxy leaves. A process that has handed off announces
// nothing.
func (srv *Server) leaveMembership(ctx context.Context) {
	if gossipServer := srv.membership.Load(); gossipServer != nil {
		ctx, cancel := context.WithTimeout(ctx, membershipLeaveTimeout)
		defer cancel()
		gossipServer.Leave(ctx)
	}
}

// handOffMembership stops the gossip server in this process and returns its encoded gossip.Handoff, from
// which the next process continues; nil without membership.
func (srv *Server) handOffMembership() json.RawMessage {
	gossipServer := srv.membership.Load()
	if gossipServer == nil {
		return nil
	}
	encoded, err := json.Marshal(gossipServer.HandOver())
	if err != nil {
		srv.log.Error("membership not handed off", "err", err)
	}
	return encoded
}

// decodeHandoff decodes what handOffMembership returned; nil if there is nothing or it can't be read.
func (srv *Server) decodeHandoff(raw json.RawMessage) *gossip.Handoff {
	if raw == nil {
		return nil
	}
	handoff := &gossip.Handoff{}
	if err := json.Unmarshal(raw, handoff); err != nil {
		srv.log.Warn("membership handoff unreadable, members see a restart", "err", err)
		return nil
	}
	return handoff
}

// serveFleet answers an operator with this proxy's view of the fleet.
func (srv *Server) serveFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), fleetReportTimeout)
	defer cancel()
	gossipServer := srv.membership.Load()
	if gossipServer == nil {
		http.Error(
			w,
			"the view has not begun: this process has no socket for other nodes yet",
			http.StatusServiceUnavailable,
		)
		return
	}
	report, ok := gossipServer.Report(ctx)
	if !ok {
		http.Error(w, "the view has ended here, or is late", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	besteffort.Encode(json.NewEncoder(w).Encode(report))
}
