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

// endpointSource delivers a proxy's list of endpoints. Its methods don't block, and only the loop calls them.
type endpointSource interface {
	// Follow delivers lists as they are pushed, the complete list first.
	Follow(ctx context.Context)
	// Poll reads the list once if fetch is set, and watches it for changes if watch is set. It carries out the
	// balancer's FetchEndpoints and Subscribe actions, where lists are not pushed.
	Poll(ctx context.Context, fetch, watch bool)
}

// registryWatchHold is how long a registry replica may leave a watch unanswered. It is short, so that a proxy
// soon detects that its connection to a replica is cut off without an error.
const registryWatchHold = 5 * time.Second

// agentAnswerTimeout is how long a new process waits for the agent's list before it accepts clients with the
// cached list. The agent's list applies from the start of the process. An agent either answers at once or, if
// discovery does not answer it, not at all.
const agentAnswerTimeout = 500 * time.Millisecond

// endpointStates maps the status in the registry's lists to the balancer's state.
var endpointStates = map[string]balancer.EndpointState{
	registry.Ready:    balancer.Ready,
	registry.Draining: balancer.Draining,
	registry.Removed:  balancer.Removed,
}

// updateKindOf reports whether a list from discovery is complete or holds changes only.
func updateKindOf(l registry.ListResponse) balancer.UpdateKind {
	if l.Snapshot {
		return balancer.UpdateComplete
	}
	return balancer.UpdateIncremental
}

// newEndpointSource returns a client of the registry if one is configured, and otherwise a client of the
// platform's discovery.
func (srv *Server) newEndpointSource() (endpointSource, error) {
	onList := func(l registry.ListResponse) { srv.post(func() { srv.applyList(l, updateKindOf(l)) }) }
	onError := func() { srv.post(func() { srv.handle(balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}) }) }
	if len(srv.config.Registry) == 0 {
		return client.NewPlatformFollower(
			srv.config.Discovery,
			srv.config.Settings.PollForEndpoints,
			srv.config.initialList.Index,
			srv.log,
			onList,
			onError,
		), nil
	}
	source := &registrySource{onList: onList}
	clientConfig := client.Config{
		Addresses: srv.config.Registry,
		CacheFile: srv.config.RegistryCache,
		Hold:      registryWatchHold,
		Log:       srv.log,
		OnChange:  onList,
	}
	if source.subset.inputs.Store(subsetInputsOf(srv.config.Settings)); srv.config.RegistrySubset {
		clientConfig.ChooseSubset = source.subset.next
	}
	var err error
	if source.client, err = client.New(clientConfig); err != nil {
		return nil, err
	}
	if list, _ := source.client.List(); list.Version > 0 { // cached by the previous process
		srv.config.initialList = listResponseOf(list)
	}
	return source, nil
}

// startEndpointSource applies the initial list, and follows the source where lists are pushed.
func (srv *Server) startEndpointSource(ctx context.Context) {
	pushed := !srv.config.Settings.PollForEndpoints
	if _, agent := srv.endpointSource.(*client.PlatformFollower); pushed && agent {
		srv.awaitingAgent = true
		time.AfterFunc(srv.firstListTimeout, func() { srv.post(srv.agentAnswered) })
	}
	select {
	case <-srv.listKnown: // a reload has moved the proxy to an address whose list is newer than the initial one
	default:
		srv.applyList(srv.config.initialList, balancer.UpdateCached)
	}
	srv.config.initialList.Endpoints = nil // frees memory: the loop's state has the endpoints in a shorter form
	if pushed {
		srv.endpointSource.Follow(ctx)
	}
}

// agentAnswered ends the wait for the agent's first answer, without which the proxy is not ready. It is also
// called when firstListTimeout has passed.
func (srv *Server) agentAnswered() {
	srv.awaitingAgent = false
	srv.updateReady()
}

// registrySource takes the endpoint list from the registry's replicas. The registry always pushes its lists,
// so if the balancer polls, Poll delivers the last list received.
type registrySource struct {
	client   *client.Client
	subset   subsetChooser
	onList   func(registry.ListResponse)
	watching bool
}

// Follow starts following the registry, unless that has been started before.
func (s *registrySource) Follow(ctx context.Context) {
	if !s.watching {
		s.watching = true
		go s.client.Follow(ctx)
	}
}

// Poll delivers the last list received if fetch is set, and starts to follow the registry.
func (s *registrySource) Poll(ctx context.Context, fetch, watch bool) {
	if list, _ := s.client.List(); fetch && list.Version > 0 {
		s.onList(listResponseOf(list))
	}
	if fetch || watch {
		s.Follow(ctx)
	}
}

// moveEndpointSource moves the source to the addresses of a new configuration. If the settings change between
// pushed and polled lists, the source changes too: with pushed lists the balancer does not poll after a
// failed watch, so the source has to follow the list by itself.
func (srv *Server) moveEndpointSource(cfg Config) {
	switch source := srv.endpointSource.(type) {
	case *registrySource:
		source.subset.inputs.Store(subsetInputsOf(srv.config.Settings))
		if !srv.config.Settings.PollForEndpoints {
			source.Follow(srv.loopContext)
		}
		if slices.Equal(cfg.Registry, srv.config.Registry) {
			return
		}
		if err := source.client.SetAddresses(cfg.Registry); err != nil {
			srv.log.Error("registry addresses rejected", "err", err)
			return
		}
		srv.log.Info("registry addresses changed", "to", cfg.Registry)
		srv.config.Registry = cfg.Registry
		if srv.policy != nil {
			_ = srv.policy.client.SetAddresses(cfg.Registry) // valid, as the list's client accepted them above
		}
		if srv.tenants != nil {
			_ = srv.tenants.client.SetAddresses(cfg.Registry) // valid for the same reason
		}
	case *client.PlatformFollower:
		polls := srv.config.Settings.PollForEndpoints
		if cfg.Discovery != srv.config.Discovery || polls != source.Polls() {
			srv.log.Info("discovery address changed", "to", cfg.Discovery, "asked", polls)
			srv.config.Discovery = cfg.Discovery
			source.Move(srv.loopContext, cfg.Discovery, polls)
		}
	}
}

// applyList applies a list from discovery: the pool gets the endpoints' addresses, the balancer their other
// fields. Endpoints that are missing in a complete list, or that are listed as removed, are removed from
// both.
func (srv *Server) applyList(list registry.ListResponse, kind balancer.UpdateKind) {
	entries := slices.Clone(list.Endpoints)
	// The entries are sorted by name because the IDs of names with the same hash depend on the order. The sort
	// is stable: of several entries of one name the last one counts.
	slices.SortStableFunc(entries, func(a, b registry.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	update := balancer.EndpointsUpdated{Kind: kind, Version: list.Index}
	setSubset(&update, list, srv.config.Settings.ProxyIndex)
	missing := map[string]bool{} // by name; true: the endpoint is to be removed
	if kind != balancer.UpdateIncremental {
		for name := range srv.listedEndpoints {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := srv.endpointIDs.idOf(e.Name), endpointStates[e.Status]
		update.Endpoints = append(
			update.Endpoints,
			balancer.Endpoint{ID: id, Zone: e.Zone, MachineType: e.Type, Cell: e.Cell, State: state,
				Weight: e.Weight, StartedAt: time.Duration(e.StartedAtMS) * time.Millisecond},
		)
		if missing[e.Name] = state == balancer.Removed; state != balancer.Removed {
			srv.listedEndpoints[e.Name] = id
			srv.pool.setBackend(id, e.Address, e.StartedAtMS)
			srv.pool.setDraining(id, state == balancer.Draining)
		}
	}
	srv.handle(update)
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
