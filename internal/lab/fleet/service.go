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

// service is the project's own registry in place of the lab's discovery. The
// backends' entries are registered, renewed and drained by a registrar; the agent
// on each node's machine follows the service and answers its node.
type service struct {
	f     *fleet
	set   *replicas.Set
	boxes *registrar
	doors map[string]string // to backends, of all nodes; nil: each has its own
	tasks sync.WaitGroup
	ctx   context.Context
	crowd *crowd // nil: none

	workers *leases.WorkerPool // nil: none
}

const (
	boxTTL     = 5 * time.Second
	renewEvery = time.Second
	writeTime  = time.Minute // for one write of the registrar, over the service's failures
	registrars = "registrar" // the party that writes for the backends
	agentHold  = 2 * time.Second
)

func (f *fleet) newService() (*service, error) {
	set, err := replicas.New(
		replicas.Options{
			Count:   f.e.List.Replicas,
			Dir:     filepath.Join(f.o.Dir, "list"),
			Command: f.o.List,
			Env:     f.o.Env,
			Seed:    f.o.Seed,
		},
		f.net,
		f.group,
	)
	if err != nil {
		return nil, err
	}
	f.atEnd(set.ReleasePorts)
	s := &service{f: f, set: set}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	f.atEnd(func() { cancel(); s.tasks.Wait() })
	doors, err := set.Connect(registrars)
	if err != nil {
		return nil, err
	}
	k, err := client.New(client.Config{Addresses: doors})
	if err != nil {
		return nil, err
	}
	s.boxes = &registrar{client: k, up: map[string]registry.Endpoint{}, wake: make(chan struct{}, 1)}
	return s, nil
}

// begin starts the replicas and has all backends registered before nodes look.
func (s *service) begin(ctx context.Context) error {
	if err := s.set.Begin(ctx); err != nil {
		return err
	}
	if s.f.e.List.Direct {
		if err := s.commonDoors(); err != nil {
			return err
		}
	}
	for _, m := range s.f.w.Machines {
		s.boxes.ready(s.f.entry(m.Name, registry.Ready, ""))
	}
	if !s.boxes.work(ctx) {
		return fmt.Errorf("the boxes can't be registered: %w", ctx.Err())
	}
	s.tasks.Go(func() { s.boxes.run(s.ctx) })
	if err := s.startWorkers(ctx); err != nil {
		return err
	}
	if err := s.startFollowers(); err != nil || s.f.e.List.Direct {
		return err
	}
	for _, name := range s.f.names { // so that nodes begin with the complete list
		for len(s.f.nodes[name].agent.List(0, s.f.log.Now()).Endpoints) < len(s.f.w.Machines) {
			if !backoff.Sleep(ctx, 5*time.Millisecond) {
				return fmt.Errorf("the agent of %s has no list: %w", name, ctx.Err())
			}
		}
	}
	return nil
}

// commonDoors lays one link to each backend that all nodes find in the list: without
// agents there is nobody to tell each node its own.
func (s *service) commonDoors() error {
	s.doors = map[string]string{}
	for _, m := range s.f.w.Machines {
		door, err := s.f.net.Connect(link.Ends{From: "nodes", To: m.Name}, s.f.host.Box(m.Name).Address)
		if err != nil {
			return err
		}
		s.doors[m.Name] = door
	}
	s.f.layNet()
	return nil
}

// startWorkers starts those that hold leases, and waits until all leases are held.
func (s *service) startWorkers(ctx context.Context) error {
	d := s.f.e.Duties
	if d.Workers == 0 {
		return nil
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	s.workers, err = leases.NewWorkerPool(
		leases.CrewOptions{
			Workers: d.Workers,
			Duties:  d.Count,
			TTL:     time.Duration(d.TTL),
			Guarded: d.Guard,
			Spread:  d.Spread,
			Dir: filepath.Join(
				s.f.o.Dir,
				"workers",
			),
			Command: []string{own, "duty-worker"},
			Env:     s.f.o.Env,
		},
		s.set,
		s.f.net,
		s.f.group,
	)
	if err != nil {
		return err
	}
	s.f.atEnd(s.workers.Close)
	if err := s.workers.Start(); err != nil {
		return err
	}
	return s.workers.AwaitWrites(ctx, leases.Now())
}

// dutyVerdicts says what the workers' resource saw, and how long a lease had no holder.
func (s *service) dutyVerdicts(bound time.Duration) []check.Verdict {
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
	in := check.Verdict{
		Name:  "bound holder",
		Timed: true,
		Seen:  len(gaps),
		Rule:  fmt.Sprintf("no duty is without a holder for over %v", bound),
	}
	if len(gaps) > 0 {
		in.Rule += fmt.Sprintf(" (%v at most, %d changes)", gaps[0].Length.Round(time.Millisecond), len(gaps))
	}
	for _, g := range gaps {
		if g.Length > bound {
			in.Broken = append(
				in.Broken,
				check.Finding{Text: fmt.Sprintf("%s had none for %v", g.Lease, g.Length.Round(time.Millisecond))},
			)
		}
	}
	return []check.Verdict{v, in}
}

// change carries out what happens to a backend. One that dies says nothing.
func (s *service) change(box, status, since string, silent bool) {
	switch {
	case status == registry.Ready:
		s.boxes.ready(s.f.entry(box, status, since))
	case status == registry.Draining:
		s.boxes.drain(box)
	case silent:
		s.boxes.lose(box)
	default:
		s.boxes.remove(box)
	}
}

// agent makes the agent of a node, which hears of changes from the service.
func (s *service) agent(node string, address func(string) string) (*discovery.Agent, error) {
	doors, err := s.set.Connect(node)
	if err != nil {
		return nil, err
	}
	k, err := client.New(client.Config{Addresses: doors, Hold: agentHold})
	if err != nil {
		return nil, err
	}
	reg := &discovery.Registry{}
	atOnce := func(bool) time.Duration { return 0 }
	s.tasks.Go(func() { k.Follow(s.ctx); k.Close() })
	s.tasks.Go(func() { s.feed(k, reg) })
	return reg.Agent(node, s.f.log.Now, atOnce, address), nil
}

// feed tells an agent's registry what its client believes.
func (s *service) feed(k *client.Client, reg *discovery.Registry) {
	held := map[string]registry.Endpoint{}
	for s.ctx.Err() == nil {
		changed := k.Changed()
		v, _ := k.List()
		there := map[string]bool{}
		for _, e := range v.Endpoints {
			there[e.Name] = true
			if held[e.Name] != e {
				held[e.Name] = e
				reg.Set(s.f.log.Now(), e, false)
			}
		}
		for name, e := range held {
			if !there[name] {
				delete(held, name)
				e.Status = registry.Removed
				reg.Set(s.f.log.Now(), e, false)
			}
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

// registrar keeps the backends' entries: what it is told goes out in that order,
// however long the service is away.
type registrar struct {
	client *client.Client
	mu     sync.Mutex
	up     map[string]registry.Endpoint // renewed
	queue  []func(context.Context) error
	wake   chan struct{}
}

func (r *registrar) add(change func(), do func(context.Context) error) {
	r.mu.Lock()
	change()
	r.queue = append(r.queue, do)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *registrar) ready(e registry.Endpoint) {
	r.add(func() { r.up[e.Name] = e }, func(ctx context.Context) error {
		_, err := r.client.Register(ctx, e, boxTTL, nil)
		return err
	})
}

func (r *registrar) drain(name string) {
	r.add(func() {
		e := r.up[name]
		e.Status = registry.Draining
		r.up[name] = e
	}, func(ctx context.Context) error {
		_, err := r.client.Drain(ctx, name, nil)
		return err
	})
}

func (r *registrar) remove(name string) {
	r.add(func() { delete(r.up, name) }, func(ctx context.Context) error {
		_, err := r.client.Remove(ctx, name, nil)
		return err
	})
}

// lose is a backend that says nothing any more: its entry is left to expire.
func (r *registrar) lose(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.up, name)
}

func (r *registrar) run(ctx context.Context) {
	defer r.client.Close()
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	for {
		select {
		case <-r.wake:
			r.work(ctx)
		case <-t.C:
			r.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// work carries out what is queued; it returns false where ctx ended first. A refusal that is final, such as
// the drain of an entry that has gone, ends a write too.
func (r *registrar) work(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		if len(r.queue) == 0 {
			r.mu.Unlock()
			return true
		}
		do := r.queue[0]
		r.queue = r.queue[1:]
		r.mu.Unlock()
		one, cancel := context.WithTimeout(ctx, writeTime)
		_ = do(one) // what it came to is in the history
		cancel()
	}
	return false
}

func (r *registrar) renew(ctx context.Context) {
	r.mu.Lock()
	var names []string
	for n := range r.up {
		names = append(names, n)
	}
	r.mu.Unlock()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewEvery)
	defer cancel()
	unknown, err := r.client.Renew(ctx, names)
	if err != nil {
		return // again at the next tick
	}
	for _, n := range unknown {
		r.mu.Lock()
		e, ok := r.up[n]
		r.mu.Unlock()
		if ok {
			r.ready(e)
		}
	}
}
