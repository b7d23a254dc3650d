package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/scale"
)

// scaleFlags are the flags that all subcommands of scale share.
type scaleFlags struct {
	run      scale.Run
	binDir   string
	restTime time.Duration // length of measurements at rest, and of measurements of changes at nodes

	followSubsets bool // whether nodes and watchers follow only their subsets of the list
}

// scaleCommand returns the command whose subcommands measure the cost of control by size and make the tables
// of the capacity page.
func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{
		Use:   "scale",
		Short: "measure what control costs by size, and make the tables of docs/CAPACITY.md",
		Long: `Each command below measures one role at several sizes and keeps its figures under docs/capacity, which
"wrenspread-lab scale page" turns into the tables of docs/CAPACITY.md, with the plan in docs/capacity/plan.toml.
Processor time is that of the processes; times in force are by the wall clock, with the machine's load beside them.`,
		Example: "  wrenspread-lab scale module\n  wrenspread-lab scale list --label after\n  wrenspread-lab scale page",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVar(&f.run.Dir, "records", "docs/capacity", "the folder of the records")
	c.PersistentFlags().StringVar(&f.run.Label, "label", scale.Before,
		"before or after: of the mechanism that the page compares")
	c.PersistentFlags().StringVar(&f.run.Commit, "commit", "",
		"of the programs (default: the project's present one)")
	c.PersistentFlags().StringVar(&f.run.Trial, "trial", "",
		"how the programs differ from the commit, where they are those of a trial")
	c.PersistentFlags().IntVar(&f.run.Repeat, "repeat", 3, "how often each figure is taken")
	c.PersistentFlags().DurationVar(&f.restTime, "rest", 5*time.Second,
		"for which processes are left alone, and for which nodes get changes")
	c.PersistentFlags().BoolVar(&f.followSubsets, "parts", false,
		"nodes and watchers follow their parts of the list alone")
	c.PersistentFlags().StringVar(&f.binDir, "bin", "",
		"the folder with the programs (default: beside wrenspread-lab, or built from the project)")
	c.AddCommand(
		scalePageCommand(&f),
		scaleModuleCommand(&f),
		scaleEntriesCommand(&f),
		scaleRenewalsCommand(&f),
		scaleNodesCommand(&f),
		scaleHollowCommand(),
		scaleLatencyCommand(&f),
		scaleForceCommand(&f),
		scalePairsCommand(&f),
		scaleWatchersCommand(
			&f,
			"watchers",
			"one replica of the registry by how many hollow nodes' clients watch it",
			[]int{30, 100, 300, 1000, 4300},
			200,
			(*scale.RegistryRun).Watchers,
		),
		scaleWatchersCommand(
			&f,
			"cold",
			"watchers without a list that come to one replica all at once",
			[]int{30, 100, 300, 1000, 4300},
			2000,
			(*scale.RegistryRun).ColdStart,
		),
		scaleWatchersCommand(
			&f,
			"lost",
			"the leader of three replicas killed under watchers, and a change",
			[]int{30, 100, 300, 1000, 4300},
			200,
			(*scale.RegistryRun).LeaderLoss,
		),
		scaleCoreCommand(
			&f,
			"view",
			"members",
			"the view of the fleet by its members, in the simulator",
			[]int{10, 30, 100, 300, 1000},
			scale.MembershipView,
		),
		scaleApartCommand(&f),
		scaleHarmCommand(&f),
		scaleBesideCommand(),
		scaleCoreCommand(
			&f,
			"holders",
			"nodes",
			"the holder of shares killed with another in wait, in the pure cores, by nodes",
			[]int{30, 100, 300, 1000, 4000},
			scale.AllocatorFailover,
		),
		scaleCoreCommand(
			&f,
			"tenants",
			"tenants",
			"a node's desk by the tenants of its catalogue",
			[]int{50, 200, 800, 3200, 12800, 50000},
			scale.Tenants,
		),
		scaleCoreCommand(
			&f,
			"tenants-demand",
			"tenants",
			"a node that reads the tenants that its requests name, and their conductor, by the tenants that there are",
			[]int{200, 2000, 20000, 50000, 200000},
			scale.TenantsOnDemand,
		),
		scaleCoreCommand(
			&f,
			"policy",
			"books",
			"a policy's text, its making and its table by the books that it names",
			[]int{50, 200, 800, 1600, 3200},
			scale.Policy,
		),
		scaleCoreCommand(
			&f,
			"constants",
			"",
			"what the programs refuse beyond",
			nil,
			func(ctx context.Context, run scale.Run, _ []int, report func(scale.Point)) error {
				return scale.Constants(ctx, run, report)
			},
		),
	)
	return c
}

// prepare checks the flags, completes the run's command and commit, and creates a temporary folder for the
// run. remove deletes the folder.
func (f *scaleFlags) prepare(ctx context.Context, subcommand string) (dir string, remove func(), err error) {
	if f.run.Label != scale.Before && f.run.Label != scale.After || f.run.Repeat < 1 ||
		f.restTime < time.Second {
		return "", nil, unplayedError{errors.New(
			"--label is before or after, --repeat 1 or more, --rest 1s or more")}
	}
	f.run.Command = "wrenspread-lab scale " + subcommand
	if f.followSubsets {
		f.run.Command += " --parts"
	}
	if f.run.Commit == "" {
		raw, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
		if err != nil {
			return "", nil, unplayedError{fmt.Errorf("--commit is missing, and there is no repository here: %w", err)}
		}
		f.run.Commit = strings.TrimSpace(string(raw))
	}
	if dir, err = os.MkdirTemp("", "scale"); err != nil {
		return "", nil, unplayedError{err}
	}
	return dir, func() { besteffort.Cleanup(os.RemoveAll(dir)) }, nil
}

// scaleModuleCommand measures the decision module of a node alone, by the numbers of backends, nodes and
// rules of placement.
func scaleModuleCommand(f *scaleFlags) *cobra.Command {
	var backends, nodes, placements []int
	c := &cobra.Command{
		Use:   "module",
		Short: "a node's decisions alone: at rest, for a change, memory, by backends and by nodes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			dir, remove, err := f.prepare(c.Context(), "module")
			if err != nil {
				return err
			}
			defer remove()
			var sizes []scale.Sizes
			for _, n := range nodes {
				for _, b := range backends {
					sizes = append(sizes, scale.Sizes{Backends: b, Nodes: n, Placements: 1})
				}
			}
			for _, p := range placements {
				sizes = append(sizes, scale.Sizes{Backends: 2000, Nodes: 300, Placements: p})
			}
			return asUnplayed(scale.Module(c.Context(), f.run, dir, sizes, pointPrinter(c)))
		},
	}
	c.Flags().IntSliceVar(&backends, "backends", []int{200, 2000, 5000, 20000, 54000}, "how many there are")
	c.Flags().IntSliceVar(&nodes, "nodes", []int{30, 100, 300, 1000, 4300}, "how many there are")
	c.Flags().IntSliceVar(&placements, "placements", []int{4, 16, 64, 256},
		"rules of placement, at 2,000 backends and 300 nodes")
	return c
}

// pointPrinter returns a function that prints each measured point.
func pointPrinter(c *cobra.Command) func(scale.Point) {
	return func(p scale.Point) { besteffort.Output(fmt.Fprintln(c.OutOrStdout(), p)) }
}

// asUnplayed marks an error as that of a run that could not be played; nil stays nil.
func asUnplayed(err error) error {
	if err != nil {
		return unplayedError{err}
	}
	return nil
}

// scalePageCommand returns the command that rewrites the tables of the capacity page from the records and
// plan.toml in the folder f.run.Dir. With --check it writes nothing, and returns errRuleBroken if the page
// differs from the tables.
func scalePageCommand(f *scaleFlags) *cobra.Command {
	var page string
	var check bool
	c := &cobra.Command{
		Use:   "page",
		Short: "make the tables of the capacity page from the records and the plan, or check them",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			raw, err := os.ReadFile(page)
			if err != nil {
				return unplayedError{err}
			}
			text, err := scale.Page(string(raw), f.run.Dir)
			switch {
			case err != nil:
				return unplayedError{err}
			case text == string(raw):
				return nil
			case check:
				besteffort.Output(
					fmt.Fprintf(
						c.OutOrStdout(),
						"%s differs from its records: make it with wrenspread-lab scale page\n",
						page,
					),
				)
				return errRuleBroken
			}
			return asUnplayed(os.WriteFile(page, []byte(text), 0o644))
		},
	}
	c.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	c.Flags().BoolVar(&check, "check", false, "change nothing: status 1 if the page differs from its records")
	return c
}
