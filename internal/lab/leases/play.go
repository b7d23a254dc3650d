package leases

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
)

// Options configures a run.
type Options struct {
	Pool           PoolOptions
	Seed           uint64
	Replicas       int
	Length         time.Duration
	Dir            string
	ReplicaCommand []string // command line of a registry replica
	Env            []string // environment of workers and replicas
}

const (
	shutdownTimeout = 20 * time.Second
	readyTimeout    = 30 * time.Second // only a process that hangs takes longer
)

// Lab is a running registry with workers that hold its leases.
type Lab struct {
	options Options
	log     *history.Log
	net     *link.Net
	group   *process.Group
	Set     *replicas.Set
	Pool    *WorkerPool
}

// Begin starts the replicas and the workers, and waits until each lease has a holder that acts.
func Begin(ctx context.Context, o Options) (l *Lab, err error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return nil, err
	}
	l = &Lab{options: o, log: log, net: link.NewNet(o.Seed), group: process.NewGroup(log)}
	defer func() {
		if err != nil {
			besteffort.Close(l)
		}
	}()
	if l.Set, err = replicas.New(
		replicas.Options{Count: o.Replicas, Dir: o.Dir, Command: o.ReplicaCommand, Env: o.Env, Seed: o.Seed},
		l.net,
		l.group,
	); err != nil {
		return nil, err
	}
	if err := l.Set.Begin(ctx); err != nil {
		return nil, err
	}
	o.Pool.Dir, o.Pool.Env = o.Dir, o.Env
	if l.Pool, err = NewWorkerPool(o.Pool, l.Set, l.net, l.group); err != nil {
		return nil, err
	}
	if err := l.Pool.Start(); err != nil {
		return nil, err
	}
	return l, l.AwaitHolders(ctx)
}

// AwaitHolders waits until the resource has accepted an act on every lease after the call.
func (l *Lab) AwaitHolders(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return l.Pool.AwaitWrites(ctx, Now())
}

// Close ends all processes and links.
func (l *Lab) Close() error {
	l.group.Close(shutdownTimeout)
	l.net.Close()
	if l.Set != nil {
		l.Set.ReleasePorts()
	}
	if l.Pool != nil {
		l.Pool.Close()
	}
	return l.log.Close()
}

// processFailures describes the processes that ended unexpectedly.
func (l *Lab) processFailures() (all []string) {
	for _, e := range l.log.Events() {
		if e.Kind == history.Proc && e.Bad {
			all = append(all, fmt.Sprintf("%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail))
		}
	}
	return all
}

// Outcome is the result of a run.
type Outcome struct {
	Seed         uint64
	Guarded      bool
	Acts         int // accepted by the resource
	Refused      int // acts that the resource refused
	Grants       int
	Faults       int
	Broken       []string
	Inconclusive bool          // the check of the history took too long
	Longest      time.Duration // longest time that a lease had no holder
}

// Line is the result as a line of text.
func (o Outcome) Line() string {
	mode := map[bool]string{true: "behind a guard", false: "by time alone"}[o.Guarded]
	switch {
	case len(o.Broken) > 0:
		return fmt.Sprintf("FAIL duties: seed %d, %s, %s (and %d more)", o.Seed, mode, o.Broken[0], len(o.Broken)-1)
	case o.Inconclusive:
		return fmt.Sprintf("VOID duties: seed %d, the check took over %v", o.Seed, maxCheckTime)
	}
	return fmt.Sprintf(
		"PASS duties: seed %d, %s, %d faults, %d grants, %d acts taken, %d turned down, %v at most without a holder",
		o.Seed,
		mode,
		o.Faults,
		o.Grants,
		o.Acts,
		o.Refused,
		o.Longest.Round(time.Millisecond),
	)
}

// Play plays one run. If the resource has no guard, processes and replicas are killed and cut off, but never
// paused: without fencing, only the TTL separates two holders, and a paused holder can't see that its lease
// has expired.
func Play(ctx context.Context, o Options) (out Outcome, err error) {
	l, err := Begin(ctx, o)
	if err != nil {
		return Outcome{}, err
	}
	faults := drawFaults(o)
	err = l.playFaults(ctx, faults)
	if err == nil {
		err = l.Set.Ready(ctx)
	}
	if err == nil {
		if e := l.AwaitHolders(ctx); e != nil {
			out.Broken = append(out.Broken, e.Error())
		}
	}
	err = errors.Join(err, l.Pool.Terminate(shutdownTimeout))
	l.group.Close(shutdownTimeout)
	acts, refused := l.Pool.Resource.Acts()
	out.Seed, out.Guarded, out.Acts, out.Refused, out.Faults =
		o.Seed, o.Pool.Guarded, len(acts), refused, len(faults)
	if gaps := Gaps(acts); len(gaps) > 0 {
		out.Grants, out.Longest = len(gaps)+o.Pool.Duties, gaps[0].Length
	}
	broken, sure, e := l.Pool.Check()
	out.Broken, out.Inconclusive = append(append(out.Broken, broken...), l.processFailures()...), !sure
	return out, errors.Join(err, e, l.Close())
}

// fault is one fault of a run, from start for a duration.
type fault struct {
	start, duration time.Duration
	kind            string
	target          string // a worker, currentHolder or a replica
}

// currentHolder is the target that stands for the worker that holds the first lease when the fault begins.
const currentHolder = "holder"

// drawFaults draws the faults of a run from its seed.
func drawFaults(o Options) []fault {
	chance := rand.New(rand.NewPCG(o.Seed, 0x64757479))
	menu := []string{
		"worker-kill",
		"worker-restart",
		"worker-upgrade",
		"worker-cut",
		"worker-cut-back",
		"replica-kill",
		"replica-cut",
		"all-kill",
	}
	if o.Pool.Guarded {
		menu = append(menu, "worker-pause", "worker-pause", "replica-pause", "worker-kill-replica")
	}
	var all []fault
	for at := 200 * time.Millisecond; ; {
		f := fault{
			start:    at,
			kind:     menu[chance.IntN(len(menu))],
			duration: time.Duration(chance.Int64N(int64(3*o.Pool.TTL))) + 50*time.Millisecond,
		}
		if f.start+f.duration > o.Length {
			return all
		}
		if f.target = fmt.Sprint("d", chance.IntN(o.Pool.Workers)); chance.IntN(3) > 0 {
			f.target = currentHolder
		}
		if strings.HasPrefix(f.kind, "replica") {
			f.target = fmt.Sprint("r", chance.IntN(o.Replicas))
		}
		all = append(all, f)
		at += f.duration + time.Duration(chance.Int64N(int64(o.Pool.TTL)))
	}
}

// playFaults injects the faults one after the other, each at its time.
func (l *Lab) playFaults(ctx context.Context, faults []fault) error {
	start := l.log.Now()
	for i, f := range faults {
		if !backoff.Sleep(ctx, start+f.start-l.log.Now()) {
			return ctx.Err()
		}
		if f.target == currentHolder {
			f.target = l.Pool.LastWriter("duty0")
		}
		name := fmt.Sprintf("%d-%s", i+1, f.kind)
		l.log.Add(history.Event{Kind: history.Fault, How: "begin", Detail: name, Also: []string{f.target}})
		err := l.injectFault(ctx, name, f)
		l.log.Add(history.Event{Kind: history.Fault, How: "end", Detail: name})
		if err != nil {
			return fmt.Errorf("fault %s: %w", name, err)
		}
	}
	return nil
}

// injectFault injects one fault and returns after the fault has ended.
func (l *Lab) injectFault(ctx context.Context, name string, f fault) error {
	on, do, _ := strings.Cut(f.kind, "-")
	switch {
	case f.kind == "worker-cut", f.kind == "worker-cut-back", f.kind == "replica-cut":
		direction := link.Both
		if f.kind == "worker-cut-back" { // the worker's calls arrive, but their answers are lost
			direction = link.Back
		}
		l.net.Lay(name, link.Shape{Hold: direction, Cut: true}, func(e link.Ends) bool {
			return e.To != "resource" &&
				(e.From == f.target ||
					strings.HasPrefix(e.To, f.target) && on == "replica" && strings.HasPrefix(e.From, "r"))
		})
		backoff.Sleep(ctx, f.duration)
		l.net.Lift(name)
		return nil
	case f.kind == "all-kill":
		for _, r := range l.Set.All {
			if err := r.Kill(); err != nil {
				return err
			}
		}
		backoff.Sleep(ctx, f.duration)
		for _, r := range l.Set.All {
			if err := l.Set.Start(r); err != nil {
				return err
			}
		}
		return nil
	case f.kind == "worker-kill-replica": // the holder and the registry's leader may end at the same time
		errs := make(chan error, 1)
		go func() {
			errs <- l.Set.InjectFault(
				ctx,
				fmt.Sprint("r", int(f.start)%l.options.Replicas),
				"kill",
				f.duration,
				shutdownTimeout,
			)
		}()
		return errors.Join(l.Pool.InjectFault(ctx, f.target, "kill", f.duration, shutdownTimeout), <-errs)
	case on == "replica":
		return l.Set.InjectFault(ctx, f.target, do, f.duration, shutdownTimeout)
	}
	return l.Pool.InjectFault(ctx, f.target, do, f.duration, shutdownTimeout)
}
