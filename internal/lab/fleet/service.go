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
// and drains the backends' entries. The agent on each node's machine follows the registry and answers its
// node.
type service struct {
	fleet            *fleet
	set              *replicas.Set
	registrar        *registrar
	backendAddresses map[string]string // common links of all nodes to backends; nil: each node has its own
	tasks            sync.WaitGroup
	ctx              context.Context
	followers        *followers // nil means that the experiment has no followers

	workers *leases.WorkerPool // nil means that the experiment has no leases
}

const (
	backendTTL     = 5 * time.Second
	renewInterval  = time.Second
	writeTimeout   = time.Minute // for one write of the registrar, including retries during failures
	registrarParty = "registrar" // the party of the registrar's links
	agentHoldTime  = 2 * time.Second
)

// newService creates the replicas and the registrar. It starts no process.
func (f *fleet) newService() (*service, error) {
	set, err := replicas.New(
		replicas.Options{
			Count:   f.experiment.List.Replicas,
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
	f.onClose(set.ReleasePorts)
	s := &service{fleet: f, set: set}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	f.onClose(func() { cancel(); s.tasks.Wait() })
	addresses, err := set.Connect(registrarParty)
	if err != nil {
		return nil, err
	}
	k, err := client.New(client.Config{Addresses: addresses})
	if err != nil {
		return nil, err
	}
	s.registrar = &registrar{client: k, renewed: map[string]registry.Endpoint{}, wake: make(chan struct{}, 1)}
	return s, nil
}

// start starts the replicas and registers all backends before the nodes start. It also starts the workers and
// followers of the experiment.
func (s *service) start(ctx context.Context) error {
	if err := s.set.Begin(ctx); err != nil {
		return err
	}
	if s.fleet.experiment.List.Direct {
		if err := s.linkBackends(); err != nil {
			return err
		}
	}
	for _, m := range s.fleet.world.Machines {
		s.registrar.register(s.fleet.entry(m.Name, registry.Ready, ""))
	}
	if !s.registrar.processQueue(ctx) {
		return fmt.Errorf("the boxes can't be registered: %w", ctx.Err())
	}
	s.tasks.Go(func() { s.registrar.run(s.ctx) })
	if err := s.startWorkers(ctx); err != nil {
		return err
	}
	if err := s.startFollowers(); err != nil || s.fleet.experiment.List.Direct {
		return err
	}
	for _, name := range s.fleet.nodeNames { // nodes start with the complete list
		for len(s.fleet.nodes[name].agent.List(0, s.fleet.log.Now()).Endpoints) < len(s.fleet.world.Machines) {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("the agent of %s has no list: %w", name, ctx.Err())
			}
		}
	}
	return nil
}

// linkBackends creates one link to each backend that all nodes use. Without agents, all nodes read the same
// addresses from the registry, so a node can't have links of its own.
func (s *service) linkBackends() error {
	s.backendAddresses = map[string]string{}
	for _, m := range s.fleet.world.Machines {
		address, err := s.fleet.net.Connect(link.Ends{From: "nodes", To: m.Name}, s.fleet.host.Backend(m.Name).Address)
		if err != nil {
			return err
		}
		s.backendAddresses[m.Name] = address
	}
	s.fleet.applyNetworkDelays()
	return nil
}

// startWorkers starts the workers that hold leases, if the experiment has any, and waits until each lease
// has a holder.
func (s *service) startWorkers(ctx context.Context) error {
	d := s.fleet.experiment.Duties
	if d.Workers == 0 {
		return nil
	}
	labProgram, err := os.Executable()
	if err != nil {
		return err
	}
	s.workers, err = leases.NewWorkerPool(
		leases.PoolOptions{
			Workers: d.Workers,
			Duties:  d.Count,
			TTL:     time.Duration(d.TTL),
			Guarded: d.Guard,
			Spread:  d.Spread,
			Dir: filepath.Join(
				s.fleet.options.Dir,
				"workers",
			),
			Command: []string{labProgram, "duty-worker"},
			Env:     s.fleet.options.Env,
		},
		s.set,
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

// leaseVerdicts returns the verdict on the acts that the workers' resource accepted and, if there is a
// bound, on the longest time that a lease had no holder.
func (s *service) leaseVerdicts(bound time.Duration) []check.Verdict {
	acts, _ := s.workers.Resource.Acts()
	v := check.Verdict{
		Name: "duties",
		Rule: "one process holds a duty at a time: no act under a lower fence after one under a higher, none interleaved",
		Seen: len(acts),
	}
	broken, sure, err := s.workers.Check()
	if err != nil {
		broken = append(broken, err.Error())
	}
	if !sure {
		broken = append(broken, "the search for an order of the grants took too long")
	}
	for _, b := range broken {
		v.Broken = append(v.Broken, check.Finding{Text: b})
	}
	if bound == 0 {
		return []check.Verdict{v}
	}
	gaps := leases.Gaps(acts)
	timed := check.Verdict{
		Name:  "bound holder",
		Timed: true,
		Seen:  len(gaps),
		Rule:  fmt.Sprintf("no duty is without a holder for over %v", bound),
	}
	if len(gaps) > 0 {
		timed.Rule += fmt.Sprintf(" (%v at most, %d changes)", gaps[0].Length.Round(time.Millisecond), len(gaps))
	}
	for _, g := range gaps {
		if g.Length > bound {
			timed.Broken = append(
				timed.Broken,
				check.Finding{Text: fmt.Sprintf("%s had none for %v", g.Lease, g.Length.Round(time.Millisecond))},
			)
		}
	}
	return []check.Verdict{v, timed}
}

// changeBackend changes a backend's entry. A backend that ends silently sends no request, so its entry
// expires.
func (s *service) changeBackend(backend, status, since string, silent bool) {
	switch {
	case status == registry.Ready:
		s.registrar.register(s.fleet.entry(backend, status, since))
	case status == registry.Draining:
		s.registrar.drain(backend)
	case silent:
		s.registrar.forget(backend)
	default:
		s.registrar.remove(backend)
	}
}

// newAgent creates the agent of a node, which follows the registry.
func (s *service) newAgent(node string, address func(string) string) (*discovery.Agent, error) {
	addresses, err := s.set.Connect(node)
	if err != nil {
		return nil, err
	}
	k, err := client.New(client.Config{Addresses: addresses, Hold: agentHoldTime})
	if err != nil {
		return nil, err
	}
	reg := &discovery.Registry{}
	noDelay := func(bool) time.Duration { return 0 }
	s.tasks.Go(func() { k.Follow(s.ctx); k.Close() })
	s.tasks.Go(func() { s.feedAgent(k, reg) })
	return reg.Agent(node, s.fleet.log.Now, noDelay, address), nil
}

// feedAgent copies the list of a registry client to the registry of an agent until the run ends.
func (s *service) feedAgent(k *client.Client, reg *discovery.Registry) {
	known := map[string]registry.Endpoint{}
	for s.ctx.Err() == nil {
		changed := k.Changed()
		v, _ := k.List()
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

// registrar writes the backends' entries to the registry, in the order in which the writes are queued, also
// after the registry was unavailable, and renews the entries.
type registrar struct {
	client  *client.Client
	mu      sync.Mutex
	renewed map[string]registry.Endpoint // entries to renew, by name
	queue   []func(context.Context) error
	wake    chan struct{}
}

// enqueue applies a change to the entries to renew and queues the write, in one step.
func (r *registrar) enqueue(change func(), do func(context.Context) error) {
	r.mu.Lock()
	change()
	r.queue = append(r.queue, do)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *registrar) register(e registry.Endpoint) {
	r.enqueue(func() { r.renewed[e.Name] = e }, func(ctx context.Context) error {
		_, err := r.client.Register(ctx, e, backendTTL, nil)
		return err
	})
}

func (r *registrar) drain(name string) {
	r.enqueue(func() {
		e := r.renewed[name]
		e.Status = registry.Draining
		r.renewed[name] = e
	}, func(ctx context.Context) error {
		_, err := r.client.Drain(ctx, name, nil)
		return err
	})
}

func (r *registrar) remove(name string) {
	r.enqueue(func() { delete(r.renewed, name) }, func(ctx context.Context) error {
		_, err := r.client.Remove(ctx, name, nil)
		return err
	})
}

// forget stops the renewal of an entry, which then expires, as that of a backend that ended silently.
func (r *registrar) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.renewed, name)
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

// processQueue carries out the queued writes; it returns false if ctx ended first. A write is also done if
// it is finally refused, such as the drain of an entry that was removed.
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
		_ = write(writeCtx) // the history shows the result
		cancel()
	}
	return false
}

// renew renews all entries, and registers those again that the registry doesn't know.
func (r *registrar) renew(ctx context.Context) {
	r.mu.Lock()
	var names []string
	for n := range r.renewed {
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
		e, ok := r.renewed[n]
		r.mu.Unlock()
		if ok {
			r.register(e)
		}
	}
}
