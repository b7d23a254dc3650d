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

// Options configures a run or a measurement.
type Options struct {
	Pool           PoolOptions
	Seed           uint64
	Replicas       int
	Length         time.Duration // how long faults are injected
	Dir            string
	ReplicaCommand []string // command line of a registry replica
	Env            []string // environment of workers and replicas
}

const (
	shutdownTimeout = 20 * time.Second // for a process to end after SIGTERM
	readyTimeout    = 30 * time.Second // only a process that hangs takes longer
)

// Lab is a running registry with workers that hold its leases.
type Lab struct {
	options  Options
	log      *history.Log
	net      *link.Net
	group    *process.Group
	Replicas *replicas.Set
	Pool     *WorkerPool
}

// StartLab starts the replicas and the workers, and waits until each lease has a holder that acts on the
// resource.
func StartLab(ctx context.Context, o Options) (l *Lab, err error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the run's folder: %w", err)
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
	if l.Replicas, err = replicas.New(
		replicas.Options{Count: o.Replicas, Dir: o.Dir, Command: o.ReplicaCommand, Env: o.Env, Seed: o.Seed},
		l.net,
		l.group,
	); err != nil {
		return nil, err
	}
	if err := l.Replicas.StartAll(ctx); err != nil {
		return nil, err
	}
	o.Pool.Dir, o.Pool.Env = o.Dir, o.Env
	if l.Pool, err = NewWorkerPool(o.Pool, l.Replicas, l.net, l.group); err != nil {
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
	if l.Replicas != nil {
		l.Replicas.ReleasePorts()
	}
	if l.Pool != nil {
		l.Pool.Close()
	}
	return l.log.Close()
}

// processFailures describes the processes that ended unexpectedly.
func (l *Lab) processFailures() (failures []string) {
	for _, e := range l.log.Events() {
		if e.Kind == history.Proc && e.Bad {
			failures = append(failures, fmt.Sprintf("%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail))
		}
	}
	return failures
}

// Outcome is the result of a run.
type Outcome struct {
	Seed         uint64
	Guarded      bool
	Acts         int // acts that the resource accepted
	Refused      int // acts that the resource refused
	Grants       int
	Faults       int
	Broken       []string      // violations
	Inconclusive bool          // the check of the history took too long
	LongestGap   time.Duration // longest time that a lease had no holder
}

// Line returns the result as a line of text.
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
		o.LongestGap.Round(time.Millisecond),
	)
}

// Play performs one run and checks it. If the resource has no guard, workers and replicas are killed and cut
// off, but never paused: without fencing tokens, only the TTL separates two holders, and a paused holder
// can't see that its lease has expired.
func Play(ctx context.Context, o Options) (outcome Outcome, err error) {
	lab, err := StartLab(ctx, o)
	if err != nil {
		return Outcome{}, err
	}
	faults := drawFaults(o)
	err = lab.playFaults(ctx, faults)
	if err == nil {
		err = lab.Replicas.AwaitReady(ctx)
	}
	if err == nil {
		if e := lab.AwaitHolders(ctx); e != nil {
			outcome.Broken = append(outcome.Broken, e.Error())
		}
	}
	err = errors.Join(err, lab.Pool.Terminate(shutdownTimeout))
	lab.group.Close(shutdownTimeout)
	acts, refused := lab.Pool.Resource.Acts()
	outcome.Seed, outcome.Guarded, outcome.Acts, outcome.Refused, outcome.Faults =
		o.Seed, o.Pool.Guarded, len(acts), refused, len(faults)
	if gaps := Gaps(acts); len(gaps) > 0 {
		outcome.Grants, outcome.LongestGap = len(gaps)+o.Pool.Leases, gaps[0].Length
	}
	violations, conclusive, checkErr := lab.Pool.Check()
	outcome.Broken, outcome.Inconclusive =
		append(append(outcome.Broken, violations...), lab.processFailures()...), !conclusive
	return outcome, errors.Join(err, checkErr, lab.Close())
}

// fault is one fault of a run.
type fault struct {
	start, duration time.Duration // start counts from the beginning of the faults
	kind            string
	target          string // name of a worker or a replica, or currentHolder
}

// currentHolder is the target that stands for the worker that holds the first lease when the fault begins.
const currentHolder = "holder"

// drawFaults draws the faults of a run from its seed. No two faults overlap.
func drawFaults(o Options) []fault {
	random := rand.New(rand.NewPCG(o.Seed, 0x64757479))
	kinds := []string{
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
		kinds = append(kinds, "worker-pause", "worker-pause", "replica-pause", "worker-kill-replica")
	}
	var faults []fault
	for at := 200 * time.Millisecond; ; {
		f := fault{
			start:    at,
			kind:     kinds[random.IntN(len(kinds))],
			duration: time.Duration(random.Int64N(int64(3*o.Pool.TTL))) + 50*time.Millisecond,
		}
		if f.start+f.duration > o.Length {
			return faults
		}
		if f.target = fmt.Sprint("d", random.IntN(o.Pool.Workers)); random.IntN(3) > 0 {
			f.target = currentHolder
		}
		if strings.HasPrefix(f.kind, "replica") {
			f.target = fmt.Sprint("r", random.IntN(o.Replicas))
		}
		faults = append(faults, f)
		at += f.duration + time.Duration(random.Int64N(int64(o.Pool.TTL)))
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
	target, do, _ := strings.Cut(f.kind, "-")
	switch {
	case f.kind == "worker-cut", f.kind == "worker-cut-back", f.kind == "replica-cut":
		direction := link.Both
		if f.kind == "worker-cut-back" { // the worker's calls arrive at the registry, but the responses are lost
			direction = link.Back
		}
		l.net.ApplyShape(name, link.Shape{Hold: direction, Cut: true}, func(e link.Ends) bool {
			return e.To != "resource" &&
				(e.From == f.target ||
					strings.HasPrefix(e.To, f.target) && target == "replica" && strings.HasPrefix(e.From, "r"))
		})
		backoff.Sleep(ctx, f.duration)
		l.net.RemoveShape(name)
		return nil
	case f.kind == "all-kill":
		for _, r := range l.Replicas.All {
			if err := r.Kill(); err != nil {
				return err
			}
		}
		backoff.Sleep(ctx, f.duration)
		for _, r := range l.Replicas.All {
			if err := l.Replicas.Start(r); err != nil {
				return err
			}
		}
		return nil
	case f.kind == "worker-kill-replica": // the holder and the registry's leader may end at the same time
		errs := make(chan error, 1)
		go func() {
			errs <- l.Replicas.InjectFault(
				ctx,
				fmt.Sprint("r", int(f.start)%l.options.Replicas),
				"kill",
				f.duration,
				shutdownTimeout,
			)
		}()
		return errors.Join(l.Pool.InjectFault(ctx, f.target, "kill", f.duration, shutdownTimeout), <-errs)
	case target == "replica":
		return l.Replicas.InjectFault(ctx, f.target, do, f.duration, shutdownTimeout)
	}
	return l.Pool.InjectFault(ctx, f.target, do, f.duration, shutdownTimeout)
}
