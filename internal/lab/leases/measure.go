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

// Kinds are the ways in which a holder can be followed by another.
var Kinds = []string{"kill", "pause", "cut", "restart", "upgrade"}

// betweenChanges keeps the pace at which the service grants one lease out of the times.
const betweenChanges = 2200 * time.Millisecond

// Changes has the lease holder suffer so many times, and gives the times from
// its last act to the first of the next, in order of length.
func Changes(ctx context.Context, o Options, kind string, times int) (all []time.Duration, err error) {
	o.Crew.Duties, o.Crew.Guarded = 1, true
	l, err := Begin(ctx, o)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(l)
	for i := range times {
		backoff.Sleep(ctx, betweenChanges)
		if err := l.Held(ctx); err != nil {
			return nil, err
		}
		before := l.Crew.last()
		if err := l.change(ctx, kind, before.Process, i); err != nil {
			return nil, err
		}
		if err := l.Crew.followed(ctx, before.Number); err != nil {
			return nil, err
		}
	}
	acts, _ := l.Crew.Resource.Acts()
	for _, g := range Gaps(acts) {
		all = append(all, g.Took)
	}
	slices.Sort(all)
	return all, l.Crew.End(endTime)
}

// change does to a holder what the kind says, until another has its lease by then.
func (l *Lab) change(ctx context.Context, kind, who string, n int) error {
	last := 2 * l.o.Crew.TTL
	switch kind {
	case "cut":
		name := fmt.Sprint("cut", n)
		l.net.Lay(
			name,
			link.Shape{Hold: link.Both, Cut: true},
			func(e link.Ends) bool { return e.From == who && e.To != "resource" },
		)
		backoff.Sleep(ctx, last)
		l.net.Lift(name)
		return nil
	case "kill":
		last = 0
	}
	return l.Crew.Suffer(ctx, who, kind, last, endTime)
}

// last is the last act that was taken.
func (c *Crew) last() Act {
	acts, _ := c.Resource.Acts()
	return acts[len(acts)-1]
}

// followed waits for an act under a higher fencing token.
func (c *Crew) followed(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for c.last().Number <= fence {
		if !backoff.Sleep(ctx, time.Millisecond) {
			return fmt.Errorf("nobody follows the holder under fence %d: %w", fence, ctx.Err())
		}
	}
	return nil
}

// Bound is the longest that a lease may be without a holder on paper, but for the
// calls themselves: the lease, if a renewal was answered just before, the looks at
// it, and an election that may be under way. One that transfers leaves the election.
func Bound(kind string, ttl, election time.Duration) time.Duration {
	const looks = 100 * time.Millisecond // between the service's looks at deadlines
	if kind == "restart" || kind == "upgrade" {
		return election
	}
	return ttl + looks + election
}

// Cost is what held leases take.
type Cost struct {
	Duties   int
	Held     []int         // by each process, the fewest first
	Workers  time.Duration // processor time of all workers in a second
	Replicas time.Duration // and of all replicas
	Settled  time.Duration // from the start of the workers until every lease is held
}

// costTime is how long the processor times are taken.
const costTime = 10 * time.Second

// Costs measures so many leases that are shared out evenly and hardly act.
func Costs(ctx context.Context, o Options, duties int) (c Cost, err error) {
	o.Crew.Duties, o.Crew.Spread, o.Crew.Guarded, o.Crew.Rest = duties, true, true, costTime/2
	began := time.Now()
	l, err := Begin(ctx, o)
	if err != nil {
		return c, err
	}
	defer besteffort.Close(l)
	c.Duties, c.Settled = duties, time.Since(began)
	backoff.Sleep(ctx, costTime) // what was granted to the first that came goes to whom it belongs
	pids := func() (workers, replicas []int) {
		for _, m := range l.Crew.all {
			workers = append(workers, m.proc.Pid)
		}
		for _, r := range l.Set.All {
			replicas = append(replicas, r.Proc().Pid)
		}
		return workers, replicas
	}
	workers, replicas := pids()
	w0, err := used(workers)
	if err != nil {
		return c, err
	}
	r0, err := used(replicas)
	if err != nil {
		return c, err
	}
	backoff.Sleep(ctx, costTime)
	w1, err := used(workers)
	if err != nil {
		return c, err
	}
	r1, err := used(replicas)
	if err != nil {
		return c, err
	}
	c.Workers, c.Replicas = (w1-w0)/(costTime/time.Second), (r1-r0)/(costTime/time.Second)
	c.Held = l.Crew.shares()
	return c, l.Crew.End(endTime)
}

func used(pids []int) (sum time.Duration, err error) {
	for _, pid := range pids {
		u, err := process.UseOf(pid)
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// shares counts the leases that each process acted on last, the fewest first.
func (c *Crew) shares() (all []int) {
	acts, _ := c.Resource.Acts()
	by := map[string]string{}
	for _, a := range acts {
		by[a.Lease] = a.Process
	}
	count := map[string]int{}
	for _, m := range c.all {
		count[m.name] = 0
	}
	for _, p := range by {
		count[p]++
	}
	for _, n := range count {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// Contest has so many processes want one lease, and the holder leave it so many
// times; it gives the times from the end of one's work to the beginning of the
// next's, in order of length.
func Contest(ctx context.Context, o Options, candidates, times int) (all []time.Duration, err error) {
	o.Crew.Workers, o.Crew.Duties = 1, 1
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
		p, err := lease.Open(lease.Config{Client: k, Process: fmt.Sprint("c", i), TTL: o.Crew.TTL})
		if err != nil {
			return nil, err
		}
		running.Go(func() {
			_ = p.Run(wanted, "contested", func(ctx context.Context, _ lease.Token) error {
				t := turn{clock(), make(chan struct{})}
				select {
				case turns <- t:
				case <-ctx.Done():
					return ctx.Err()
				}
				select {
				case <-t.leave:
					return nil // it does not want it any more
				case <-ctx.Done():
				}
				return ctx.Err()
			})
			_ = p.Close(endTime) // the measurement is over
			k.Close()
		})
	}
	var left time.Duration
	for len(all) < times {
		select {
		case t := <-turns:
			if left != 0 {
				all = append(all, t.begun-left)
			}
			backoff.Sleep(ctx, betweenChanges)
			left = clock()
			close(t.leave)
		case <-time.After(readyTime):
			return nil, fmt.Errorf("nobody holds the duty after %d turns", len(all))
		}
	}
	slices.Sort(all)
	return all, l.Crew.End(endTime)
}
