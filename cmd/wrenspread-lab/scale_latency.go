package main

import (
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/scale"
)

func scaleLatencyCommand(f *scaleFlags) *cobra.Command {
	var servers []int
	l := &scale.Latency{}
	c := &cobra.Command{
		Use:   "latency",
		Short: "the time that a real node adds to a request, by the servers that it knows",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			dir, done, err := f.begin(c.Context(), "latency")
			if err != nil {
				return err
			}
			defer done()
			list, listDone, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-registry")
			if err != nil {
				return err
			}
			defer listDone()
			node, nodeDone, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "wrenspread-proxy")
			if err != nil {
				return err
			}
			defer nodeDone()
			l.Lists, l.Node = scale.Lists{
				Run:     f.run,
				Dir:     dir,
				Program: []string{list},
				Parts:   f.parts,
				Rest:    f.rest,
				Say:     saying(c),
			}, []string{
				node,
			}
			return told(l.Measure(c.Context(), servers))
		},
	}
	c.Flags().IntSliceVar(&servers, "servers", []int{75, 750, 10000}, "how many are listed")
	c.Flags().Float64Var(&l.Rate, "rate", 1.3e6/4300, "requests a second at the node")
	c.Flags().DurationVar(&l.Length, "length", 30*time.Second, "of the requests that are counted")
	c.Flags().IntVar(&l.Changes, "changes", 0, "of the list a second: a server restarts")
	c.Flags().
		Float64Var(&l.PerNode, "per-node", 54000.0/4300, "servers to a node of the fleet that the node is told of")
	c.Flags().
		Float64Var(&l.Use, "use", 0.25, "of what a node's part of the servers can do, by the requests' work")
	return c
}
