package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/quorum"
	"wrenspread/internal/registry/server"
)

// quorumFlags are what a series of quorum runs takes.
type quorumFlags struct {
	seed            uint64
	runs, together  int
	replicas, users int
	length          time.Duration
	out, bin        string
}

func quorumCommand() *cobra.Command {
	var f quorumFlags
	c := &cobra.Command{
		Use:   "quorum",
		Short: "play replicas of the registry under drawn faults, and check every client's history",
		Long: `Each run starts real replicas with links between them, lets clients write, read and watch, and kills, pauses,
cuts off or slows replicas as its seed draws. Writes and current reads have to be linearizable (porcupine); watches
gapless, in order, and the same for all. A run takes its length and about a second.`,
		Example: "  wrenspread-lab quorum\n  wrenspread-lab quorum --runs 200 --together 4 --replicas 5",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.play(c) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.runs, "runs", 1, "how many runs, a seed each")
	c.Flags().IntVar(&f.together, "together", 1, "how many at once")
	c.Flags().IntVar(&f.replicas, "replicas", 3, "1, 3 or 5")
	c.Flags().IntVar(&f.users, "clients", 4, "clients that write and read")
	c.Flags().DurationVar(&f.length, "length", 6*time.Second, "of each run's work and faults")
	c.Flags().StringVar(&f.out, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().
		StringVar(&f.bin, "bin", "", "the folder with the wrenspread-registry to play with (default: beside wrenspread-lab, or built from the project)")
	return c
}

func (f *quorumFlags) play(c *cobra.Command) error {
	if f.runs < 1 || f.together < 1 || f.users < 1 || f.length < time.Second ||
		(f.replicas != 1 && f.replicas != 3 && f.replicas != 5) {
		return unplayed{
			errors.New("--runs, --together and --clients are 1 or more, --length 1s or more, --replicas 1, 3 or 5"),
		}
	}
	program, done, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer done()
	return series{"quorum", f.seed, f.runs, f.together}.play(c, func(seed uint64) (outcome, error) {
		o, err := f.one(c.Context(), program, seed)
		return outcome{o.Line(), len(o.Broken) > 0, o.Unsure}, err
	}, func(t tally, unplayed int) string {
		return fmt.Sprintf(
			"%d runs of %v with %d replicas, %d passed, %d broken, %d not decided, %d not played",
			f.runs,
			f.length,
			f.replicas,
			t.passed,
			t.broken,
			t.unsure,
			unplayed,
		)
	})
}

func (f *quorumFlags) one(ctx context.Context, program string, seed uint64) (quorum.Outcome, error) {
	dir, err := filepath.Abs(
		filepath.Join(f.out, fmt.Sprintf("quorum-%d-%s", seed, time.Now().UTC().Format("20060102T150405.000"))),
	)
	if err != nil {
		return quorum.Outcome{}, err
	}
	return quorum.Play(
		ctx,
		quorum.Options{
			Seed:     seed,
			Replicas: f.replicas,
			Clients:  f.users,
			Length:   f.length,
			Dir:      dir,
			Command:  []string{program},
		},
	)
}

func listCostCommand() *cobra.Command {
	var f quorumFlags
	var failovers int
	c := &cobra.Command{
		Use:     "list-cost",
		Short:   "measure the registry: failovers, and what a change costs with many watchers",
		Example: "  wrenspread-lab list-cost --failovers 50",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, done, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-registry")
			if err != nil {
				return err
			}
			defer done()
			dir, err := os.MkdirTemp("", "listcost")
			if err != nil {
				return unplayed{err}
			}
			defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
			o := quorum.Options{Seed: 1, Replicas: 3, Dir: dir, Command: []string{program}}
			if err := listCost(c.Context(), c.OutOrStdout(), o, failovers); err != nil {
				return unplayed{err}
			}
			return nil
		},
	}
	c.Flags().IntVar(&failovers, "failovers", 50, "how many times the leader is killed")
	c.Flags().
		StringVar(&f.bin, "bin", "", "the folder with the wrenspread-registry to measure (default: beside wrenspread-lab, or built from the project)")
	return c
}

func listCost(ctx context.Context, w io.Writer, o quorum.Options, failovers int) error {
	under := o.Dir
	for _, watchers := range []int{300, 1000, 10000} {
		// each its own folders: a replica is of the cluster that it began with
		o.Dir = filepath.Join(under, fmt.Sprint(watchers))
		f, err := quorum.FanOut(ctx, o, watchers)
		if err != nil {
			return fmt.Errorf("%d watchers: %w", watchers, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d watchers: a change reaches the median after %v, 99%% after %v; %.1f kB a watcher, and %v of processor a change\n",
				f.Watchers,
				f.P50.Round(
					10*time.Microsecond,
				),
				f.P99.Round(10*time.Microsecond),
				f.Memory/1000,
				f.CPU.Round(100*time.Microsecond),
			),
		)
	}
	if err := listSizes(ctx, w, o, under); err != nil {
		return err
	}
	for _, o.Election = range []time.Duration{150 * time.Millisecond, server.Default().ElectionTimeout} {
		o.Dir = filepath.Join(under, "failovers"+o.Election.String())
		all, err := quorum.Failovers(ctx, o, failovers)
		if err != nil {
			return fmt.Errorf("failovers: %w", err)
		}
		if len(all) > 0 {
			besteffort.Output(
				fmt.Fprintf(
					w,
					"%d failovers with an election time of %v, from the leader's kill to the end of the next write: median %v, worst %v\n",
					len(all),
					o.Election,
					all[len(all)/2].Round(time.Millisecond),
					all[len(all)-1].Round(time.Millisecond),
				),
			)
		}
	}
	return nil
}

// listSizes measures how costs grow with the list, the callers and the clients.
func listSizes(ctx context.Context, w io.Writer, o quorum.Options, under string) error {
	fresh := func(name string) quorum.Options { o := o; o.Dir = filepath.Join(under, name); return o }
	for _, entries := range []int{100, 1000, 10000} {
		s, err := quorum.Sized(ctx, fresh(fmt.Sprint("size", entries)), entries)
		if err != nil {
			return fmt.Errorf("%d entries: %w", entries, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d entries: filled in %v, started from disk in %v, %.1f MB on disk, %.1f MB in memory, %v of processor a change\n",
				s.Entries,
				s.Fill.Round(
					time.Millisecond,
				),
				s.Start.Round(time.Millisecond),
				float64(s.Disk)/1e6,
				float64(s.RSS)/1e6,
				s.Change.Round(time.Microsecond),
			),
		)
	}
	for _, callers := range []int{1, 10, 100} {
		r, err := quorum.Rated(ctx, fresh(fmt.Sprint("rate", callers)), callers)
		if err != nil {
			return fmt.Errorf("%d callers: %w", callers, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d callers: %.0f writes a second, %.0f entries renewed a second\n",
				callers,
				r.Writes,
				r.Renewed,
			),
		)
	}
	for _, n := range [][2]int{{200, 300}, {2000, 300}, {200, 3000}} {
		took, err := quorum.Arrival(ctx, fresh(fmt.Sprint("arrival", n)), n[0], n[1])
		if err != nil {
			return fmt.Errorf("%d servers arrive: %w", n[0], err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d servers register and %d clients come at once: all have all after %v\n",
				n[0],
				n[1],
				took.Round(time.Millisecond),
			),
		)
	}
	for _, entries := range []int{100, 1000} {
		s, err := quorum.SideBySide(ctx, fresh(fmt.Sprint("side", entries)), entries, 300)
		if err != nil {
			return fmt.Errorf("watching beside polling: %w", err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d entries, 300 clients, a change a second: watching takes %v of processor and %.0f kB a second, reading all each second %v and %.0f kB\n",
				entries,
				s.Watch.Round(100*time.Microsecond),
				s.WatchBytes/1e3,
				s.Poll.Round(100*time.Microsecond),
				s.PollBytes/1e3,
			),
		)
	}
	return nil
}
