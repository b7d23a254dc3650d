package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/leases"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// service is the project's own registry, used instead of the lab's discovery. A registrar registers, renews
// and drains the backends' entries. Each node has an agent that follows the registry and answers the node's
// requests for the list, unless the experiment makes the nodes follow the registry directly.
type service struct {
	fleet            *fleet
	replicas         *replicas.Set
	registrar        *registrar
	backendAddresses map[string]string // links to backends that all nodes share; nil: each node has its own
	tasks            sync.WaitGroup
	ctx              context.Context
	followers        *followers // nil means that the experiment has no followers

	workers *leases.WorkerPool // nil means that the experiment has no workers
}

const (
	backendTTL     = 5 * time.Second
	renewInterval  = time.Second
	writeTimeout   = time.Minute // for one write of the registrar, including retries during failures
	registrarParty = "registrar" // name of the registrar as an end of links
	agentHoldTime  = 2 * time.Second
)

// newService creates the replicas and the registrar. It starts no process.
func (f *fleet) newService() (*service, error) {
	replicaSet, err := replicas.New(
		replicas.Options{
			Count:   f.experiment.Discovery.Replicas,
			Dir:     filepath.Join(f.options.Dir, "list"),
			Command: f.options.ReplicaCommand,
			Env:     f.options.Env,
			Seed:    f.options.Seed,
		},
		f.net,
		f.group,
	)
	if err != nil {
		return nil, err
	}
	f.onClose(replicaSet.ReleasePorts)
	s := &service{fleet: f, replicas: replicaSet}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	f.onClose(func() { cancel(); s.tasks.Wait() })
	addresses, err := replicaSet.Connect(registrarParty)
	if err != nil {
		return nil, err
	}
	registryClient, err := client.New(client.Config{Addresses: addresses})
	if err != nil {
		return nil, err
	}
	s.registrar = &registrar{client: registryClient, entries: map[string]registry.Endpoint{},
		wake: make(chan struct{}, 1)}
	return s, nil
}

// start starts the replicas, registers all backends, starts the workers and followers of the experiment, and
// waits until each node's agent lists all backends. It has to return before the nodes start.
func (s *service) start(ctx context.Context) error {
	if err := s.replicas.StartAll(ctx); err != nil {
		return err
	}
	if s.fleet.experiment.Discovery.Direct {
		if err := s.linkBackends(); err != nil {
			return err
		}
	}
	for _, m := range s.fleet.world.Machines {
		s.registrar.register(s.fleet.entry(m.Name, registry.Ready, ""))
	}
	if !s.registrar.processQueue(ctx) {
		return fmt.Errorf("register backends: %w", ctx.Err())
	}
	s.tasks.Go(func() { s.registrar.run(s.ctx) })
	if err := s.startWorkers(ctx); err != nil {
		return err
	}
	if err := s.startFollowers(); err != nil || s.fleet.experiment.Discovery.Direct {
		return err
	}
	for _, name := range s.fleet.nodeNames { // nodes start with the complete list
		for len(s.fleet.nodes[name].agent.List(0, s.fleet.log.Now()).Endpoints) < len(s.fleet.world.Machines) {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("wait until the agent of %s lists all backends: %w", name, ctx.Err())
			}
		}
	}
	return nil
}

// linkBackends creates one link to each backend, which all nodes share. Without agents, all nodes read the
// same addresses from the registry, so a node can't have links of its own.
func (s *service) linkBackends() error {
	s.backendAddresses = map[string]string{}
	for _, m := range s.fleet.world.Machines {
		address, err := s.fleet.net.Connect(
			link.Ends{From: "nodes", To: m.Name}, s.fleet.host.Backend(m.Name).Address)
		if err != nil {
			return err
		}
		s.backendAddresses[m.Name] = address
	}
	s.fleet.applyNetworkDelays()
	return nil
}

// startWorkers starts the workers that hold leases, if the experiment has any, and waits until the holder of
// each lease has written to the workers' resource.
func (s *service) startWorkers(ctx context.Context) error {
	workers := s.fleet.experiment.LeaseWorkers
	if workers.Number == 0 {
		return nil
	}
	labProgram, err := os.Executable()
	if err != nil {
		return err
	}
	s.workers, err = leases.NewWorkerPool(
		leases.PoolOptions{
			Workers: workers.Number,
			Leases:  workers.Leases,
			TTL:     time.Duration(workers.TTL),
			Guarded: workers.Guarded,
			Spread:  workers.Spread,
			Dir: filepath.Join(
				s.fleet.options.Dir,
				"workers",
			),
			Command: []string{labProgram, "duty-worker"},
			Env:     s.fleet.options.Env,
		},
		s.replicas,
		s.fleet.net,
		s.fleet.group,
	)
	if err != nil {
		return err
	}
	s.fleet.onClose(s.workers.Close)
	if err := s.workers.Start(); err != nil {
		return err
	}
	return s.workers.AwaitWrites(ctx, leases.Now())
}

// leaseVerdicts returns the verdict on the acts that the workers' resource accepted and, if bound is not 0,
// the verdict on the longest time that a lease had no holder.
func (s *service) leaseVerdicts(bound time.Duration) []check.Verdict {
	acts, _ := s.workers.Resource.Acts()
	verdict := check.Verdict{
		Name: "duties",
		Rule: "one process holds a duty at a time: no act under a lower fence after one under a higher, none interleaved",
		Seen: len(acts),
	}
	broken, conclusive, err := s.workers.Check()
	if err != nil {
		broken = append(broken, err.Error())
	}
	if !conclusive {
		broken = append(broken, "the search for an order of the grants took too long")
	}
	for _, b := range broken {
		verdict.Broken = append(verdict.Broken, check.Finding{Text: b})
	}
	if bound == 0 {
		return []check.Verdict{verdict}
	}
	gaps := leases.Gaps(acts)
	gapVerdict := check.Verdict{
		Name:  "bound holder",
		Timed: true,
		Seen:  len(gaps),
		Rule:  fmt.Sprintf("no duty is without a holder for over %v", bound),
	}
	if len(gaps) > 0 {
		gapVerdict.Rule += fmt.Sprintf(
			" (%v at most, %d changes)", gaps[0].Length.Round(time.Millisecond), len(gaps))
	}
	for _, g := range gaps {
		if g.Length > bound {
			gapVerdict.Broken = append(
				gapVerdict.Broken,
				check.Finding{Text: fmt.Sprintf("%s had none for %v", g.Lease, g.Length.Round(time.Millisecond))},
			)
		}
	}
	return []check.Verdict{verdict, gapVerdict}
}

// changeBackend has the registrar change a backend's entry. For a backend that ends silently, no request is
// sent: its entry is no longer renewed and expires.
func (s *service) changeBackend(backend, status, startedAtMS string, silent bool) {
	switch {
	case status == registry.Ready:
		s.registrar.register(s.fleet.entry(backend, status, startedAtMS))
	case status == registry.Draining:
		s.registrar.drain(backend)
	case silent:
		s.registrar.forget(backend)
	default:
		s.registrar.remove(backend)
	}
}

// newAgent creates the agent of a node, which follows the registry. address maps the name of a backend to the
// address of the node's link to it.
func (s *service) newAgent(node string, address func(string) string) (*discovery.Agent, error) {
	addresses, err := s.replicas.Connect(node)
	if err != nil {
		return nil, err
	}
	registryClient, err := client.New(client.Config{Addresses: addresses, Hold: agentHoldTime})
	if err != nil {
		return nil, err
	}
	reg := &discovery.Registry{}
	noDelay := func(bool) time.Duration { return 0 }
	s.tasks.Go(func() { registryClient.Follow(s.ctx); registryClient.Close() })
	s.tasks.Go(func() { s.feedAgent(registryClient, reg) })
	return reg.Agent(node, s.fleet.log.Now, noDelay, address), nil
}

// feedAgent copies each change of the registry client's list to reg, from which an agent reads, until the run
// ends.
func (s *service) feedAgent(registryClient *client.Client, reg *discovery.Registry) {
	known := map[string]registry.Endpoint{}
	for s.ctx.Err() == nil {
		changed := registryClient.Changed()
		v, _ := registryClient.List()
		listed := map[string]bool{}
		for _, e := range v.Endpoints {
			listed[e.Name] = true
			if known[e.Name] != e {
				known[e.Name] = e
				reg.Set(s.fleet.log.Now(), e, false)
			}
		}
		for name, e := range known {
			if !listed[name] {
				delete(known, name)
				e.Status = registry.Removed
				reg.Set(s.fleet.log.Now(), e, false)
			}
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

// registrar writes the backends' entries to the registry and renews them. It makes the writes in the order in
// which they are queued, also if the registry is unavailable for a while.
type registrar struct {
	client  *client.Client
	mu      sync.Mutex
	entries map[string]registry.Endpoint // entries to renew, by name
	queue   []func(context.Context) error
	wake    chan struct{}
}

// enqueue changes the entries to renew with updateEntries and queues the write, both under the lock.
func (r *registrar) enqueue(updateEntries func(), write func(context.Context) error) {
	r.mu.Lock()
	updateEntries()
	r.queue = append(r.queue, write)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// register queues the registration of an entry, which is renewed from now on.
func (r *registrar) register(e registry.Endpoint) {
	r.enqueue(func() { r.entries[e.Name] = e }, func(ctx context.Context) error {
		_, err := r.client.Register(ctx, e, backendTTL, nil)
		return err
	})
}

// drain queues the change of an entry to draining. The entry is still renewed.
func (r *registrar) drain(name string) {
	r.enqueue(func() {
		e := r.entries[name]
		e.Status = registry.Draining
		r.entries[name] = e
	}, func(ctx context.Context) error {
		_, err := r.client.Drain(ctx, name, nil)
		return err
	})
}

// remove queues the removal of an entry.
func (r *registrar) remove(name string) {
	r.enqueue(func() { delete(r.entries, name) }, func(ctx context.Context) error {
		_, err := r.client.Remove(ctx, name, nil)
		return err
	})
}

// forget stops the renewal of an entry without a write, as if the backend had ended silently. The entry then
// expires.
func (r *registrar) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, name)
}

// run processes queued writes and renews the entries until ctx ends.
func (r *registrar) run(ctx context.Context) {
	defer r.client.Close()
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-r.wake:
			r.processQueue(ctx)
		case <-t.C:
			r.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// processQueue carries out the queued writes; it returns false if ctx ended first. A write that the registry
// finally refuses, such as the drain of an entry that was removed, counts as carried out.
func (r *registrar) processQueue(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		if len(r.queue) == 0 {
			r.mu.Unlock()
			return true
		}
		write := r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_ = write(writeCtx) // the history shows whether it succeeded
		cancel()
	}
	return false
}

// renew renews all entries, and registers again each entry that the registry doesn't know.
func (r *registrar) renew(ctx context.Context) {
	r.mu.Lock()
	var names []string
	for n := range r.entries {
		names = append(names, n)
	}
	r.mu.Unlock()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	unknown, err := r.client.Renew(ctx, names)
	if err != nil {
		return // the next tick retries
	}
	for _, n := range unknown {
		r.mu.Lock()
		e, ok := r.entries[n]
		r.mu.Unlock()
		if ok {
			r.register(e)
		}
	}
}
