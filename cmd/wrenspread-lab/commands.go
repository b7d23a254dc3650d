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

// playFlags are the flags of the commands that play experiments: the first seed, the folder of the results,
// the folder of the programs, and the number of consecutive seeds.
type playFlags struct {
	firstSeed uint64
	outDir    string
	binDir    string
	repeat    int
}

// register adds the flags to a command.
func (f *playFlags) register(c *cobra.Command) {
	c.Flags().Uint64Var(&f.firstSeed, "seed", 1, "the seed of world, load, emulated work and drawn faults")
	c.Flags().StringVar(&f.outDir, "out", "logs/lab", "the folder under which each run gets one of its own")
	c.Flags().StringVar(&f.binDir, "bin", "",
		"the folder with the wrenspread-proxy to play with (default: beside wrenspread-lab, or built from the project)")
	c.Flags().IntVar(&f.repeat, "repeat", 1, "play so many seeds, from --seed on")
}

// play runs each experiment with each of the seeds that the flags select.
func (f *playFlags) play(c *cobra.Command, experiments ...*spec.Experiment) error {
	p, removePrograms, err := newPlayer(c.Context(), c.OutOrStdout(), c.ErrOrStderr(), f.binDir, f.outDir,
		experiments)
	if err != nil {
		return err
	}
	defer removePrograms()
	return p.playAll(c.Context(), experiments, seedsFrom(f.firstSeed, f.repeat))
}

// runCommand plays the experiment of one file.
func runCommand() *cobra.Command {
	var f playFlags
	c := &cobra.Command{
		Use:     "run FILE",
		Short:   "play an experiment",
		Example: "  wrenspread-lab run lab/node-kill.toml\n  wrenspread-lab run lab/zone-cut.toml --seed 7 --repeat 3 --out /tmp/runs",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := spec.LoadFile(args[0])
			if err != nil {
				return unplayedError{err}
			}
			return f.play(c, e)
		},
	}
	f.register(c)
	return c
}

// demoCommand plays the experiment demoText.
func demoCommand() *cobra.Command {
	var f playFlags
	c := &cobra.Command{
		Use:     "demo",
		Short:   "3 nodes, 10 boxes, load, and a node that is killed: 15 seconds, then a report",
		Example: "  go run ./cmd/wrenspread-lab demo",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := spec.Parse("demo.toml", demoText)
			if err != nil {
				return unplayedError{err}
			}
			besteffort.Output(
				fmt.Fprintln(c.ErrOrStderr(), "3 nodes, 10 boxes; n1 is killed at 5 s and started again at 8 s"),
			)
			return f.play(c, e)
		},
	}
	f.register(c)
	return c
}

// demoText is the experiment that the demo command plays.
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

// listCommand lists the experiments of a folder and the kinds of fault that an experiment can use.
func listCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use:     "list",
		Short:   "list the experiments, and what a fault may do",
		Example: "  wrenspread-lab list\n  wrenspread-lab list --dir lab",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			experiments, err := loadExperiments(dir)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, e := range experiments {
				besteffort.Output(
					fmt.Fprintf(
						table,
						"%s\t%v\t%d nodes, %d boxes\t%s\n",
						e.Name,
						time.Duration(e.Length),
						e.Fleet.Nodes,
						e.Fleet.Backends,
						e.About,
					),
				)
			}
			besteffort.Encode(table.Flush())
			besteffort.Output(fmt.Fprintln(c.OutOrStdout(), "\nfaults:"))
			for _, a := range spec.FaultDescriptions() {
				besteffort.Output(fmt.Fprintln(c.OutOrStdout(), "  "+a))
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", defaultExperimentsDir(), "the folder with the experiments")
	return c
}

// checkCommand validates experiment files without playing them.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "read experiments and say what is wrong with them, without playing",
		Example: "  wrenspread-lab check lab/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			invalid := 0
			for _, path := range args {
				if _, err := spec.LoadFile(path); err != nil {
					invalid++
					besteffort.Output(fmt.Fprintln(c.OutOrStdout(), err))
					continue
				}
				besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: can be played\n", path))
			}
			if invalid > 0 {
				return unplayedError{fmt.Errorf("%d of %d files can't be played", invalid, len(args))}
			}
			return nil
		},
	}
}

// scheduleCommand prints the faults that an experiment draws for a seed, without playing it.
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
				return unplayedError{err}
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, fault := range e.Schedule(seed) {
				besteffort.Output(
					fmt.Fprintf(table, "%v\t%v\t%s\t%v\t%v\n",
						time.Duration(fault.At), time.Duration(fault.For), fault.Name, fault.On, fault.To),
				)
			}
			return table.Flush()
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	return c
}

// compareCommand prints the figures of two recorded runs next to each other.
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
					return unplayedError{err}
				}
				runs = append(runs, r)
			}
			return report.Compare(c.OutOrStdout(), runs[0], runs[1])
		},
	}
}

// allCommand plays every experiment of a folder, or only the quick ones.
func allCommand() *cobra.Command {
	var f playFlags
	var dir string
	var quick bool
	c := &cobra.Command{
		Use:     "all",
		Short:   "play all experiments of a folder",
		Example: "  wrenspread-lab all --quick\n  wrenspread-lab all --repeat 3",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			experiments, err := loadExperiments(dir)
			if err != nil {
				return err
			}
			if quick {
				experiments = slices.DeleteFunc(experiments, func(e *spec.Experiment) bool { return !e.Quick })
			}
			return f.play(c, experiments...)
		},
	}
	f.register(c)
	c.Flags().StringVar(&dir, "dir", defaultExperimentsDir(), "the folder with the experiments")
	c.Flags().BoolVar(&quick, "quick", false, "only those whose file says quick = true")
	return c
}

// costCommand measures the overhead of the lab itself on this machine.
func costCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "cost",
		Short:   "measure what the lab itself adds and takes on this machine, half a minute",
		Example: "  wrenspread-lab cost",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := measure.WriteCost(c.Context(), c.OutOrStdout()); err != nil {
				return unplayedError{err}
			}
			return nil
		},
	}
}

// boxesCommand compares the emulated app machines with the distributions that they are drawn from.
func boxesCommand() *cobra.Command {
	draws := 300
	c := &cobra.Command{
		Use:     "boxes",
		Short:   "measure the emulated boxes against the figures they are drawn from",
		Example: "  wrenspread-lab boxes --draw 1000",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return measure.WriteBackends(c.OutOrStdout(), measure.Backends(draws))
		},
	}
	c.Flags().IntVar(&draws, "draw", draws, "how many boxes to draw")
	return c
}
