package main

import (
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"

	"indigotack/internal/lab/scale"
)

func scaleNodesCommand(f *scaleFlags) *cobra.Command {
	var kind string
	var zone bool
	var nodes, backends []int
	n := &scale.Nodes{}
	c := &cobra.Command{
		Use:   "nodes",
		Short: "whole nodes for control, hollow ones in one process or real processes, by nodes and by backends",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command := "nodes --kind " + kind
			if zone {
				command += " --zone"
			}
			dir, done, err := f.begin(c.Context(), command)
			if err != nil {
				return err
			}
			defer done()
			list, listDone, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "indigolist")
			if err != nil {
				return err
			}
			defer listDone()
			own, err := os.Executable()
			if err != nil {
				return unplayed{err}
			}
			n.Start = []string{own, "scale", "hollow"}
			if kind == "real" {
				node, nodeDone, err := findProgram(c.Context(), c.ErrOrStderr(), f.bin, "indigotack")
				if err != nil {
					return err
				}
				defer nodeDone()
				n.Start = []string{node}
			}
			n.Lists, n.Kind = scale.Lists{Run: f.run, Dir: dir, Program: []string{list}, Parts: f.parts, Rest: f.rest, Say: saying(c)}, kind
			var sizes []scale.Sizes
			for _, m := range nodes {
				for _, b := range backends {
					sizes = append(sizes, scale.Sizes{Nodes: m, Backends: b})
				}
			}
			if zone {
				return told(n.Zone(c.Context(), sizes))
			}
			return told(n.Measure(c.Context(), sizes))
		},
	}
	c.Flags().StringVar(&kind, "kind", "hollow", "hollow or real")
	c.Flags().IntSliceVar(&nodes, "nodes", []int{10}, "how many run")
	c.Flags().IntSliceVar(&backends, "backends", []int{200, 1000, 2000, 5000, 10000, 20000}, "how many there are")
	c.Flags().BoolVar(&zone, "zone", false, "a seventh of the backends is gone at once, and back at once")
	c.Flags().BoolVar(&n.View, "view", true, "they keep the view of the fleet")
	c.Flags().IntVar(&n.Told, "told", 4300, "how many nodes they are told that there are, at least")
	return c
}

// scaleHollowCommand is a process of hollow nodes; the measurement starts it.
func scaleHollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow FOLDER NODES",
		Short:  "a process of hollow nodes, as the measurement starts it",
		Args:   cobra.ExactArgs(2),
		Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[1])
			if err != nil {
				return unplayed{err}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM)
			defer stop()
			return scale.Hollow(ctx, args[0], n)
		},
	}
}
