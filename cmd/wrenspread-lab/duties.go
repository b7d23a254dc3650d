package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/leases"
)

// dutyFlags are the flags of a series of runs with leases, which the commands call duties.
type dutyFlags struct {
	firstSeed      uint64
	runs, parallel int
	replicas       int
	workerGroup    leases.PoolOptions
	length         time.Duration
	outDir, binDir string
	guard          string // whether the resource checks fencing tokens: yes, no or by-seed
}

// dutiesCommand plays a series of runs in which worker processes hold leases (duties) while faults occur.
func dutiesCommand() *cobra.Command {
	var f dutyFlags
	c := &cobra.Command{
		Use:   "duties",
		Short: "play processes that hold duties under drawn faults, and check that one holds them at a time",
		Long: `Each run starts real replicas of the registry and real workers that act on a resource while they hold a duty, and
kills, pauses, cuts off and restarts them as its seed draws. No act under a lower fence may follow one under a higher, no two
holders' acts may interleave, grants and fenced writes must be those of a lock (porcupine). Of two seeds one has a resource
that checks fences, and processes that stand still; the other has neither, so that time alone keeps holders apart.`,
		Example: "  wrenspread-lab duties\n  wrenspread-lab duties --runs 200 --together 3",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.playSeries(c) },
	}
	c.Flags().Uint64Var(&f.firstSeed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.runs, "runs", 2, "how many runs, a seed each")
	c.Flags().IntVar(&f.parallel, "together", 1, "how many at once")
	c.Flags().IntVar(&f.replicas, "replicas", 3, "1, 3 or 5")
	c.Flags().IntVar(&f.workerGroup.Workers, "workers", 3, "processes")
	c.Flags().IntVar(&f.workerGroup.Leases, "duties", 2, "that all of them want")
	c.Flags().DurationVar(&f.workerGroup.TTL, "ttl", time.Second, "of their sessions")
	c.Flags().DurationVar(&f.workerGroup.OverrunAfterLoss, "deaf", 0,
		"a broken stand-in: work goes on for so long after it is told to stop")
	c.Flags().StringVar(&f.guard, "guard", "by-seed", "does the resource check fences: yes, no or by-seed")
	c.Flags().DurationVar(&f.length, "length", 8*time.Second, "of each run's faults")
	c.Flags().StringVar(&f.outDir, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().StringVar(&f.binDir, "bin", "",
		"the folder with the wrenspread-registry to play with (default: beside wrenspread-lab, or built from the project)")
	return c
}

// playSeries checks the flags, plays a run with each seed, and prints a summary with the number of grants.
func (f *dutyFlags) playSeries(c *cobra.Command) error {
	if f.runs < 1 || f.parallel < 1 || f.workerGroup.Workers < 1 || f.workerGroup.Leases < 1 ||
		f.length < time.Second ||
		(f.replicas != 1 && f.replicas != 3 && f.replicas != 5) {
		return unplayedError{
			errors.New(
				"--runs, --together, --workers and --duties are 1 or more, --length 1s or more, --replicas 1, 3 or 5",
			),
		}
	}
	program, removeProgram, err := findProgram(c.Context(), c.ErrOrStderr(), f.binDir, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer removeProgram()
	var grants atomic.Int64
	return series{"duties", f.firstSeed, f.runs, f.parallel}.play(c, func(seed uint64) (outcome, error) {
		o, err := f.playSeed(c.Context(), program, seed)
		grants.Add(int64(o.Grants))
		return outcome{o.Line(), len(o.Broken) > 0, o.Inconclusive}, err
	}, func(t tally, unplayed int) string {
		return fmt.Sprintf(
			"%d runs of %v, %d passed, %d broken, %d not played or not decided, %d grants",
			f.runs,
			f.length,
			t.passed,
			t.broken,
			t.undecided+unplayed,
			grants.Load(),
		)
	})
}

// playSeed plays one run in a new folder. With the guard "by-seed", the resource checks fencing tokens only
// if the seed is even.
func (f *dutyFlags) playSeed(ctx context.Context, program string, seed uint64) (leases.Outcome, error) {
	dir, err := filepath.Abs(
		filepath.Join(f.outDir, fmt.Sprintf("duties-%d-%s", seed, time.Now().UTC().Format("20060102T150405.000"))),
	)
	if err != nil {
		return leases.Outcome{}, err
	}
	executable, err := os.Executable()
	if err != nil {
		return leases.Outcome{}, err
	}
	workerGroup := f.workerGroup
	workerGroup.Command = []string{executable, "duty-worker"}
	workerGroup.Guarded = f.guard == "yes" || f.guard == "by-seed" && seed%2 == 0
	return leases.Play(
		ctx,
		leases.Options{
			Pool:           workerGroup,
			Seed:           seed,
			Replicas:       f.replicas,
			Length:         f.length,
			Dir:            dir,
			ReplicaCommand: []string{program},
		},
	)
}

// dutyCostCommand measures how long a lease has no holder after each kind of change, and what held leases
// cost.
func dutyCostCommand() *cobra.Command {
	var binDir string
	var times int
	c := &cobra.Command{
		Use:     "duty-cost",
		Short:   "measure duties: the time without a holder, and what held duties take",
		Example: "  wrenspread-lab duty-cost --times 50",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, removeProgram, err := findProgram(c.Context(), c.ErrOrStderr(), binDir, "wrenspread-registry")
			if err != nil {
				return err
			}
			defer removeProgram()
			executable, err := os.Executable()
			if err != nil {
				return unplayedError{err}
			}
			dir, err := os.MkdirTemp("", "dutycost")
			if err != nil {
				return unplayedError{err}
			}
			defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
			o := leases.Options{
				Seed:           1,
				Replicas:       3,
				Dir:            dir,
				ReplicaCommand: []string{program},
				Pool:           leases.PoolOptions{Workers: 3, TTL: time.Second, Command: []string{executable, "duty-worker"}},
			}
			if err := writeDutyCosts(c.Context(), c.OutOrStdout(), o, times); err != nil {
				return unplayedError{err}
			}
			return nil
		},
	}
	c.Flags().IntVar(&times, "times", 50, "how many times each kind of change is made")
	c.Flags().StringVar(&binDir, "bin", "",
		"the folder with the wrenspread-registry to measure (default: beside wrenspread-lab, or built from the project)")
	return c
}

// A contest has contestCandidates processes that request one lease; the lease changes its holder
// contestRounds times.
const contestCandidates, contestRounds = 100, 20

// labElectionTimeout is the election timeout of the lab's replicas. An election can take up to twice as long.
const labElectionTimeout = 300 * time.Millisecond

// writeDutyCosts measures leases and writes one line per result to w: first, at the same time, the gap
// between two holders for each kind of change and for a contest of many candidates; then the processor time
// of 10 to 1000 held leases.
func writeDutyCosts(ctx context.Context, w io.Writer, o leases.Options, times int) error {
	parentDir := o.Dir
	var mu sync.Mutex // guards w
	var g errgroup.Group
	for _, kind := range leases.ChangeKinds {
		g.Go(func() error {
			o := o
			o.Dir = filepath.Join(parentDir, kind)
			gaps, err := leases.Changes(ctx, o, kind, times)
			if err != nil {
				return fmt.Errorf("measure changes of kind %s: %w", kind, err)
			}
			mu.Lock()
			defer mu.Unlock()
			besteffort.Output(
				fmt.Fprintf(
					w,
					"%-8s %d changes: without a holder for %v in the median, %v at the worst; %v on paper\n",
					kind,
					len(gaps),
					gaps[len(gaps)/2].Round(
						time.Millisecond,
					),
					gaps[len(gaps)-1].Round(time.Millisecond),
					leases.Bound(kind, o.Pool.TTL, labElectionTimeout),
				),
			)
			return nil
		})
	}
	g.Go(func() error {
		o := o
		o.Dir = filepath.Join(parentDir, "contest")
		gaps, err := leases.Contest(ctx, o, contestCandidates, contestRounds)
		if err != nil {
			return fmt.Errorf("measure a contest of %d candidates: %w", contestCandidates, err)
		}
		mu.Lock()
		defer mu.Unlock()
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%d candidates at one duty, %d changes: %v in the median, %v at the worst\n",
				contestCandidates,
				len(gaps),
				gaps[len(gaps)/2].Round(time.Millisecond),
				gaps[len(gaps)-1].Round(time.Millisecond),
			),
		)
		return nil
	})
	if err := g.Wait(); err != nil {
		return err
	}
	o.Pool.Workers = 10
	for _, n := range []int{10, 100, 1000} {
		o.Dir = filepath.Join(parentDir, fmt.Sprint(n))
		costs, err := leases.Costs(ctx, o, n)
		if err != nil {
			return fmt.Errorf("measure the costs of %d leases: %w", n, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%4d duties in 10 processes: held after %v, %d to %d by each; workers take %v of processor a second in all, replicas %v\n",
				costs.Leases,
				costs.SettleTime.Round(10*time.Millisecond),
				costs.LeasesPerWorker[0],
				costs.LeasesPerWorker[len(costs.LeasesPerWorker)-1],
				costs.Workers.Round(100*time.Microsecond),
				costs.Replicas.Round(100*time.Microsecond),
			),
		)
	}
	return nil
}

// dutyWorkerCommand runs a worker process that holds leases; the lab starts it.
func dutyWorkerCommand() *cobra.Command {
	var o leases.WorkerOptions
	var addresses, names string
	c := &cobra.Command{
		Use:    "duty-worker",
		Short:  "a process that holds duties, as the lab starts it",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			o.RegistryAddresses, o.Leases = strings.Split(addresses, ","), strings.Split(names, ",")
			return leases.Work(c.Context(), o, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	c.Flags().StringVar(&o.Process, "process", "", "its name")
	c.Flags().StringVar(&addresses, "list", "", "addresses of the registry")
	c.Flags().StringVar(&o.Resource, "resource", "", "what it acts on")
	c.Flags().StringVar(&names, "duties", "", "those it wants")
	c.Flags().DurationVar(&o.TTL, "ttl", time.Second, "of its session")
	c.Flags().DurationVar(&o.ActInterval, "every", 4*time.Millisecond, "between two acts on one duty")
	c.Flags().StringVar(&o.Log, "log", "acts.jsonl", "its history")
	c.Flags().BoolVar(&o.Spread, "spread", false, "duties are shared out evenly")
	c.Flags().DurationVar(&o.OverrunAfterLoss, "deaf", 0, "work goes on for so long after it is told to stop")
	return c
}
