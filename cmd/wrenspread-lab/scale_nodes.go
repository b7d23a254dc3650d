package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// scaleNodesCommand measures complete nodes, hollow or real, by the numbers of nodes and backends: during
// changes of single backends, or during one of the faults zone, rack and roll.
func scaleNodesCommand(f *scaleFlags) *cobra.Command {
	var kind string
	var zone, rack, roll bool
	var nodes, backends, restarts []int
	var rollLength time.Duration
	measurement := &scale.Nodes{}
	c := &cobra.Command{
		Use:   "nodes",
		Short: "whole nodes for control, hollow ones in one process or real processes, by nodes and by backends",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command := "nodes --kind " + kind
			for flag, set := range map[string]bool{" --zone": zone, " --rack": rack, " --roll": roll} {
				if set {
					command += flag
				}
			}
			if (rack || roll) && kind != "hollow" {
				return unplayedError{errors.New("--rack and --roll need --kind hollow")}
			}
			return f.measureRegistry(c, command, func(ctx context.Context, l *scale.RegistryRun) error {
				executable, err := os.Executable()
				if err != nil {
					return err
				}
				measurement.StartCommand = []string{executable, "scale", "hollow"}
				if kind == "real" {
					proxyPath, removeProxy, err := findProgram(ctx, c.ErrOrStderr(), f.binDir, "wrenspread-proxy")
					if err != nil {
						return err
					}
					defer removeProxy()
					measurement.StartCommand = []string{proxyPath}
				}
				measurement.RegistryRun, measurement.Kind = *l, kind
				var sizes []scale.Sizes
				for _, n := range nodes {
					for _, b := range backends {
						sizes = append(sizes, scale.Sizes{Nodes: n, Backends: b})
					}
				}
				plan, err := scale.LoadPlan(filepath.Join(f.run.Dir, "plan.toml"))
				switch {
				case zone:
					err = measurement.ZoneLoss(ctx, sizes)
				case rack && err == nil:
					err = measurement.RackLoss(ctx, plan, sizes)
				case roll && err == nil:
					err = measurement.RollingReplacement(ctx, plan, sizes, restarts, rollLength)
				case !rack && !roll:
					err = measurement.Measure(ctx, sizes)
				}
				return err
			})
		},
	}
	c.Flags().StringVar(&kind, "kind", "hollow", "hollow or real")
	c.Flags().IntSliceVar(&nodes, "nodes", []int{10}, "how many run")
	c.Flags().IntSliceVar(&backends, "backends", []int{200, 1000, 2000, 5000, 10000, 20000},
		"how many there are")
	c.Flags().BoolVar(&zone, "zone", false, "a seventh of the backends is gone at once, and back at once")
	c.Flags().BoolVar(&rack, "rack", false, "the plan's rack is gone at once: nodes are killed, backends expire")
	c.Flags().BoolVar(&roll, "roll", false, "nodes and backends are replaced by the second")
	c.MarkFlagsMutuallyExclusive("zone", "rack", "roll")
	c.Flags().IntSliceVar(&restarts, "restarts", []int{625, 12500, 58300},
		"an hour, of nodes and backends in the plan's proportion, with --roll")
	c.Flags().DurationVar(&rollLength, "last", time.Minute, "of a roll")
	c.Flags().BoolVar(&measurement.View, "view", true, "they keep the view of the fleet")
	c.Flags().IntVar(&measurement.Watchers, "watchers", 0, "further hollow clients at the replica")
	c.Flags().IntVar(&measurement.NotifiedNodes, "told", 4300, "how many nodes they are told that there are, at least")
	return c
}

// scaleHollowCommand runs a process of hollow nodes; the measurement starts it.
func scaleHollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow FOLDER NODES",
		Short:  "a process of hollow nodes, as the measurement starts it",
		Args:   cobra.ExactArgs(2),
		Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[1])
			if err != nil {
				return unplayedError{err}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM)
			defer stop()
			return scale.RunHollow(ctx, args[0], n)
		},
	}
}

// scaleBesideCommand runs a process of hollow nodes that the measurement kills, or that restart in turn; the
// measurement starts it.
func scaleBesideCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "beside FOLDER FIRST NODES EVERY",
		Short:  "a process of hollow nodes that restart in turn, as the measurement starts it",
		Args:   cobra.ExactArgs(4),
		Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			first, err1 := strconv.Atoi(args[1])
			nodes, err2 := strconv.Atoi(args[2])
			every, err3 := time.ParseDuration(args[3])
			if err := errors.Join(err1, err2, err3); err != nil {
				return unplayedError{err}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM)
			defer stop()
			return scale.RunRestartingHollow(ctx, args[0], first, nodes, every)
		},
	}
}
