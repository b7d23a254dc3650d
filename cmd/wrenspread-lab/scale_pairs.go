package main

import (
	"context"
	"errors"
	"os"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// scalePairsCommand measures by two sizes together: hollow nodes and their replica by nodes and backends or
// by nodes and tenants, or the decision module of a node by services and routes.
func scalePairsCommand(f *scaleFlags) *cobra.Command {
	var nodes, backends, tenants, services, routes []int
	pairs := &scale.Pairs{}
	c := &cobra.Command{
		Use:   "pairs backends|tenants|routes",
		Short: "hollow nodes and their replica by nodes and backends together, or by nodes and tenants; a node's decisions by services and routes",
		Args: cobra.MatchAll(
			cobra.ExactArgs(1),
			cobra.OnlyValidArgs,
		),
		ValidArgs: []string{"backends", "tenants", "routes"},
		RunE: func(c *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return unplayedError{err}
			}
			pairs.Kind, pairs.StartCommand = "hollow", []string{executable, "scale", "hollow"}
			return f.measureRegistry(c, c.Name(), func(ctx context.Context, l *scale.RegistryRun) error {
				pairs.RegistryRun = *l
				pairs.Command += " " + args[0]
				switch args[0] {
				case "backends":
					return pairs.Backends(ctx, nodes, backends)
				case "routes":
					return pairs.Routes(ctx, services, routes)
				}
				if len(tenants) == 0 {
					return errors.New("--tenants is empty")
				}
				return pairs.Tenants(ctx, nodes, tenants)
			})
		},
	}
	c.Flags().IntSliceVar(&nodes, "nodes", []int{10, 30, 100}, "how many run")
	c.Flags().IntSliceVar(&backends, "backends", []int{200, 2000, 10000}, "how many there are")
	c.Flags().IntSliceVar(&tenants, "tenants", []int{25, 100, 400},
		"of the catalogue, one after another before the same nodes: from few to many")
	c.Flags().IntSliceVar(&services, "services", []int{4, 100, 500, 2000}, "classes of the settings")
	c.Flags().IntSliceVar(&routes, "routes", []int{1, 16, 64, 128},
		"different rules of placement; a node takes 128 from tenants")
	c.Flags().BoolVar(&pairs.View, "view", true,
		"they keep the view of the fleet, where backends are the other size")
	c.Flags().IntVar(&pairs.NotifiedNodes, "told", 4300,
		"how many nodes they are told that there are, at least, where backends are the other size")
	return c
}
