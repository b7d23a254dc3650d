package main

import (
	"context"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// scaleForceCommand measures the time until policies, tenants and bans are in force at the last of many
// hollow nodes.
func scaleForceCommand(f *scaleFlags) *cobra.Command {
	var nodes []int
	force := &scale.Propagation{}
	c := &cobra.Command{
		Use:   "force",
		Short: "policies, tenants and bans in force at the last of many hollow nodes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.measureRegistry(c, c.Name(), func(ctx context.Context, l *scale.RegistryRun) error {
				force.RegistryRun = *l
				if force.MeasureFleet {
					force.Command += " --fleet"
				}
				return force.Measure(ctx, nodes)
			})
		},
	}
	c.Flags().IntSliceVar(&nodes, "nodes", []int{30, 300, 1000}, "how many run")
	c.Flags().IntVar(&force.ChangesPerKind, "each", 10, "changes of each kind")
	c.Flags().BoolVar(&force.MeasureFleet, "fleet", false,
		"in place of tenants and bans: what so many nodes take in one process, and when their views are whole")
	c.Flags().Float64Var(&force.ChangeRate, "changes", 0, "of the list a second meanwhile, ten at once")
	return c
}
