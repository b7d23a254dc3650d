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

// dutyFlags are what a series of runs with leases takes.
type dutyFlags struct {
	seed           uint64
	runs, together int
	replicas       int
	crew           leases.CrewOptions
	length         time.Duration
	out, bin       string
	guard          string
}

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
		RunE:    func(c *cobra.Command, _ []string) error { return f.play(c) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.runs, "runs", 2, "how many runs, a seed each")
	c.Flags().IntVar(&f.together, "together", 1, "how many at once")
	c.Flags().IntVar(&f.replicas, "replicas", 3, "1, 3 or 5")
	c.Flags().IntVar(&f.crew.Workers, "workers", 3, "processes")
	c.Flags().IntVar(&f.crew.Duties, "duties", 2, "that all of them want")
	c.Flags().DurationVar(&f.crew.TTL, "ttl", time.Second, "of their sessions")
	c.Flags().
		DurationVar(&f.crew.Deaf, "deaf", 0, "a broken stand-in: work goes on for so long after it is told to stop")
	c.Flags().StringVar(&f.guard, "guard", "by-seed", "does the resource check fences: yes, no or by-seed")
	c.Flags().DurationVar(&f.length, "length", 8*time.Second, "of each run's faults")
	c.Flags().StringVar(&f.out, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().
		StringVar(&f.bin, "bin", "", "the folder with the wrenspread-registry to play with (default: beside wrenspread-lab, or built from the project)")
	return c
}

func (f *dutyFlags) play(c *cobra.Command) error {
	if f.runs < 1 || f.together < 1 || f.crew.Workers < 1 || f.crew.Duties < 1 || f.length < time.Second ||
		(f.replicas != 1 && f.replicas != 3 && f.replicas != 5) {
		return unplayed{
			errors.New(
				"--runs, --together, --workers and --duties are 1 or more, --length 1s or more, --replicas 1, 3 or 5",
			),
		}
	}
	program, done, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer done()
	var grants atomic.Int64
	return series{"duties", f.seed, f.runs, f.together}.play(c, func(seed uint64) (outcome, error) {
		o, err := f.one(c.Context(), program, seed)
		grants.Add(int64(o.Grants))
		return outcome{o.Line(), len(o.Broken) > 0, o.Unsure}, err
	}, func(t tally, unplayed int) string {
		return fmt.Sprintf(
			"%d runs of %v, %d passed, %d broken, %d not played or not decided, %d grants",
			f.runs,
			f.length,
			t.passed,
			t.broken,
			t.unsure+unplayed,
			grants.Load(),
		)
	})
}

func (f *dutyFlags) one(ctx context.Context, program string, seed uint64) (leases.Outcome, error) {
	dir, err := filepath.Abs(
		filepath.Join(f.out, fmt.Sprintf("duties-%d-%s", seed, time.Now().UTC().Format("20060102T150405.000"))),
	)
	if err != nil {
		return leases.Outcome{}, err
	}
	own, err := os.Executable()
	if err != nil {
		return leases.Outcome{}, err
	}
	crew := f.crew
	crew.Command = []string{own, "duty-worker"}
	crew.Guarded = f.guard == "yes" || f.guard == "by-seed" && seed%2 == 0
	return leases.Play(
		ctx,
		leases.Options{
			Crew:     crew,
			Seed:     seed,
			Replicas: f.replicas,
			Length:   f.length,
			Dir:      dir,
			List:     []string{program},
		},
	)
}

func dutyCostCommand() *cobra.Command {
	var bin string
	var times int
	c := &cobra.Command{
		Use:     "duty-cost",
		Short:   "measure duties: the time without a holder, and what held duties take",
		Example: "  wrenspread-lab duty-cost --times 50",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, done, err := findProgram(c.Context(), c.ErrOrStderr(), bin, "wrenspread-registry")
			if err != nil {
				return err
			}
			defer done()
			own, err := os.Executable()
			if err != nil {
				return unplayed{err}
			}
			dir, err := os.MkdirTemp("", "dutycost")
			if err != nil {
				return unplayed{err}
			}
			defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
			o := leases.Options{
				Seed:     1,
				Replicas: 3,
				Dir:      dir,
				List:     []string{program},
				Crew:     leases.CrewOptions{Workers: 3, TTL: time.Second, Command: []string{own, "duty-worker"}},
			}
			if err := dutyCost(c.Context(), c.OutOrStdout(), o, times); err != nil {
				return unplayed{err}
			}
			return nil
		},
	}
	c.Flags().IntVar(&times, "times", 50, "how many times each kind of change is made")
	c.Flags().
		StringVar(&bin, "bin", "", "the folder with the wrenspread-registry to measure (default: beside wrenspread-lab, or built from the project)")
	return c
}

// Candidates of a contest, and how often they take turns.
const contestants, contests = 100, 20

// election is that of the lab's replicas, up to twice of which one may take.
const election = 300 * time.Millisecond

func dutyCost(ctx context.Context, w io.Writer, o leases.Options, times int) error {
	under := o.Dir
	var mu sync.Mutex // of the output
	var g errgroup.Group
	for _, kind := range leases.Kinds {
		g.Go(func() error {
			o := o
			o.Dir = filepath.Join(under, kind)
			all, err := leases.Changes(ctx, o, kind, times)
			if err != nil {
				return fmt.Errorf("%s: %w", kind, err)
			}
			mu.Lock()
			defer mu.Unlock()
			besteffort.Output(
				fmt.Fprintf(
					w,
					"%-8s %d changes: without a holder for %v in the median, %v at the worst; %v on paper\n",
					kind,
					len(all),
					all[len(all)/2].Round(
						time.Millisecond,
					),
					all[len(all)-1].Round(time.Millisecond),
					leases.Bound(kind, o.Crew.TTL, election),
				),
			)
			return nil
		})
	}
	g.Go(func() error {
		o := o
		o.Dir = filepath.Join(under, "contest")
		all, err := leases.Contest(ctx, o, contestants, contests)
		if err != nil {
			return fmt.Errorf("%d candidates: %w", contestants, err)
		}
		mu.Lock()
		defer mu.Unlock()
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%d candidates at one duty, %d changes: %v in the median, %v at the worst\n",
				contestants,
				len(all),
				all[len(all)/2].Round(time.Millisecond),
				all[len(all)-1].Round(time.Millisecond),
			),
		)
		return nil
	})
	if err := g.Wait(); err != nil {
		return err
	}
	o.Crew.Workers = 10
	for _, n := range []int{10, 100, 1000} {
		o.Dir = filepath.Join(under, fmt.Sprint(n))
		c, err := leases.Costs(ctx, o, n)
		if err != nil {
			return fmt.Errorf("%d duties: %w", n, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%4d duties in 10 processes: held after %v, %d to %d by each; workers take %v of processor a second in all, replicas %v\n",
				c.Duties,
				c.Settled.Round(10*time.Millisecond),
				c.Held[0],
				c.Held[len(c.Held)-1],
				c.Workers.Round(100*time.Microsecond),
				c.Replicas.Round(100*time.Microsecond),
			),
		)
	}
	return nil
}

// dutyWorkerCommand is the process of a worker; the lab starts it.
func dutyWorkerCommand() *cobra.Command {
	var o leases.WorkerOptions
	var addresses, names string
	c := &cobra.Command{
		Use:    "duty-worker",
		Short:  "a process that holds duties, as the lab starts it",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			o.List, o.Duties = strings.Split(addresses, ","), strings.Split(names, ",")
			return leases.Work(c.Context(), o, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	c.Flags().StringVar(&o.Process, "process", "", "its name")
	c.Flags().StringVar(&addresses, "list", "", "addresses of the registry")
	c.Flags().StringVar(&o.Resource, "resource", "", "what it acts on")
	c.Flags().StringVar(&names, "duties", "", "those it wants")
	c.Flags().DurationVar(&o.TTL, "ttl", time.Second, "of its session")
	c.Flags().DurationVar(&o.Every, "every", 4*time.Millisecond, "between two acts on one duty")
	c.Flags().StringVar(&o.Log, "log", "acts.jsonl", "its history")
	c.Flags().BoolVar(&o.Spread, "spread", false, "duties are shared out evenly")
	c.Flags().DurationVar(&o.Deaf, "deaf", 0, "work goes on for so long after it is told to stop")
	return c
}
