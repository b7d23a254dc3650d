package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

// scaleLatencyCommand measures the time that a real node adds to a request, by the number of registered
// servers.
func scaleLatencyCommand(f *scaleFlags) *cobra.Command {
	var servers []int
	latency := &scale.Latency{}
	c := &cobra.Command{
		Use:   "latency",
		Short: "the time that a real node adds to a request, by the servers that it knows",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.measureRegistry(c, c.Name(), func(ctx context.Context, l *scale.RegistryRun) error {
				proxyPath, removeProxy, err := findProgram(ctx, c.ErrOrStderr(), f.binDir, "wrenspread-proxy")
				if err != nil {
					return err
				}
				defer removeProxy()
				latency.RegistryRun, latency.NodeCommand = *l, []string{proxyPath}
				return latency.Measure(ctx, servers)
			})
		},
	}
	c.Flags().IntSliceVar(&servers, "servers", []int{75, 750, 10000}, "how many are listed")
	c.Flags().Float64Var(&latency.RequestRate, "rate", 1.3e6/4300, "requests a second at the node")
	c.Flags().DurationVar(&latency.Length, "length", 30*time.Second, "of the requests that are counted")
	c.Flags().IntVar(&latency.ChangeRate, "changes", 0, "of the list a second: a server restarts")
	c.Flags().Float64Var(&latency.ServersPerNode, "per-node", 54000.0/4300,
		"servers to a node of the fleet that the node is told of")
	c.Flags().Float64Var(&latency.Utilization, "use", 0.25,
		"of what a node's part of the servers can do, by the requests' work")
	return c
}
