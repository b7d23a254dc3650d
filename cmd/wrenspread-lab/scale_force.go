package main

import (
	"context"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

func scaleForceCommand(f *scaleFlags) *cobra.Command {
	var nodes []int
	all := &scale.Force{}
	c := &cobra.Command{
		Use:   "force",
		Short: "policies, tenants and bans in force at the last of many hollow nodes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.lists(c, func(ctx context.Context, l *scale.Lists) error {
				all.Lists = *l
				if all.Fleet {
					all.Command += " --fleet"
				}
				return all.Measure(ctx, nodes)
			})
		},
	}
	c.Flags().IntSliceVar(&nodes, "nodes", []int{30, 300, 1000}, "how many run")
	c.Flags().IntVar(&all.Each, "each", 10, "changes of each kind")
	c.Flags().
		BoolVar(&all.Fleet, "fleet", false, "in place of tenants and bans: what so many nodes take in one process, and when their views are whole")
	c.Flags().Float64Var(&all.Changes, "changes", 0, "of the list a second meanwhile, ten at once")
	return c
}
