package leases

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry/client"
)

// Kinds lists the events after which another process becomes the lease holder.
var Kinds = []string{"kill", "pause", "cut", "restart", "upgrade"}

// changeInterval is the time between two changes of the holder. It is long enough that the rate at which the
// registry grants one lease doesn't delay the changes that are measured.
const changeInterval = 2200 * time.Millisecond

// Changes injects a fault of one kind into the lease holder, as often as times says. It returns the durations
// from the last act of a holder to the first act of the next holder, in ascending order.
func Changes(ctx context.Context, o Options, kind string, times int) (all []time.Duration, err error) {
	o.Pool.Duties, o.Pool.Guarded = 1, true
	l, err := Begin(ctx, o)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(l)
	for i := range times {
		backoff.Sleep(ctx, changeInterval)
		if err := l.AwaitHolders(ctx); err != nil {
			return nil, err
		}
		before := l.Pool.lastAct()
		if err := l.replaceHolder(ctx, kind, before.Process, i); err != nil {
			return nil, err
		}
		if err := l.Pool.awaitNextHolder(ctx, before.Number); err != nil {
			return nil, err
		}
	}
	acts, _ := l.Pool.Resource.Acts()
	for _, g := range Gaps(acts) {
		all = append(all, g.Length)
	}
	slices.Sort(all)
	return all, l.Pool.Terminate(shutdownTimeout)
}

// replaceHolder injects a fault of the given kind into the holder who. A cut and a pause last for two TTLs,
// by when another worker holds the lease.
func (l *Lab) replaceHolder(ctx context.Context, kind, who string, n int) error {
	duration := 2 * l.options.Pool.TTL
	switch kind {
	case "cut":
		name := fmt.Sprint("cut", n)
		l.net.Lay(
			name,
			link.Shape{Hold: link.Both, Cut: true},
			func(e link.Ends) bool { return e.From == who && e.To != "resource" },
		)
		backoff.Sleep(ctx, duration)
		l.net.Lift(name)
		return nil
	case "kill":
		duration = 0
	}
	return l.Pool.InjectFault(ctx, who, kind, duration, shutdownTimeout)
}

// lastAct is the last act that the resource accepted.
func (c *WorkerPool) lastAct() Act {
	acts, _ := c.Resource.Acts()
	return acts[len(acts)-1]
}

// awaitNextHolder waits until the resource has accepted an act under a higher fencing token than fence.
func (c *WorkerPool) awaitNextHolder(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for c.lastAct().Number <= fence {
		if !backoff.Sleep(ctx, time.Millisecond) {
			return fmt.Errorf("nobody follows the holder under fence %d: %w", fence, ctx.Err())
		}
	}
	return nil
}

// Bound is the longest time that a lease may be without a holder in theory, apart from the time of the calls:
// a TTL, if a renewal was answered just before the fault, the interval at which the registry scans deadlines,
// and an election of the registry that may be in progress. A holder that restarts or is upgraded hands the
// lease off, so only the election remains.
func Bound(kind string, ttl, election time.Duration) time.Duration {
	const scanInterval = 100 * time.Millisecond // between two scans of the registry for expired leases
	if kind == "restart" || kind == "upgrade" {
		return election
	}
	return ttl + scanInterval + election
}

// Cost is the cost of a number of held leases.
type Cost struct {
	Duties          int
	LeasesPerWorker []int         // leases of each worker, in ascending order
	Workers         time.Duration // CPU time of all workers per second
	Replicas        time.Duration // CPU time of all replicas per second
	SettleTime      time.Duration // from the start of the processes until every lease is held
}

// costWindow is the time over which CPU times are measured.
const costWindow = 10 * time.Second

// Costs measures the cost of a number of leases that are distributed evenly over the workers and whose
// holders hardly act.
func Costs(ctx context.Context, o Options, duties int) (c Cost, err error) {
	o.Pool.Duties, o.Pool.Spread, o.Pool.Guarded, o.Pool.MinActInterval = duties, true, true, costWindow/2
	began := time.Now()
	l, err := Begin(ctx, o)
	if err != nil {
		return c, err
	}
	defer besteffort.Close(l)
	c.Duties, c.SettleTime = duties, time.Since(began)
	backoff.Sleep(ctx, costWindow) // leases that the first workers took move to their assigned workers
	pids := func() (workers, replicas []int) {
		for _, m := range l.Pool.workers {
			workers = append(workers, m.proc.Pid)
		}
		for _, r := range l.Set.All {
			replicas = append(replicas, r.Proc().Pid)
		}
		return workers, replicas
	}
	workers, replicas := pids()
	w0, err := totalCPU(workers)
	if err != nil {
		return c, err
	}
	r0, err := totalCPU(replicas)
	if err != nil {
		return c, err
	}
	backoff.Sleep(ctx, costWindow)
	w1, err := totalCPU(workers)
	if err != nil {
		return c, err
	}
	r1, err := totalCPU(replicas)
	if err != nil {
		return c, err
	}
	c.Workers, c.Replicas = (w1-w0)/(costWindow/time.Second), (r1-r0)/(costWindow/time.Second)
	c.LeasesPerWorker = l.Pool.leasesPerWorker()
	return c, l.Pool.Terminate(shutdownTimeout)
}

// totalCPU sums the CPU time that the processes have used since their start.
func totalCPU(pids []int) (sum time.Duration, err error) {
	for _, pid := range pids {
		u, err := process.UseOf(pid)
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// leasesPerWorker counts, for each worker, the leases whose last act was the worker's. The counts are in
// ascending order.
func (c *WorkerPool) leasesPerWorker() (all []int) {
	acts, _ := c.Resource.Acts()
	lastWriter := map[string]string{}
	for _, a := range acts {
		lastWriter[a.Lease] = a.Process
	}
	counts := map[string]int{}
	for _, m := range c.workers {
		counts[m.name] = 0
	}
	for _, p := range lastWriter {
		counts[p]++
	}
	for _, n := range counts {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// Contest has a number of candidates compete for one lease, whose holder releases it as often as times says.
// It returns the durations from the release by one holder to the start of the next holder's work, in
// ascending order.
func Contest(ctx context.Context, o Options, candidates, times int) (all []time.Duration, err error) {
	o.Pool.Workers, o.Pool.Duties = 1, 1
	l, err := Begin(ctx, o)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(l)
	var addresses []string
	for _, r := range l.Set.All {
		addresses = append(addresses, r.Address())
	}
	type turn struct {
		begun time.Duration
		leave chan struct{}
	}
	turns := make(chan turn)
	var running sync.WaitGroup
	defer running.Wait()
	wanted, stop := context.WithCancel(ctx)
	defer stop()
	for i := range candidates {
		k, err := client.New(client.Config{Addresses: addresses})
		if err != nil {
			return nil, err
		}
		p, err := lease.Open(lease.Config{Client: k, Process: fmt.Sprint("c", i), TTL: o.Pool.TTL})
		if err != nil {
			return nil, err
		}
		running.Go(func() {
			_ = p.Run(wanted, "contested", func(ctx context.Context, _ lease.Token) error {
				t := turn{monotonicNow(), make(chan struct{})}
				select {
				case turns <- t:
				case <-ctx.Done():
					return ctx.Err()
				}
				select {
				case <-t.leave:
					return nil // the candidate releases the lease
				case <-ctx.Done():
				}
				return ctx.Err()
			})
			_ = p.Close(shutdownTimeout) // the measurement is over
			k.Close()
		})
	}
	var released time.Duration
	for len(all) < times {
		select {
		case t := <-turns:
			if released != 0 {
				all = append(all, t.begun-released)
			}
			backoff.Sleep(ctx, changeInterval)
			released = monotonicNow()
			close(t.leave)
		case <-time.After(readyTimeout):
			return nil, fmt.Errorf("nobody holds the duty after %d turns", len(all))
		}
	}
	slices.Sort(all)
	return all, l.Pool.Terminate(shutdownTimeout)
}
