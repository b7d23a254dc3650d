package proxy

import (
	"context"
	"slices"
	"strings"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// lists is where a node's list of servers comes from. Its methods do not block,
// and are the loop's alone.
type lists interface {
	// Follow takes lists as they are pushed, the whole one first.
	Follow(ctx context.Context)
	// Poll does what the module asks for where lists are not pushed.
	Poll(ctx context.Context, fetch, watch bool)
}

// listHold is short, so that a node soon notices a replica that is cut off without a word.
const listHold = 5 * time.Second

// firstWord is how long a new process waits for what the agent holds, which
// counts from its first moment. An agent answers at once, or is silent with
// discovery: then the list of before has to do.
const firstWord = 500 * time.Millisecond

var states = map[string]balancer.EndpointState{registry.Ready: balancer.Ready, registry.Draining: balancer.Draining, registry.Removed: balancer.Removed}

func kindOf(l registry.ListResponse) balancer.UpdateKind {
	if l.Snapshot {
		return balancer.UpdateComplete
	}
	return balancer.UpdateIncremental
}

// newLists makes the client of the project's list service, where it is
// configured, else the follower of the platform's discovery.
func (n *Node) newLists() (lists, error) {
	listed := func(l registry.ListResponse) { n.post(func() { n.follow(l, kindOf(l)) }) }
	failed := func() { n.post(func() { n.handle(balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}) }) }
	if len(n.cfg.List) == 0 {
		return client.NewPlatform(n.cfg.Discovery, n.cfg.Settings.PollForEndpoints, n.cfg.known.Index, n.log, listed, failed), nil
	}
	s := &service{listed: listed}
	c := client.Config{Addresses: n.cfg.List, File: n.cfg.ListFile, Hold: listHold, Log: n.log, OnChange: listed}
	if s.part.now.Store(scopeOf(n.cfg.Settings)); n.cfg.ListPart {
		c.ChooseSubset = s.part.next
	}
	var err error
	if s.k, err = client.New(c); err != nil {
		return nil, err
	}
	if v, _ := s.k.List(); v.Version > 0 { // kept by the process before
		n.cfg.known = snapshot(v)
	}
	return s, nil
}

// beginLists takes the list of before, and follows where lists are pushed.
func (n *Node) beginLists(ctx context.Context) {
	pushed := !n.cfg.Settings.PollForEndpoints
	if _, agent := n.lists.(*client.Platform); pushed && agent {
		n.unheard = true
		time.AfterFunc(n.first, func() { n.post(n.welcome) })
	}
	select {
	case <-n.told: // by an address to which SIGHUP has moved the node meanwhile: what is known is older
	default:
		n.follow(n.cfg.known, balancer.UpdateCached)
	}
	n.cfg.known.Endpoints = nil // what is known is kept in a shorter form from here on
	if pushed {
		n.lists.Follow(ctx)
	}
}

// welcome tells the front that clients may come, as far as the agent's first word is concerned.
func (n *Node) welcome() {
	n.unheard = false
	n.settleReady()
}

// service is the list service with its several replicas. It pushes lists for ever,
// so a module that asks is told what is there.
type service struct {
	k        *client.Client
	part     scoped
	listed   func(registry.ListResponse)
	watching bool
}

func (s *service) Follow(ctx context.Context) {
	if !s.watching {
		s.watching = true
		go s.k.Follow(ctx)
	}
}

func (s *service) Poll(ctx context.Context, fetch, watch bool) {
	if v, _ := s.k.List(); fetch && v.Version > 0 {
		s.listed(snapshot(v))
	}
	if fetch || watch {
		s.Follow(ctx)
	}
}

// moveLists goes on where a new configuration says, and in the way that it says, if that has turned: a module that
// lists are pushed to does not ask for them when a watch fails.
func (n *Node) moveLists(cfg Config) {
	switch l := n.lists.(type) {
	case *service:
		l.part.now.Store(scopeOf(n.cfg.Settings))
		if !n.cfg.Settings.PollForEndpoints {
			l.Follow(n.ctx)
		}
		if slices.Equal(cfg.List, n.cfg.List) {
			return
		}
		if err := l.k.SetAddresses(cfg.List); err != nil {
			n.log.Error("the list service does not move", "err", err)
			return
		}
		n.log.Info("the list service moves", "to", cfg.List)
		n.cfg.List = cfg.List
		if n.governed != nil {
			n.governed.k.SetAddresses(cfg.List) // as good as the ones just taken
		}
		if n.tenants != nil {
			n.tenants.k.SetAddresses(cfg.List)
		}
	case *client.Platform:
		asked := n.cfg.Settings.PollForEndpoints
		if cfg.Discovery != n.cfg.Discovery || asked != l.Polls() {
			n.log.Info("discovery moves", "to", cfg.Discovery, "asked", asked)
			n.cfg.Discovery = cfg.Discovery
			l.Move(n.ctx, cfg.Discovery, asked)
		}
	}
}

// follow takes a list from discovery: addresses for the sockets, the rest for
// the module.
func (n *Node) follow(l registry.ListResponse, kind balancer.UpdateKind) {
	entries := slices.Clone(l.Endpoints)
	// In one order whatever the list's, as the numbers of names that share a
	// hash depend on it. Of entries of one name the last counts.
	slices.SortStableFunc(entries, func(a, b registry.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	u := balancer.EndpointsUpdated{Kind: kind, Version: l.Index}
	placePart(&u, l, n.cfg.Settings.ProxyIndex)
	missing := map[string]bool{}
	if kind != balancer.UpdateIncremental {
		for name := range n.listed {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := n.ids.of(e.Name), states[e.Status]
		u.Endpoints = append(u.Endpoints, balancer.Endpoint{ID: id, Zone: e.Zone, MachineType: e.Type, Cell: e.Cell, State: state,
			Weight: e.Weight, StartedAt: time.Duration(e.StartedAtMS) * time.Millisecond})
		if missing[e.Name] = state == balancer.Removed; state != balancer.Removed {
			n.listed[e.Name] = id
			n.backends.set(id, e.Address, e.StartedAtMS)
			n.backends.drain(id, state == balancer.Draining)
		}
	}
	n.handle(u)
	for name, gone := range missing {
		if gone {
			n.backends.remove(n.ids.of(name))
			if delete(n.listed, name); !n.banned[name] {
				n.ids.forget(name)
				n.stats.forget(name)
			}
		}
	}
	n.stats.discovered.Store(int64(len(n.listed)))
	if kind != balancer.UpdateCached {
		n.heard.Do(func() { close(n.told) })
	}
	if kind != balancer.UpdateCached || !n.unheard {
		n.welcome()
	}
}
