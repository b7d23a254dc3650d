package leases

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
)

// CrewOptions say which workers there are.
type CrewOptions struct {
	Workers int
	Duties  int
	TTL     time.Duration
	Guarded bool // the resource checks fencing tokens
	Spread  bool
	Rest    time.Duration // between two acts on one lease; 0: as many as the resource can take
	Deaf    time.Duration // a broken stand-in, see WorkerOptions
	Dir     string
	Command []string // of a worker; its flags are added
	Env     []string
}

// Crew is the workers of a run and the resource that they act on. Workers are d0, d1 and so on.
type Crew struct {
	o        CrewOptions
	group    *process.Group
	Resource *Resource
	all      []*member
}

type member struct {
	name string
	args []string
	dir  string
	mu   sync.Mutex
	proc *process.Proc
}

// NewCrew lays the workers' links to the registry and the resource.
func NewCrew(o CrewOptions, set *replicas.Set, net *link.Net, group *process.Group) (*Crew, error) {
	c := &Crew{o: o, group: group}
	var err error
	if c.Resource, err = NewResource(o.Guarded); err != nil {
		return nil, err
	}
	var names []string
	for i := range o.Duties {
		names = append(names, fmt.Sprint("duty", i))
	}
	for i := range o.Workers {
		m := &member{name: fmt.Sprint("d", i)}
		if m.dir, err = filepath.Abs(filepath.Join(o.Dir, m.name)); err != nil {
			c.Resource.Close()
			return nil, err
		}
		doors, err := set.Doors(m.name)
		if err != nil {
			c.Resource.Close()
			return nil, err
		}
		resource, err := net.Connect(link.Ends{From: m.name, To: "resource"}, c.Resource.Address())
		if err != nil {
			c.Resource.Close()
			return nil, err
		}
		m.args = []string{
			"--process",
			m.name,
			"--list",
			strings.Join(doors, ","),
			"--resource",
			resource,
			"--duties",
			strings.Join(names, ","),
			"--ttl",
			o.TTL.String(),
			"--every",
			o.every().String(),
			"--log",
			m.log(),
			fmt.Sprintf("--spread=%v", o.Spread),
			"--deaf",
			o.Deaf.String(),
		}
		c.all = append(c.all, m)
	}
	return c, nil
}

// Acts on one lease are actEvery apart, or farther where there are many leases, so
// that the resource gets a thousand a second at most.
const (
	actEvery = 4 * time.Millisecond
	actShare = time.Millisecond
)

func (o CrewOptions) every() time.Duration {
	return max(o.Rest, actEvery, time.Duration(o.Duties)*actShare)
}

func (m *member) log() string { return filepath.Join(m.dir, "acts.jsonl") }

// Start starts all workers.
func (c *Crew) Start() error {
	for _, m := range c.all {
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *Crew) start(m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := c.group.Start(
		process.Spec{Name: m.name, Command: append(slices.Clone(c.o.Command), m.args...), Dir: m.dir,
			Env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}, c.o.Env...)},
	)
	if err != nil {
		return err
	}
	m.proc = p
	return m.begun(p)
}

// begun waits until a worker has noted its start: before that, a signal to end
// finds nobody who listens.
func (m *member) begun(p *process.Proc) error {
	mark := fmt.Appendf(nil, `"run":"%s-%d"`, m.name, p.Pid)
	for until := time.Now().Add(readyTime); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if raw, err := os.ReadFile(m.log()); err == nil && bytes.Contains(raw, mark) || !p.Running() {
			return nil // one that ended by itself is told by the group
		}
	}
	return fmt.Errorf("%s does not begin", m.name)
}

// Suffer kills, pauses or restarts a worker. A killed one is started again after
// last. One that is replaced gets a successor beside it before it is told to end.
func (c *Crew) Suffer(ctx context.Context, name, do string, last, patience time.Duration) error {
	i := slices.IndexFunc(c.all, func(m *member) bool { return m.name == name })
	if i < 0 {
		return fmt.Errorf("there is no worker %s", name)
	}
	m := c.all[i]
	m.mu.Lock()
	p := m.proc
	m.mu.Unlock()
	if do == "upgrade" {
		if err := c.start(m); err != nil {
			return err
		}
		backoff.Sleep(ctx, c.o.TTL) // the new one waits in the queue by then
		return p.Term(patience)
	}
	if again, err := p.Suffer(ctx, do, last, patience); err != nil || !again {
		return err
	}
	return c.start(m)
}

// Holding tells which worker wrote last to a lease.
func (c *Crew) Holding(duty string) string {
	acts, _ := c.Resource.Acts()
	for _, a := range slices.Backward(acts) {
		if a.Lease == duty {
			return a.Process
		}
	}
	return ""
}

// Await waits until every lease has had a write after a time.
func (c *Crew) Await(ctx context.Context, after time.Duration) error {
	for {
		acts, _ := c.Resource.Acts()
		has := map[string]bool{}
		for _, a := range acts {
			if a.To > after {
				has[a.Lease] = true
			}
		}
		if len(has) == c.o.Duties {
			return nil
		}
		if !backoff.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("%d of %d duties have a holder: %w", len(has), c.o.Duties, ctx.Err())
		}
	}
}

// Now is the time by which acts are noted.
func Now() time.Duration { return clock() }

// Judge checks what the resource and the service saw.
func (c *Crew) Judge() (broken []string, sure bool, err error) {
	acts, _ := c.Resource.Acts()
	broken = Interleaved(acts)
	var own []Act
	for _, m := range c.all {
		some, err := ReadActs(m.log())
		if err != nil {
			return nil, false, err
		}
		own = append(own, some...)
	}
	legal, sure := Locked(own)
	if !legal {
		broken = append(broken, "grants and fenced writes are not those of a lock")
	}
	return broken, sure, nil
}

// End tells all workers to end, while those that they transfer to, and the registry, are still there.
func (c *Crew) End(patience time.Duration) error {
	errs := make(chan error, len(c.all))
	for _, m := range c.all {
		go func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.proc == nil || !m.proc.Running() {
				errs <- nil
				return
			}
			errs <- m.proc.Term(patience)
		}()
	}
	var all []error
	for range c.all {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// Close ends the resource. The workers' processes are the group's.
func (c *Crew) Close() { c.Resource.Close() }
