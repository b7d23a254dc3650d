package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/measure"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// flags that playing takes.
type flags struct {
	seed   uint64
	out    string
	bin    string
	repeat int
}

func (f *flags) add(c *cobra.Command) {
	c.Flags().Uint64Var(&f.seed, "seed", 1, "the seed of world, load, emulated work and drawn faults")
	c.Flags().StringVar(&f.out, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().
		StringVar(&f.bin, "bin", "", "the folder with the wrenspread-proxy to play with (default: beside wrenspread-lab, or built from the project)")
	c.Flags().IntVar(&f.repeat, "repeat", 1, "play so many seeds, from --seed on")
}

func (f *flags) play(c *cobra.Command, experiments ...*spec.Experiment) error {
	p, done, err := newPlayer(c.Context(), c.OutOrStdout(), c.ErrOrStderr(), f.bin, f.out, experiments)
	if err != nil {
		return err
	}
	defer done()
	return p.all(c.Context(), experiments, seedsFrom(f.seed, f.repeat))
}

func runCommand() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:     "run FILE",
		Short:   "play an experiment",
		Example: "  wrenspread-lab run lab/node-kill.toml\n  wrenspread-lab run lab/zone-cut.toml --seed 7 --repeat 3 --out /tmp/runs",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := spec.LoadFile(args[0])
			if err != nil {
				return unplayed{err}
			}
			return f.play(c, e)
		},
	}
	f.add(c)
	return c
}

func demoCommand() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:     "demo",
		Short:   "3 nodes, 10 boxes, load, and a node that is killed: 15 seconds, then a report",
		Example: "  go run ./cmd/wrenspread-lab demo",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := spec.Parse("demo.toml", demoText)
			if err != nil {
				return unplayed{err}
			}
			besteffort.Output(
				fmt.Fprintln(c.ErrOrStderr(), "3 nodes, 10 boxes; n1 is killed at 5 s and started again at 8 s"),
			)
			return f.play(c, e)
		},
	}
	f.add(c)
	return c
}

// demoText is the demo's experiment.
const demoText = `
about = "a node is killed and comes back"
length = "15s"
[load]
use = 0.5
[[fault]]
at = "5s"
for = "3s"
do = "kill"
on = ["n1"]
`

func listCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use:     "list",
		Short:   "list the experiments, and what a fault may do",
		Example: "  wrenspread-lab list\n  wrenspread-lab list --dir lab",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := experimentsIn(dir)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, e := range all {
				besteffort.Output(
					fmt.Fprintf(
						t,
						"%s\t%v\t%d nodes, %d boxes\t%s\n",
						e.Name,
						time.Duration(e.Length),
						e.Fleet.Nodes,
						e.Fleet.Boxes,
						e.About,
					),
				)
			}
			besteffort.Encode(t.Flush())
			besteffort.Output(fmt.Fprintln(c.OutOrStdout(), "\nfaults:"))
			for _, a := range spec.Acts() {
				besteffort.Output(fmt.Fprintln(c.OutOrStdout(), "  "+a))
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", defaultDir(), "the folder with the experiments")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "read experiments and say what is wrong with them, without playing",
		Example: "  wrenspread-lab check lab/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			bad := 0
			for _, path := range args {
				if _, err := spec.LoadFile(path); err != nil {
					bad++
					besteffort.Output(fmt.Fprintln(c.OutOrStdout(), err))
					continue
				}
				besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: can be played\n", path))
			}
			if bad > 0 {
				return unplayed{fmt.Errorf("%d of %d files can't be played", bad, len(args))}
			}
			return nil
		},
	}
}

func scheduleCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use:     "schedule FILE",
		Short:   "print the faults that a seed draws, without playing",
		Example: "  wrenspread-lab schedule lab/calm.toml --seed 7",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := spec.LoadFile(args[0])
			if err != nil {
				return unplayed{err}
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, s := range e.Schedule(seed) {
				besteffort.Output(
					fmt.Fprintf(t, "%v\t%v\t%s\t%v\t%v\n", time.Duration(s.At), time.Duration(s.For), s.Name, s.On, s.To),
				)
			}
			return t.Flush()
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	return c
}

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "compare A B",
		Short:   "set the figures of two runs side by side",
		Example: "  wrenspread-lab compare logs/lab/calm-1-20261201T101500.000 logs/lab/calm-1-20261201T103000.000",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var runs []report.Run
			for _, dir := range args {
				r, err := report.Read(filepath.Clean(dir))
				if err != nil {
					return unplayed{err}
				}
				runs = append(runs, r)
			}
			return report.Compare(c.OutOrStdout(), runs[0], runs[1])
		},
	}
}

func allCommand() *cobra.Command {
	var f flags
	var dir string
	var quick bool
	c := &cobra.Command{
		Use:     "all",
		Short:   "play all experiments of a folder",
		Example: "  wrenspread-lab all --quick\n  wrenspread-lab all --repeat 3",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := experimentsIn(dir)
			if err != nil {
				return err
			}
			if quick {
				all = slices.DeleteFunc(all, func(e *spec.Experiment) bool { return !e.Quick })
			}
			return f.play(c, all...)
		},
	}
	f.add(c)
	c.Flags().StringVar(&dir, "dir", defaultDir(), "the folder with the experiments")
	c.Flags().BoolVar(&quick, "quick", false, "only those whose file says quick = true")
	return c
}

func costCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "cost",
		Short:   "measure what the lab itself adds and takes on this machine, half a minute",
		Example: "  wrenspread-lab cost",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := measure.WriteCost(c.Context(), c.OutOrStdout()); err != nil {
				return unplayed{err}
			}
			return nil
		},
	}
}

func boxesCommand() *cobra.Command {
	n := 300
	c := &cobra.Command{
		Use:     "boxes",
		Short:   "measure the emulated boxes against the figures they are drawn from",
		Example: "  wrenspread-lab boxes --draw 1000",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return measure.WriteBoxes(c.OutOrStdout(), measure.Boxes(n))
		},
	}
	c.Flags().IntVar(&n, "draw", n, "how many boxes to draw")
	return c
}
