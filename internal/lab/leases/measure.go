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

// ChangeKinds lists the kinds of faults, and of planned restarts, after which another process becomes the
// holder of a lease. Changes accepts them.
var ChangeKinds = []string{"kill", "pause", "cut", "restart", "upgrade"}

// changeInterval is the time between two changes of the holder. The registry limits the rate at which it
// grants one lease; the interval is long enough that this limit doesn't delay the measured changes.
const changeInterval = 2200 * time.Millisecond

// Changes injects a fault of one kind into the holder of a lease count times. It returns the durations from
// the last act of a holder to the first act of the next holder, in ascending order.
func Changes(ctx context.Context, o Options, kind string, count int) (gaps []time.Duration, err error) {
	o.Pool.Leases, o.Pool.Guarded = 1, true
	lab, err := StartLab(ctx, o)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(lab)
	for i := range count {
		backoff.Sleep(ctx, changeInterval)
		if err := lab.AwaitHolders(ctx); err != nil {
			return nil, err
		}
		before := lab.Pool.lastAct()
		if err := lab.replaceHolder(ctx, kind, before.Process, i); err != nil {
			return nil, err
		}
		if err := lab.Pool.awaitNextHolder(ctx, before.Number); err != nil {
			return nil, err
		}
	}
	acts, _ := lab.Pool.Resource.Acts()
	for _, g := range Gaps(acts) {
		gaps = append(gaps, g.Length)
	}
	slices.Sort(gaps)
	return gaps, lab.Pool.Terminate(shutdownTimeout)
}

// replaceHolder injects a fault of the given kind into the worker that holds the lease. A cut or a pause
// lasts for two TTLs, so that another worker holds the lease when it ends.
func (l *Lab) replaceHolder(ctx context.Context, kind, holder string, n int) error {
	duration := 2 * l.options.Pool.TTL
	switch kind {
	case "cut":
		name := fmt.Sprint("cut", n)
		l.net.ApplyShape(
			name,
			link.Shape{Hold: link.Both, Cut: true},
			func(e link.Ends) bool { return e.From == holder && e.To != "resource" },
		)
		backoff.Sleep(ctx, duration)
		l.net.RemoveShape(name)
		return nil
	case "kill":
		duration = 0
	}
	return l.Pool.InjectFault(ctx, holder, kind, duration, shutdownTimeout)
}

// lastAct is the last act that the resource accepted.
func (c *WorkerPool) lastAct() Act {
	acts, _ := c.Resource.Acts()
	return acts[len(acts)-1]
}

// awaitNextHolder waits until the resource has accepted an act under a higher fencing token than token.
func (c *WorkerPool) awaitNextHolder(ctx context.Context, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for c.lastAct().Number <= token {
		if !backoff.Sleep(ctx, time.Millisecond) {
			return fmt.Errorf("wait for an act of the next holder after fencing token %d: %w", token, ctx.Err())
		}
	}
	return nil
}

// Bound returns the longest time that a lease may be without a holder in theory, apart from the time of the
// calls. It is the sum of a TTL, as a renewal may be answered just before the fault, of the interval at which
// the registry looks for expired leases, and of an election, which may be in progress. A holder that restarts
// or is upgraded hands off its lease, so only the election can delay the next holder.
func Bound(kind string, ttl, election time.Duration) time.Duration {
	const scanInterval = 100 * time.Millisecond // between two scans of the registry for expired leases
	if kind == "restart" || kind == "upgrade" {
		return election
	}
	return ttl + scanInterval + election
}

// Cost is the cost of holding a number of leases.
type Cost struct {
	Leases          int
	LeasesPerWorker []int         // number of leases of each worker, in ascending order
	Workers         time.Duration // CPU time of all workers per second
	Replicas        time.Duration // CPU time of all replicas per second
	SettleTime      time.Duration // from the start of the processes until every lease is held
}

// costWindow is the time over which CPU times are measured.
const costWindow = 10 * time.Second

// Costs measures the cost of holding a number of leases that are distributed evenly over the workers. Each
// holder acts only every costWindow/2 on a lease, so that the acts add little to the cost.
func Costs(ctx context.Context, o Options, leaseCount int) (cost Cost, err error) {
	o.Pool.Leases, o.Pool.Spread, o.Pool.Guarded, o.Pool.MinActInterval = leaseCount, true, true, costWindow/2
	start := time.Now()
	lab, err := StartLab(ctx, o)
	if err != nil {
		return cost, err
	}
	defer besteffort.Close(lab)
	cost.Leases, cost.SettleTime = leaseCount, time.Since(start)
	backoff.Sleep(ctx, costWindow) // leases that the first workers took move to their assigned workers
	pids := func() (workers, replicas []int) {
		for _, m := range lab.Pool.workers {
			workers = append(workers, m.proc.Pid)
		}
		for _, r := range lab.Replicas.All {
			replicas = append(replicas, r.Proc().Pid)
		}
		return workers, replicas
	}
	workers, replicas := pids()
	workersBefore, err := totalCPU(workers)
	if err != nil {
		return cost, err
	}
	replicasBefore, err := totalCPU(replicas)
	if err != nil {
		return cost, err
	}
	backoff.Sleep(ctx, costWindow)
	workersAfter, err := totalCPU(workers)
	if err != nil {
		return cost, err
	}
	replicasAfter, err := totalCPU(replicas)
	if err != nil {
		return cost, err
	}
	cost.Workers, cost.Replicas =
		(workersAfter-workersBefore)/(costWindow/time.Second),
		(replicasAfter-replicasBefore)/(costWindow/time.Second)
	cost.LeasesPerWorker = lab.Pool.leasesPerWorker()
	return cost, lab.Pool.Terminate(shutdownTimeout)
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

// leasesPerWorker returns, for each worker, the number of leases on which it acted last. The numbers are in
// ascending order.
func (c *WorkerPool) leasesPerWorker() (sorted []int) {
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
		sorted = append(sorted, n)
	}
	slices.Sort(sorted)
	return sorted
}

// Contest has a number of candidates compete for one lease until count changes of the holder are measured.
// Each holder releases the lease after changeInterval. Contest returns the durations from each release to the
// start of the next holder's work, in ascending order.
func Contest(ctx context.Context, o Options,
	candidates, count int) (handoffTimes []time.Duration, err error) {
	o.Pool.Workers, o.Pool.Leases = 1, 1
	lab, err := StartLab(ctx, o)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(lab)
	var addresses []string
	for _, r := range lab.Replicas.All {
		addresses = append(addresses, r.Address())
	}
	type turn struct {
		start   time.Duration
		release chan struct{}
	}
	turns := make(chan turn)
	var running sync.WaitGroup
	defer running.Wait()
	contestCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i := range candidates {
		registryClient, err := client.New(client.Config{Addresses: addresses})
		if err != nil {
			return nil, err
		}
		session, err := lease.Open(
			lease.Config{Client: registryClient, Process: fmt.Sprint("c", i), TTL: o.Pool.TTL})
		if err != nil {
			return nil, err
		}
		running.Go(func() {
			_ = session.Run(contestCtx, "contested", func(ctx context.Context, _ lease.Token) error {
				t := turn{monotonicNow(), make(chan struct{})}
				select {
				case turns <- t:
				case <-ctx.Done():
					return ctx.Err()
				}
				select {
				case <-t.release:
					return nil // returning releases the lease
				case <-ctx.Done():
				}
				return ctx.Err()
			})
			_ = session.Close(shutdownTimeout) // an error no longer matters after the measurement
			registryClient.Close()
		})
	}
	var released time.Duration
	for len(handoffTimes) < count {
		select {
		case t := <-turns:
			if released != 0 {
				handoffTimes = append(handoffTimes, t.start-released)
			}
			backoff.Sleep(ctx, changeInterval)
			released = monotonicNow()
			close(t.release)
		case <-time.After(readyTimeout):
			return nil, fmt.Errorf(
				"no candidate got the lease in time after %d measured changes", len(handoffTimes))
		}
	}
	slices.Sort(handoffTimes)
	return handoffTimes, lab.Pool.Terminate(shutdownTimeout)
}
