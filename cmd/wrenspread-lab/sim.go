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

// mostExplained bounds the broken schedules that are cut down and drawn; the others are named.
const mostExplained = 3

// plays are the sorts of schedule, by name.
var plays = map[string]func(membership.Options) sim.Play{
	"wild":  membership.Wild,
	"mild":  membership.Mild,
	"pairs": membership.Pairs,
}

// simFlags are what a series of schedules takes.
type simFlags struct {
	seed                       uint64
	schedules, together, nodes int
	play                       string
}

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
		RunE:    func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&f.schedules, "schedules", 1000, "how many, a seed each")
	c.Flags().IntVar(&f.together, "together", runtime.NumCPU(), "how many at once")
	c.Flags().IntVar(&f.nodes, "nodes", 6, "of each fleet")
	c.Flags().StringVar(&f.play, "play", "all", "wild, mild, pairs, or all: one of two is wild")
	c.AddCommand(growthCommand(), storyCommand())
	return c
}

func (f *simFlags) run(c *cobra.Command) error {
	names := []string{"wild", "mild", "wild", "pairs"}
	if f.play != "all" {
		names = []string{f.play}
	}
	if f.schedules < 1 || f.together < 1 || f.nodes < 2 || f.nodes > 1000 || plays[names[0]] == nil {
		return unplayed{
			errors.New("--schedules and --together are 1 or more, --nodes 2 to 1000, --play wild, mild, pairs or all"),
		}
	}
	debug.SetGCPercent(400) // small worlds that live for milliseconds: collecting took half of the time
	began := time.Now()
	var broken int
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	besteffort.Output(fmt.Fprintln(t, "play\tschedules\tbroken\tsettled after: median\t99%\tmost"))
	for i, name := range names {
		n := (f.schedules + len(names) - 1 - i) / len(names)
		if n == 0 {
			continue
		}
		took, bad, err := f.series(c, name, f.seed+uint64(i*f.schedules), n)
		if err != nil {
			return unplayed{err}
		}
		broken += bad
		besteffort.Output(
			fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\n", name, n, bad, part(took, 0.5), part(took, 0.99), part(took, 1)),
		)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	besteffort.Output(
		fmt.Fprintf(
			c.OutOrStdout(),
			"%d schedules of %d nodes in %v: %d broken\n",
			f.schedules,
			f.nodes,
			time.Since(began).Round(time.Second/10),
			broken,
		),
	)
	if broken > 0 {
		return errRuleBroken
	}
	return nil
}

// series plays the schedules of one sort. The first that break are explained.
func (f *simFlags) series(
	c *cobra.Command,
	name string,
	seed uint64,
	n int,
) (took []time.Duration, broken int, err error) {
	var mu sync.Mutex // of what is counted and the output
	opts := membership.Options{Nodes: f.nodes, Took: func(d time.Duration) {
		mu.Lock()
		took = append(took, d)
		mu.Unlock()
	}}
	again := plays[name](membership.Options{Nodes: f.nodes})
	err = plays[name](opts).Series(c.Context(), seed, n, f.together, func(p sim.Played) {
		if p.Broken == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if broken++; broken > mostExplained {
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: seed %d: %v\n", name, p.Seed, p.Broken))
			return
		}
		besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name, again.Explain(p.Seed, p.Faults, p.Broken)))
	})
	slices.Sort(took)
	return took, broken, err
}

// part returns the time that so large a part of sorted ones does not go beyond.
func part(sorted []time.Duration, of float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(of*float64(len(sorted)-1))]
}

func growthCommand() *cobra.Command {
	g := membership.Growth{Seed: 1, Cut: 30 * time.Second}
	var sizes, rivals []int
	c := &cobra.Command{
		Use:   "growth",
		Short: "measure what the view costs and how fast it is, by the size of the fleet, beside everybody asking everybody",
		Long: `The times are of the fleet's clock, until every running node knows: all joined by one address, one more node, one death, halves that
were cut off. False deaths are of running nodes in anybody's view, a node and hour. 1,000 nodes take 2 minutes of one processor and 0.8 GB, 3,000 nine times as much.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if g.Hours < 0 ||
				slices.ContainsFunc(slices.Concat(sizes, rivals), func(n int) bool { return n < 2 || n > 5000 }) ||
				slices.ContainsFunc(g.Losses, func(l float64) bool { return l < 0 || l >= 1 }) {
				return unplayed{errors.New("--nodes and --rival are 2 to 5000, --losses 0 to below 1, --hours 0 or more")}
			}
			return grow(c.Context(), c.OutOrStdout(), g, sizes, rivals)
		},
	}
	c.Flags().IntSliceVar(&sizes, "nodes", []int{3, 30, 300}, "sizes of the fleet")
	c.Flags().IntSliceVar(&rivals, "rival", []int{3, 30, 100}, "sizes of the rival's fleet")
	c.Flags().
		Float64SliceVar(&g.Losses, "losses", []float64{0, 0.1, 0.2, 0.3}, "at which false deaths are counted")
	c.Flags().Float64Var(&g.Hours, "hours", 10, "node hours of counting, at each loss")
	c.Flags().Uint64Var(&g.Seed, "seed", 1, "of all draws")
	return c
}

func grow(ctx context.Context, out io.Writer, g membership.Growth, sizes, rivals []int) error {
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
	for _, l := range g.Losses {
		besteffort.Output(fmt.Fprintf(out, " %.0f%%", 100*l))
	}
	besteffort.Output(fmt.Fprintln(out))
	for _, r := range []bool{false, true} {
		g.Rival = r
		name := "ours"
		if r {
			sizes, name = rivals, "rival"
		}
		for _, g.Nodes = range sizes {
			o, err := g.Measure(ctx)
			if err != nil {
				return unplayed{err}
			}
			besteffort.Output(
				fmt.Fprintf(
					out,
					"%-6s %6d  %12.1f %12.0f  %10v %10v %10v %10v  %s\n",
					name,
					o.Nodes,
					o.Sent,
					o.Bytes,
					o.Joined,
					o.Join,
					o.Death,
					o.Heal,
					figures(o.False),
				),
			)
		}
	}
	return nil
}

func figures(all []float64) string {
	var s []string
	for _, f := range all {
		s = append(s, fmt.Sprintf("%.3g", f))
	}
	return strings.Join(s, "  ")
}

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
				drawn, err := s.Play(nil)
				besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s\n\n%s\n", s.Name, drawn))
				if err != nil {
					return fmt.Errorf("%s: %w", s.Name, err)
				}
			}
			for _, n := range names {
				if !slices.Contains(known, n) {
					return unplayed{fmt.Errorf("there is no story %q; there are %s", n, strings.Join(known, ", "))}
				}
			}
			return nil
		},
	}
}
