package main

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// measureRegistry prepares a run, finds the registry's program and calls measure. The subcommand, with the
// flags that distinguish its kinds of run, is recorded as the command of the run.
func (f *scaleFlags) measureRegistry(
	c *cobra.Command, subcommand string, measure func(context.Context, *scale.RegistryRun) error,
) error {
	dir, remove, err := f.prepare(c.Context(), subcommand)
	if err != nil {
		return err
	}
	defer remove()
	program, removeProgram, err := findProgram(c.Context(), c.ErrOrStderr(), f.binDir, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer removeProgram()
	return asUnplayed(
		measure(
			c.Context(),
			&scale.RegistryRun{
				Run:      f.run,
				Dir:      dir,
				Program:  []string{program},
				Subsets:  f.followSubsets,
				RestTime: f.restTime,
				Report:   pointPrinter(c),
			},
		),
	)
}

// scaleWatchersCommand returns a command that calls measure with numbers of watchers and a number of entries
// in the list. The parameters sizes and entries are the defaults of the flags.
func scaleWatchersCommand(
	f *scaleFlags,
	name, short string,
	sizes []int,
	entries int,
	measure func(*scale.RegistryRun, context.Context, []int, int) error,
) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.measureRegistry(
				c,
				c.Name(),
				func(ctx context.Context, l *scale.RegistryRun) error { return measure(l, ctx, sizes, entries) },
			)
		},
	}
	c.Flags().IntSliceVar(&sizes, "watchers", sizes, "how many watch")
	c.Flags().IntVar(&entries, "entries", entries, "of the list")
	return c
}

// scaleEntriesCommand measures one replica of the registry by the number of its entries.
func scaleEntriesCommand(f *scaleFlags) *cobra.Command {
	var sizes []int
	c := &cobra.Command{
		Use:   "entries",
		Short: "one replica of the registry by the entries of its list: changes, whole lists, memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.measureRegistry(c, c.Name(),
				func(ctx context.Context, l *scale.RegistryRun) error { return l.Entries(ctx, sizes) })
		},
	}
	c.Flags().IntSliceVar(&sizes, "entries", []int{200, 1000, 2000, 5000, 10000, 20000}, "of the list")
	return c
}

// scaleRenewalsCommand measures the leader of the registry by renewals per second.
func scaleRenewalsCommand(f *scaleFlags) *cobra.Command {
	var rates []int
	c := &cobra.Command{
		Use:   "renewals",
		Short: "the leader of the registry by the renewals a second that hollow agents make",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.measureRegistry(c, c.Name(),
				func(ctx context.Context, l *scale.RegistryRun) error { return l.Renewals(ctx, rates) })
		},
	}
	c.Flags().IntSliceVar(&rates, "renewals", []int{250, 500, 1000, 2000, 4000}, "a second")
	return c
}

// scaleCoreCommand returns a command whose measurement runs in this process, without other programs. The flag
// named sizesFlag sets the sizes; if sizesFlag is empty, the measurement has no sizes.
func scaleCoreCommand(
	f *scaleFlags,
	name, sizesFlag, short string,
	sizes []int,
	measure func(context.Context, scale.Run, []int, func(scale.Point)) error,
) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, remove, err := f.prepare(c.Context(), name)
			if err != nil {
				return err
			}
			defer remove()
			for _, n := range sizes {
				if n < 2 {
					return unplayedError{errors.New("--" + sizesFlag + " are 2 or more")}
				}
			}
			return asUnplayed(measure(c.Context(), f.run, sizes, pointPrinter(c)))
		},
	}
	if sizesFlag != "" {
		c.Flags().IntSliceVar(&sizes, sizesFlag, sizes, "how many there are")
	}
	return c
}

// scaleApartCommand measures how the membership view converges after a network partition between two halves
// of the fleet.
func scaleApartCommand(f *scaleFlags) *cobra.Command {
	cutLength := time.Hour
	c := scaleCoreCommand(
		f,
		"apart",
		"members",
		"the view of the fleet once its halves were apart, with changes on both sides, in the simulator",
		[]int{30, 100, 300},
		scale.Partition(&cutLength),
	)
	c.Flags().DurationVar(&cutLength, "cut", cutLength, "for which they are apart, on the simulator's clock")
	return c
}
