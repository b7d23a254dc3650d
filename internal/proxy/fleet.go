package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/gossip"
)

const (
	// leaveTime bounds how long the process stays to tell the others that it goes on purpose: eight periods of 200 ms, and
	// some for a node that is late.
	leaveTime = 2500 * time.Millisecond
	// reportTime is for the view's owner to get to a call: it has a millisecond of work at a time.
	reportTime = 800 * time.Millisecond
	// Datagrams that begin with 0x40 to 0x5f are the view's, by their first four bits.
	viewKinds, viewKindsMore = 0x4, 0x5
)

// own is what the node says of itself in its life.
type own struct {
	number int // among the peers, -1: none
	zone   string
	most   int64 // requests that it may have open
}

func newOwn(cfg Config, clients int) own {
	o := own{number: -1, zone: cfg.Settings.Zone, most: int64(clients)}
	if s := cfg.Settings; s.Proxies > 1 && s.ProxyIndex >= 0 && s.ProxyIndex < len(cfg.Peers) {
		o.number = s.ProxyIndex
	}
	if most := cfg.Settings.MaxOpenRequests; most > 0 {
		o.most = min(o.most, int64(most))
	}
	return o
}

// startView begins the node's part in the view of the fleet, if its configuration names one, at the peers' socket.
func (n *Node) startView(p *peers, handed *gossip.Handoff) {
	c := n.cfg.Fleet
	if c.Name == "" {
		return
	}
	seeds := c.Join
	if len(seeds) == 0 {
		seeds = otherPeers(n.cfg.Peers, n.own.number)
	}
	shell := gossip.Start(n.ctx, gossip.Config{Fleet: c.Name, Name: n.cfg.Name, Number: n.own.number, Addr: c.Address, Seeds: seeds, Peers: n.cfg.Peers,
		ProbeInterval: c.Period, Zone: n.own.zone, Version: version(), LocalState: n.doing(handed), Send: p.write, Log: n.log, Handoff: handed})
	p.hear[viewKinds], p.hear[viewKindsMore] = shell.Receive, shell.Receive
	if n.governed != nil {
		p.hear[quotaKind] = n.hearShares
	}
	n.view.Store(shell)
}

func otherPeers(all []netip.AddrPort, own int) (others []netip.AddrPort) {
	for i, a := range all {
		if i != own && a.IsValid() {
			others = append(others, a)
		}
	}
	return others
}

// doing tells the fleet what the node does. One that takes over from a process of its own goes on with that one's state until it accepts.
func (n *Node) doing(handed *gossip.Handoff) func() (membership.State, uint16) {
	return func() (membership.State, uint16) {
		load := uint16(min(1000, max(0, n.stats.outstanding.Load()*1000/n.own.most)))
		switch {
		case n.front.draining.Load():
			return membership.Draining, load
		case n.front.serving():
			return membership.Serving, load
		case handed != nil && !n.front.open.Load():
			return handed.State, load
		}
		return membership.Joining, load
	}
}

// leaveView tells the fleet that this node goes on purpose. A node that handed over has nothing to tell.
func (n *Node) leaveView(ctx context.Context) {
	if shell := n.view.Load(); shell != nil {
		ctx, cancel := context.WithTimeout(ctx, leaveTime)
		defer cancel()
		shell.Leave(ctx)
	}
}

// handOverView ends the view in this process, and gives what the next one goes on with; nil without a view.
func (n *Node) handOverView() json.RawMessage {
	shell := n.view.Load()
	if shell == nil {
		return nil
	}
	handed, err := json.Marshal(shell.HandOver())
	if err != nil {
		n.log.Error("the life in the fleet is not handed over", "err", err)
	}
	return handed
}

// readHanded reads what handOverView gave; nil for nothing, and for what can't be read.
func (n *Node) readHanded(raw json.RawMessage) *gossip.Handoff {
	if raw == nil {
		return nil
	}
	h := &gossip.Handoff{}
	if err := json.Unmarshal(raw, h); err != nil {
		n.log.Warn("the fleet sees a restart: the life of the process before can't be read", "err", err)
		return nil
	}
	return h
}

// answerFleet tells an operator what the node sees.
func (n *Node) answerFleet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), reportTime)
	defer cancel()
	shell := n.view.Load()
	if shell == nil {
		http.Error(w, "the view has not begun: this process has no socket for other nodes yet", http.StatusServiceUnavailable)
		return
	}
	report, ok := shell.Report(ctx)
	if !ok {
		http.Error(w, "the view has ended here, or is late", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(report)
}
