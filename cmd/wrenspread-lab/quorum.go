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

// quorumFlags are the flags of a series of quorum runs.
type quorumFlags struct {
	firstSeed         uint64
	runs, parallel    int
	replicas, clients int
	length            time.Duration
	outDir, binDir    string
}

// quorumCommand plays a series of runs of registry replicas under faults and checks the clients' histories.
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
		RunE:    func(c *cobra.Command, _ []string) error { return f.playSeries(c) },
	}
	c.Flags().Uint64Var(&f.firstSeed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.runs, "runs", 1, "how many runs, a seed each")
	c.Flags().IntVar(&f.parallel, "together", 1, "how many at once")
	c.Flags().IntVar(&f.replicas, "replicas", 3, "1, 3 or 5")
	c.Flags().IntVar(&f.clients, "clients", 4, "clients that write and read")
	c.Flags().DurationVar(&f.length, "length", 6*time.Second, "of each run's work and faults")
	c.Flags().StringVar(&f.outDir, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().StringVar(&f.binDir, "bin", "",
		"the folder with the wrenspread-registry to play with (default: beside wrenspread-lab, or built from the project)")
	return c
}

// playSeries checks the flags, plays a run with each seed, and prints a summary.
func (f *quorumFlags) playSeries(c *cobra.Command) error {
	if f.runs < 1 || f.parallel < 1 || f.clients < 1 || f.length < time.Second ||
		(f.replicas != 1 && f.replicas != 3 && f.replicas != 5) {
		return unplayedError{
			errors.New("--runs, --together and --clients are 1 or more, --length 1s or more, --replicas 1, 3 or 5"),
		}
	}
	program, removeProgram, err := findProgram(c.Context(), c.ErrOrStderr(), f.binDir, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer removeProgram()
	return series{"quorum", f.firstSeed, f.runs, f.parallel}.play(c, func(seed uint64) (outcome, error) {
		o, err := f.playSeed(c.Context(), program, seed)
		return outcome{o.Line(), len(o.Broken) > 0, o.Inconclusive}, err
	}, func(t tally, unplayed int) string {
		return fmt.Sprintf(
			"%d runs of %v with %d replicas, %d passed, %d broken, %d not decided, %d not played",
			f.runs,
			f.length,
			f.replicas,
			t.passed,
			t.broken,
			t.undecided,
			unplayed,
		)
	})
}

// playSeed plays one run in a new folder.
func (f *quorumFlags) playSeed(ctx context.Context, program string, seed uint64) (quorum.Outcome, error) {
	dir, err := filepath.Abs(
		filepath.Join(f.outDir, fmt.Sprintf("quorum-%d-%s", seed, time.Now().UTC().Format("20060102T150405.000"))),
	)
	if err != nil {
		return quorum.Outcome{}, err
	}
	return quorum.Play(
		ctx,
		quorum.Options{
			Seed:     seed,
			Replicas: f.replicas,
			Clients:  f.clients,
			Length:   f.length,
			Dir:      dir,
			Command:  []string{program},
		},
	)
}

// listCostCommand measures the registry: failovers, and costs by the numbers of watchers, entries and
// callers.
func listCostCommand() *cobra.Command {
	var f quorumFlags
	var failovers int
	c := &cobra.Command{
		Use:     "list-cost",
		Short:   "measure the registry: failovers, and what a change costs with many watchers",
		Example: "  wrenspread-lab list-cost --failovers 50",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, removeProgram, err := findProgram(c.Context(), c.ErrOrStderr(), f.binDir, "wrenspread-registry")
			if err != nil {
				return err
			}
			defer removeProgram()
			dir, err := os.MkdirTemp("", "listcost")
			if err != nil {
				return unplayedError{err}
			}
			defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
			o := quorum.Options{Seed: 1, Replicas: 3, Dir: dir, Command: []string{program}}
			if err := writeRegistryCosts(c.Context(), c.OutOrStdout(), o, failovers); err != nil {
				return unplayedError{err}
			}
			return nil
		},
	}
	c.Flags().IntVar(&failovers, "failovers", 50, "how many times the leader is killed")
	c.Flags().StringVar(&f.binDir, "bin", "",
		"the folder with the wrenspread-registry to measure (default: beside wrenspread-lab, or built from the project)")
	return c
}

// writeRegistryCosts measures the registry and writes one line per result to w: the propagation of a change
// by the number of watchers, the costs by size, and failovers at two election timeouts.
func writeRegistryCosts(ctx context.Context, w io.Writer, o quorum.Options, failovers int) error {
	parentDir := o.Dir
	for _, watchers := range []int{300, 1000, 10000} {
		// Each measurement has its own folder, because a replica stays in the cluster it was created in.
		o.Dir = filepath.Join(parentDir, fmt.Sprint(watchers))
		fanOut, err := quorum.FanOut(ctx, o, watchers)
		if err != nil {
			return fmt.Errorf("measure changes with %d watchers: %w", watchers, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d watchers: a change reaches the median after %v, 99%% after %v; %.1f kB a watcher, and %v of processor a change\n",
				fanOut.Watchers,
				fanOut.P50.Round(
					10*time.Microsecond,
				),
				fanOut.P99.Round(10*time.Microsecond),
				fanOut.Memory/1000,
				fanOut.CPU.Round(100*time.Microsecond),
			),
		)
	}
	if err := writeRegistryCostsBySize(ctx, w, o, parentDir); err != nil {
		return err
	}
	for _, o.Election = range []time.Duration{150 * time.Millisecond, server.Default().ElectionTimeout} {
		o.Dir = filepath.Join(parentDir, "failovers"+o.Election.String())
		outages, err := quorum.Failovers(ctx, o, failovers)
		if err != nil {
			return fmt.Errorf("measure failovers: %w", err)
		}
		if len(outages) > 0 {
			besteffort.Output(
				fmt.Fprintf(
					w,
					"%d failovers with an election time of %v, from the leader's kill to the end of the next write: median %v, worst %v\n",
					len(outages),
					o.Election,
					outages[len(outages)/2].Round(time.Millisecond),
					outages[len(outages)-1].Round(time.Millisecond),
				),
			)
		}
	}
	return nil
}

// writeRegistryCostsBySize measures how the costs of the registry grow with its entries, callers and clients,
// and writes one line per result to w.
func writeRegistryCostsBySize(ctx context.Context, w io.Writer, o quorum.Options, parentDir string) error {
	optionsIn := func(name string) quorum.Options { o := o; o.Dir = filepath.Join(parentDir, name); return o }
	for _, entries := range []int{100, 1000, 10000} {
		costs, err := quorum.MeasureSize(ctx, optionsIn(fmt.Sprint("size", entries)), entries)
		if err != nil {
			return fmt.Errorf("measure the size of %d entries: %w", entries, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d entries: filled in %v, started from disk in %v, %.1f MB on disk, %.1f MB in memory, %v of processor a change\n",
				costs.Entries,
				costs.Fill.Round(
					time.Millisecond,
				),
				costs.Start.Round(time.Millisecond),
				float64(costs.Disk)/1e6,
				float64(costs.RSS)/1e6,
				costs.Change.Round(time.Microsecond),
			),
		)
	}
	for _, callers := range []int{1, 10, 100} {
		rates, err := quorum.MeasureRates(ctx, optionsIn(fmt.Sprint("rate", callers)), callers)
		if err != nil {
			return fmt.Errorf("measure the rates of %d callers: %w", callers, err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d callers: %.0f writes a second, %.0f entries renewed a second\n",
				callers,
				rates.Writes,
				rates.Renewed,
			),
		)
	}
	for _, arrival := range [][2]int{{200, 300}, {2000, 300}, {200, 3000}} {
		took, err := quorum.Arrival(ctx, optionsIn(fmt.Sprint("arrival", arrival)), arrival[0], arrival[1])
		if err != nil {
			return fmt.Errorf("measure the arrival of %d servers: %w", arrival[0], err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d servers register and %d clients come at once: all have all after %v\n",
				arrival[0],
				arrival[1],
				took.Round(time.Millisecond),
			),
		)
	}
	for _, entries := range []int{100, 1000} {
		costs, err := quorum.MeasureClientCost(ctx, optionsIn(fmt.Sprint("side", entries)), entries, 300)
		if err != nil {
			return fmt.Errorf("compare watching with polling: %w", err)
		}
		besteffort.Output(
			fmt.Fprintf(
				w,
				"%5d entries, 300 clients, a change a second: watching takes %v of processor and %.0f kB a second, reading all each second %v and %.0f kB\n",
				entries,
				costs.Watch.Round(100*time.Microsecond),
				costs.WatchBytes/1e3,
				costs.Poll.Round(100*time.Microsecond),
				costs.PollBytes/1e3,
			),
		)
	}
	return nil
}
