package main

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// lists runs a measurement of the registry.
func (f *scaleFlags) lists(c *cobra.Command, do func(context.Context, *scale.Lists) error) error {
	dir, done, err := f.begin(c.Context(), c.Name())
	if err != nil {
		return err
	}
	defer done()
	program, built, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-registry")
	if err != nil {
		return err
	}
	defer built()
	return told(
		do(
			c.Context(),
			&scale.Lists{
				Run:     f.run,
				Dir:     dir,
				Program: []string{program},
				Parts:   f.parts,
				Rest:    f.rest,
				Say:     saying(c),
			},
		),
	)
}

// scaleWatchersCommand measures one replica, or three, by watchers.
func scaleWatchersCommand(
	f *scaleFlags,
	name, short string,
	sizes []int,
	entries int,
	measure func(*scale.Lists, context.Context, []int, int) error,
) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.lists(
				c,
				func(ctx context.Context, l *scale.Lists) error { return measure(l, ctx, sizes, entries) },
			)
		},
	}
	c.Flags().IntSliceVar(&sizes, "watchers", sizes, "how many watch")
	c.Flags().IntVar(&entries, "entries", entries, "of the list")
	return c
}

func scaleEntriesCommand(f *scaleFlags) *cobra.Command {
	var sizes []int
	c := &cobra.Command{
		Use:   "entries",
		Short: "one replica of the registry by the entries of its list: changes, whole lists, memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.lists(c, func(ctx context.Context, l *scale.Lists) error { return l.Entries(ctx, sizes) })
		},
	}
	c.Flags().IntSliceVar(&sizes, "entries", []int{200, 1000, 2000, 5000, 10000, 20000}, "of the list")
	return c
}

func scaleRenewalsCommand(f *scaleFlags) *cobra.Command {
	var rates []int
	c := &cobra.Command{
		Use:   "renewals",
		Short: "the leader of the registry by the renewals a second that hollow agents make",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.lists(c, func(ctx context.Context, l *scale.Lists) error { return l.Renewals(ctx, rates) })
		},
	}
	c.Flags().IntSliceVar(&rates, "renewals", []int{250, 500, 1000, 2000, 4000}, "a second")
	return c
}

// scaleCoreCommand measures a part of a node alone, in this process.
func scaleCoreCommand(
	f *scaleFlags,
	name, along, short string,
	sizes []int,
	measure func(context.Context, scale.Run, []int, func(scale.Point)) error,
) *cobra.Command {
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, done, err := f.begin(c.Context(), name)
			if err != nil {
				return err
			}
			defer done()
			for _, n := range sizes {
				if n < 2 {
					return unplayed{errors.New("--" + along + " are 2 or more")}
				}
			}
			return told(measure(c.Context(), f.run, sizes, saying(c)))
		},
	}
	if along != "" {
		c.Flags().IntSliceVar(&sizes, along, sizes, "how many there are")
	}
	return c
}

// scaleApartCommand measures the view after regions that were apart.
func scaleApartCommand(f *scaleFlags) *cobra.Command {
	cut := time.Hour
	c := scaleCoreCommand(
		f,
		"apart",
		"members",
		"the view of the fleet once its halves were apart, with changes on both sides, in the simulator",
		[]int{30, 100, 300},
		scale.Apart(&cut),
	)
	c.Flags().DurationVar(&cut, "cut", cut, "for which they are apart, on the simulator's clock")
	return c
}
