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

// endpointSource is where a proxy's list of servers comes from. Its methods do not block,
// and are the loop's alone.
type endpointSource interface {
	// Follow takes lists as they are pushed, the complete one first.
	Follow(ctx context.Context)
	// Poll does what the balancer asks for where lists are not pushed.
	Poll(ctx context.Context, fetch, watch bool)
}

// listHold is short, so that a proxy soon notices a replica that is cut off silently.
const listHold = 5 * time.Second

// agentAnswerTimeout is how long a new process waits for what the agent holds, which
// counts from its first moment. An agent answers at once, or is silent with
// discovery: then the list of before has to do.
const agentAnswerTimeout = 500 * time.Millisecond

var endpointStates = map[string]balancer.EndpointState{
	registry.Ready:    balancer.Ready,
	registry.Draining: balancer.Draining,
	registry.Removed:  balancer.Removed,
}

func updateKindOf(l registry.ListResponse) balancer.UpdateKind {
	if l.Snapshot {
		return balancer.UpdateComplete
	}
	return balancer.UpdateIncremental
}

// newEndpointSource makes the client of the project's registry, where it is
// configured, else the follower of the platform's discovery.
func (srv *Server) newEndpointSource() (endpointSource, error) {
	listed := func(l registry.ListResponse) { srv.post(func() { srv.applyList(l, updateKindOf(l)) }) }
	failed := func() { srv.post(func() { srv.handle(balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}) }) }
	if len(srv.config.Registry) == 0 {
		return client.NewPlatform(
			srv.config.Discovery,
			srv.config.Settings.PollForEndpoints,
			srv.config.initialList.Index,
			srv.log,
			listed,
			failed,
		), nil
	}
	s := &registrySource{onList: listed}
	c := client.Config{
		Addresses: srv.config.Registry,
		File:      srv.config.RegistryCache,
		Hold:      listHold,
		Log:       srv.log,
		OnChange:  listed,
	}
	if s.subset.inputs.Store(subsetInputsOf(srv.config.Settings)); srv.config.RegistrySubset {
		c.ChooseSubset = s.subset.next
	}
	var err error
	if s.client, err = client.New(c); err != nil {
		return nil, err
	}
	if v, _ := s.client.List(); v.Version > 0 { // kept by the previous process
		srv.config.initialList = responseOf(v)
	}
	return s, nil
}

// startEndpointSource takes the list of before, and follows where lists are pushed.
func (srv *Server) startEndpointSource(ctx context.Context) {
	pushed := !srv.config.Settings.PollForEndpoints
	if _, agent := srv.endpointSource.(*client.Platform); pushed && agent {
		srv.awaitingAgent = true
		time.AfterFunc(srv.firstListTimeout, func() { srv.post(srv.agentAnswered) })
	}
	select {
	case <-srv.listKnown: // by an address to which SIGHUP has moved the proxy meanwhile: what is known is older
	default:
		srv.applyList(srv.config.initialList, balancer.UpdateCached)
	}
	srv.config.initialList.Endpoints = nil // what is known is kept in a shorter form from here on
	if pushed {
		srv.endpointSource.Follow(ctx)
	}
}

// agentAnswered tells the front that clients may come, as far as the agent's first answer is concerned.
func (srv *Server) agentAnswered() {
	srv.awaitingAgent = false
	srv.updateReady()
}

// registrySource is the registry with its several replicas. It pushes lists for ever, so a module that polls
// gets what is there.
type registrySource struct {
	client   *client.Client
	subset   subsetChooser
	onList   func(registry.ListResponse)
	watching bool
}

func (s *registrySource) Follow(ctx context.Context) {
	if !s.watching {
		s.watching = true
		go s.client.Follow(ctx)
	}
}

func (s *registrySource) Poll(ctx context.Context, fetch, watch bool) {
	if v, _ := s.client.List(); fetch && v.Version > 0 {
		s.onList(responseOf(v))
	}
	if fetch || watch {
		s.Follow(ctx)
	}
}

// moveEndpointSource goes on where a new configuration says, and in the way that it says, if that has turned:
// a module that lists are pushed to does not ask for them when a watch fails.
func (srv *Server) moveEndpointSource(cfg Config) {
	switch l := srv.endpointSource.(type) {
	case *registrySource:
		l.subset.inputs.Store(subsetInputsOf(srv.config.Settings))
		if !srv.config.Settings.PollForEndpoints {
			l.Follow(srv.loopContext)
		}
		if slices.Equal(cfg.Registry, srv.config.Registry) {
			return
		}
		if err := l.client.SetAddresses(cfg.Registry); err != nil {
			srv.log.Error("registry addresses rejected", "err", err)
			return
		}
		srv.log.Info("registry addresses changed", "to", cfg.Registry)
		srv.config.Registry = cfg.Registry
		if srv.policy != nil {
			_ = srv.policy.client.SetAddresses(cfg.Registry) // valid, as they were taken just now
		}
		if srv.tenants != nil {
			_ = srv.tenants.client.SetAddresses(cfg.Registry) // the same
		}
	case *client.Platform:
		asked := srv.config.Settings.PollForEndpoints
		if cfg.Discovery != srv.config.Discovery || asked != l.Polls() {
			srv.log.Info("discovery address changed", "to", cfg.Discovery, "asked", asked)
			srv.config.Discovery = cfg.Discovery
			l.Move(srv.loopContext, cfg.Discovery, asked)
		}
	}
}

// applyList takes a list from discovery: addresses for the sockets, the rest for
// the balancer.
func (srv *Server) applyList(l registry.ListResponse, kind balancer.UpdateKind) {
	entries := slices.Clone(l.Endpoints)
	// In one order whatever the list's, as the numbers of names that share a
	// hash depend on it. Of entries of one name the last counts.
	slices.SortStableFunc(entries, func(a, b registry.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	u := balancer.EndpointsUpdated{Kind: kind, Version: l.Index}
	setSubset(&u, l, srv.config.Settings.ProxyIndex)
	missing := map[string]bool{}
	if kind != balancer.UpdateIncremental {
		for name := range srv.listedEndpoints {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := srv.endpointIDs.idOf(e.Name), endpointStates[e.Status]
		u.Endpoints = append(
			u.Endpoints,
			balancer.Endpoint{ID: id, Zone: e.Zone, MachineType: e.Type, Cell: e.Cell, State: state,
				Weight: e.Weight, StartedAt: time.Duration(e.StartedAtMS) * time.Millisecond},
		)
		if missing[e.Name] = state == balancer.Removed; state != balancer.Removed {
			srv.listedEndpoints[e.Name] = id
			srv.pool.setBackend(id, e.Address, e.StartedAtMS)
			srv.pool.setDraining(id, state == balancer.Draining)
		}
	}
	srv.handle(u)
	for name, gone := range missing {
		if gone {
			srv.pool.removeBackend(srv.endpointIDs.idOf(name))
			if delete(srv.listedEndpoints, name); !srv.inMaintenance[name] {
				srv.endpointIDs.forget(name)
				srv.stats.forget(name)
			}
		}
	}
	srv.stats.discovered.Store(int64(len(srv.listedEndpoints)))
	if kind != balancer.UpdateCached {
		srv.listKnownOnce.Do(func() { close(srv.listKnown) })
	}
	if kind != balancer.UpdateCached || !srv.awaitingAgent {
		srv.agentAnswered()
	}
}
