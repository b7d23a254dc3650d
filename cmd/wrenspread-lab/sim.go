package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/sim"
	"wrenspread/internal/sim/membership"
)

// maxExplained is the number of broken schedules of a kind that are shortened and drawn. For the others only
// the seed and the broken check are printed.
const maxExplained = 3

// playsByName maps the name of a kind of schedule to the function that makes the play.
var playsByName = map[string]func(membership.Options) sim.Play{
	"wild":  membership.Wild,
	"mild":  membership.Mild,
	"pairs": membership.Pairs,
}

// simFlags are the flags of a series of schedules.
type simFlags struct {
	firstSeed                  uint64
	schedules, parallel, nodes int
	play                       string
}

// simCommand plays drawn schedules of faults in the simulator and checks the membership views.
func simCommand() *cobra.Command {
	var f simFlags
	c := &cobra.Command{
		Use:   "sim",
		Short: "play drawn schedules of faults over the real cores, on a fake clock and a drawn network",
		Long: `Each schedule starts a fleet of views in one process and lets happen to it what its seed draws. Wild ones have all that can
go wrong; afterwards all views must be the same and right within 30 s of the fleet's time. In mild ones nobody may be
taken for dead, in those of bad pairs nobody may even be suspected. A broken one is cut down and drawn.`,
		Example: "  wrenspread-lab sim --schedules 10000\n  wrenspread-lab sim --play mild --seed 17 --schedules 1\n  wrenspread-lab sim growth\n  wrenspread-lab sim story halves",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return f.playAll(c) },
	}
	c.Flags().Uint64Var(&f.firstSeed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.schedules, "schedules", 1000, "how many, a seed each")
	c.Flags().IntVar(&f.parallel, "together", runtime.NumCPU(), "how many at once")
	c.Flags().IntVar(&f.nodes, "nodes", 6, "of each fleet")
	c.Flags().StringVar(&f.play, "play", "all", "wild, mild, pairs, or all: one of two is wild")
	c.AddCommand(growthCommand(), storyCommand())
	return c
}

// playAll checks the flags, plays the schedules of each selected kind and prints a table of the results.
func (f *simFlags) playAll(c *cobra.Command) error {
	names := []string{"wild", "mild", "wild", "pairs"}
	if f.play != "all" {
		names = []string{f.play}
	}
	if f.schedules < 1 || f.parallel < 1 || f.nodes < 2 || f.nodes > 1000 || playsByName[names[0]] == nil {
		return unplayedError{
			errors.New("--schedules and --together are 1 or more, --nodes 2 to 1000, --play wild, mild, pairs or all"),
		}
	}
	debug.SetGCPercent(400) // at the default, garbage collection of these short-lived fleets took half of the time
	start := time.Now()
	var broken int
	table := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	besteffort.Output(fmt.Fprintln(table, "play\tschedules\tbroken\tsettled after: median\t99%\tmost"))
	for i, name := range names {
		count := (f.schedules + len(names) - 1 - i) / len(names)
		if count == 0 {
			continue
		}
		settleTimes, brokenCount, err := f.playSeries(c, name, f.firstSeed+uint64(i*f.schedules), count)
		if err != nil {
			return unplayedError{err}
		}
		broken += brokenCount
		besteffort.Output(
			fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%v\n", name, count, brokenCount,
				quantile(settleTimes, 0.5), quantile(settleTimes, 0.99), quantile(settleTimes, 1)),
		)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	besteffort.Output(
		fmt.Fprintf(
			c.OutOrStdout(),
			"%d schedules of %d nodes in %v: %d broken\n",
			f.schedules,
			f.nodes,
			time.Since(start).Round(time.Second/10),
			broken,
		),
	)
	if broken > 0 {
		return errRuleBroken
	}
	return nil
}

// playSeries plays count schedules of one kind, from seed on, and explains the first maxExplained broken
// schedules. It returns the sorted times that the views took to settle and the number of broken schedules.
func (f *simFlags) playSeries(
	c *cobra.Command,
	name string,
	seed uint64,
	count int,
) (settleTimes []time.Duration, broken int, err error) {
	var mu sync.Mutex // guards the results and the output
	opts := membership.Options{Nodes: f.nodes, OnSettled: func(d time.Duration) {
		mu.Lock()
		settleTimes = append(settleTimes, d)
		mu.Unlock()
	}}
	explainer := playsByName[name](membership.Options{Nodes: f.nodes})
	err = playsByName[name](opts).Series(c.Context(), seed, count, f.parallel, func(p sim.ScheduleResult) {
		if p.Violation == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if broken++; broken > maxExplained {
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: seed %d: %v\n", name, p.Seed, p.Violation))
			return
		}
		besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name,
			explainer.Explain(p.Seed, p.Faults, p.Violation)))
	})
	slices.Sort(settleTimes)
	return settleTimes, broken, err
}

// quantile returns the time that the given fraction of the sorted times does not exceed, or 0 if there are
// none.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// growthCommand measures the cost and the speed of the membership view by the size of the fleet.
func growthCommand() *cobra.Command {
	growth := membership.Growth{Seed: 1, Cut: 30 * time.Second}
	var sizes, rivals []int
	c := &cobra.Command{
		Use:   "growth",
		Short: "measure what the view costs and how fast it is, by the size of the fleet, beside everybody asking everybody",
		Long: `The times are of the fleet's clock, until every running node knows: all joined by one address, one more node, one death, halves that
were cut off. False deaths are of running nodes in anybody's view, a node and hour. 1,000 nodes take 2 minutes of one processor and 0.8 GB, 3,000 nine times as much.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if growth.NodeHours < 0 ||
				slices.ContainsFunc(slices.Concat(sizes, rivals), func(n int) bool { return n < 2 || n > 5000 }) ||
				slices.ContainsFunc(growth.Losses, func(l float64) bool { return l < 0 || l >= 1 }) {
				return unplayedError{errors.New(
					"--nodes and --rival are 2 to 5000, --losses 0 to below 1, --hours 0 or more")}
			}
			return writeGrowth(c.Context(), c.OutOrStdout(), growth, sizes, rivals)
		},
	}
	c.Flags().IntSliceVar(&sizes, "nodes", []int{3, 30, 300}, "sizes of the fleet")
	c.Flags().IntSliceVar(&rivals, "rival", []int{3, 30, 100}, "sizes of the rival's fleet")
	c.Flags().Float64SliceVar(&growth.Losses, "losses", []float64{0, 0.1, 0.2, 0.3},
		"at which false deaths are counted")
	c.Flags().Float64Var(&growth.NodeHours, "hours", 10, "node hours of counting, at each loss")
	c.Flags().Uint64Var(&growth.Seed, "seed", 1, "of all draws")
	return c
}

// writeGrowth writes a table to out: one line per fleet size for the membership view, then one per rival size
// for a protocol in which every node queries every other node.
func writeGrowth(ctx context.Context, out io.Writer, growth membership.Growth, sizes, rivals []int) error {
	besteffort.Output(
		fmt.Fprintf(
			out,
			"%-6s %6s  %12s %12s  %10s %10s %10s %10s  false deaths a node and hour at loss",
			"view",
			"nodes",
			"datagrams/s",
			"bytes/s",
			"all joined",
			"one joins",
			"one dies",
			"heal",
		),
	)
	for _, l := range growth.Losses {
		besteffort.Output(fmt.Fprintf(out, " %.0f%%", 100*l))
	}
	besteffort.Output(fmt.Fprintln(out))
	for _, rival := range []bool{false, true} {
		growth.Rival = rival
		name := "ours"
		if rival {
			sizes, name = rivals, "rival"
		}
		for _, growth.Nodes = range sizes {
			costs, err := growth.Measure(ctx)
			if err != nil {
				return unplayedError{err}
			}
			besteffort.Output(
				fmt.Fprintf(
					out,
					"%-6s %6d  %12.1f %12.0f  %10v %10v %10v %10v  %s\n",
					name,
					costs.Nodes,
					costs.DatagramsPerSecond,
					costs.BytesPerSecond,
					costs.Joined,
					costs.Join,
					costs.Death,
					costs.Heal,
					formatRates(costs.FalseDeaths),
				),
			)
		}
	}
	return nil
}

// formatRates formats each rate with three significant digits, two spaces apart.
func formatRates(rates []float64) string {
	var texts []string
	for _, f := range rates {
		texts = append(texts, fmt.Sprintf("%.3g", f))
	}
	return strings.Join(texts, "  ")
}

// storyCommand draws the named membership scenarios, or all scenarios if no name is given.
func storyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "story [name]...",
		Short: "draw the kept scenarios: what each node saw, and why it must be so",
		RunE: func(c *cobra.Command, names []string) error {
			var known []string
			for _, s := range membership.Scenarios() {
				known = append(known, s.Name)
				if len(names) > 0 && !slices.Contains(names, s.Name) {
					continue
				}
				drawing, err := s.Play(nil)
				besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s\n\n%s\n", s.Name, drawing))
				if err != nil {
					return fmt.Errorf("%s: %w", s.Name, err)
				}
			}
			for _, n := range names {
				if !slices.Contains(known, n) {
					return unplayedError{fmt.Errorf("unknown story %q, want one of %s", n, strings.Join(known, ", "))}
				}
			}
			return nil
		},
	}
}
