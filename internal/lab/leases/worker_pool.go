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

// PoolOptions configures the worker processes of a run.
type PoolOptions struct {
	Workers          int
	Leases           int // number of leases that the workers compete for
	TTL              time.Duration
	Guarded          bool          // the resource checks fencing tokens
	Spread           bool          // the leases are distributed evenly over the workers
	MinActInterval   time.Duration // lower bound of the time between two acts on one lease, see actInterval
	OverrunAfterLoss time.Duration // deliberate fault of the workers, see WorkerOptions
	Dir              string
	Command          []string // command line of a worker, to which its flags are appended
	Env              []string
}

// WorkerPool is the set of worker processes of a run and the resource that they act on. The workers are
// named d0, d1 and so on.
type WorkerPool struct {
	options  PoolOptions
	group    *process.Group
	Resource *Resource
	workers  []*workerProcess
}

// workerProcess is one worker, over all of its process incarnations.
type workerProcess struct {
	name string
	args []string
	dir  string
	mu   sync.Mutex
	proc *process.Proc
}

// NewWorkerPool starts the resource, and creates the workers' links to the registry and to the resource. It
// doesn't start the workers.
func NewWorkerPool(
	o PoolOptions,
	set *replicas.Set,
	net *link.Net,
	group *process.Group,
) (*WorkerPool, error) {
	c := &WorkerPool{options: o, group: group}
	var err error
	if c.Resource, err = NewResource(o.Guarded); err != nil {
		return nil, err
	}
	var leases []string
	for i := range o.Leases {
		leases = append(leases, fmt.Sprint("duty", i))
	}
	for i := range o.Workers {
		m := &workerProcess{name: fmt.Sprint("d", i)}
		if m.dir, err = filepath.Abs(filepath.Join(o.Dir, m.name)); err != nil {
			c.Resource.Close()
			return nil, err
		}
		addresses, err := set.Connect(m.name)
		if err != nil {
			c.Resource.Close()
			return nil, err
		}
		resourceAddress, err := net.Connect(link.Ends{From: m.name, To: "resource"}, c.Resource.Address())
		if err != nil {
			c.Resource.Close()
			return nil, err
		}
		m.args = []string{
			"--process",
			m.name,
			"--list",
			strings.Join(addresses, ","),
			"--resource",
			resourceAddress,
			"--duties",
			strings.Join(leases, ","),
			"--ttl",
			o.TTL.String(),
			"--every",
			o.actInterval().String(),
			"--log",
			m.actsPath(),
			fmt.Sprintf("--spread=%v", o.Spread),
			"--deaf",
			o.OverrunAfterLoss.String(),
		}
		c.workers = append(c.workers, m)
	}
	return c, nil
}

// The time between two acts on one lease is at least minActInterval. It is also at least actIntervalPerLease
// times the number of leases, so that the resource receives at most 1000 acts per second.
const (
	minActInterval      = 4 * time.Millisecond
	actIntervalPerLease = time.Millisecond
)

// actInterval returns the time between two acts on one lease.
func (o PoolOptions) actInterval() time.Duration {
	return max(o.MinActInterval, minActInterval, time.Duration(o.Leases)*actIntervalPerLease)
}

// actsPath returns the path of the worker's own history.
func (m *workerProcess) actsPath() string { return filepath.Join(m.dir, "acts.jsonl") }

// Start starts all workers, one after the other, and waits until each has recorded its start.
func (c *WorkerPool) Start() error {
	for _, m := range c.workers {
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *WorkerPool) start(m *workerProcess) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, err := c.group.Start(
		process.Spec{Name: m.name, Command: append(slices.Clone(c.options.Command), m.args...), Dir: m.dir,
			Env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}, c.options.Env...)},
	)
	if err != nil {
		return err
	}
	m.proc = p
	return m.awaitStart(p)
}

// awaitStart waits until a worker process has recorded its start in its history, or has exited. Before it
// records the start, the process may not handle signals yet, and a SIGTERM would kill it.
func (m *workerProcess) awaitStart(p *process.Proc) error {
	startMark := fmt.Appendf(nil, `"run":"%s-%d"`, m.name, p.Pid)
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if raw, err := os.ReadFile(m.actsPath()); err == nil && bytes.Contains(raw, startMark) || !p.Running() {
			return nil // the process group reports a process that exited by itself
		}
	}
	return fmt.Errorf("worker %s has not recorded its start in time", m.name)
}

// InjectFault kills, pauses, restarts or upgrades the named worker. A killed worker is started again after
// duration, and a paused worker continues then. For an upgrade, the new process starts and waits for the
// leases before the old process gets its SIGTERM. endTimeout bounds the time that a process may take to end
// after SIGTERM.
func (c *WorkerPool) InjectFault(
	ctx context.Context,
	name, do string,
	duration, endTimeout time.Duration,
) error {
	i := slices.IndexFunc(c.workers, func(m *workerProcess) bool { return m.name == name })
	if i < 0 {
		return fmt.Errorf("inject fault: there is no worker %s", name)
	}
	m := c.workers[i]
	m.mu.Lock()
	p := m.proc
	m.mu.Unlock()
	if do == "upgrade" {
		if err := c.start(m); err != nil {
			return err
		}
		backoff.Sleep(ctx, c.options.TTL) // by then the new process waits for the leases
		return p.Term(endTimeout)
	}
	if startAgain, err := p.ApplyFault(ctx, do, duration, endTimeout); err != nil || !startAgain {
		return err
	}
	return c.start(m)
}

// LastWriter returns the name of the worker whose act on the lease the resource accepted last, or "" if the
// resource has accepted no act on the lease.
func (c *WorkerPool) LastWriter(leaseName string) string {
	acts, _ := c.Resource.Acts()
	for _, a := range slices.Backward(acts) {
		if a.Lease == leaseName {
			return a.Process
		}
	}
	return ""
}

// AwaitWrites waits until the resource has accepted an act on every lease after the given time, which Now
// returned.
func (c *WorkerPool) AwaitWrites(ctx context.Context, after time.Duration) error {
	for {
		acts, _ := c.Resource.Acts()
		written := map[string]bool{}
		for _, a := range acts {
			if a.To > after {
				written[a.Lease] = true
			}
		}
		if len(written) == c.options.Leases {
			return nil
		}
		if !backoff.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("%d of %d leases have a holder: %w", len(written), c.options.Leases, ctx.Err())
		}
	}
}

// Now returns the present time on the machine's monotonic clock, on which the times of acts are measured.
func Now() time.Duration { return monotonicNow() }

// Check checks the acts that the resource accepted, and the grants and fenced writes in the workers' own
// histories. conclusive is false if the check of these histories took more than maxCheckTime.
func (c *WorkerPool) Check() (violations []string, conclusive bool, err error) {
	acts, _ := c.Resource.Acts()
	violations = CheckFencing(acts)
	var workerActs []Act
	for _, m := range c.workers {
		recorded, err := ReadActs(m.actsPath())
		if err != nil {
			return nil, false, err
		}
		workerActs = append(workerActs, recorded...)
	}
	legal, conclusive := CheckLock(workerActs)
	if !legal {
		violations = append(violations, "grants and fenced writes are not those of a lock")
	}
	return violations, conclusive, nil
}

// Terminate sends SIGTERM to all workers and waits until they have ended. The registry has to run until then,
// so that the workers can hand off their leases.
func (c *WorkerPool) Terminate(endTimeout time.Duration) error {
	errs := make(chan error, len(c.workers))
	for _, m := range c.workers {
		go func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.proc == nil || !m.proc.Running() {
				errs <- nil
				return
			}
			errs <- m.proc.Term(endTimeout)
		}()
	}
	var joined []error
	for range c.workers {
		joined = append(joined, <-errs)
	}
	return errors.Join(joined...)
}

// Close ends the resource. The process group ends the workers.
func (c *WorkerPool) Close() { c.Resource.Close() }
