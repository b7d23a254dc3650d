package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"indigotack/internal/conf"
	"indigotack/internal/list/client"
	"indigotack/internal/release"
)

func releaseCommand() *cobra.Command {
	var f listFlags
	c := &cobra.Command{
		Use:   "release",
		Short: "take servers from one version to another, wave by wave",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.add(c)
	c.AddCommand(f.planRelease())
	return c
}

func (f *listFlags) planRelease() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "check a plan, and show what it would do with the list as it is; nothing moves",
		Long: `A plan names the versions, selects servers by zone, type or name, and says how many may be out at once. What it does
not say is as careful as the defaults: one server first, then a tenth, a half and all; one out at a time; 30 s of soak;
a wait at a halt. An unknown key is an error.`,
		Example: `  indigoctl release plan app.toml

  name = "app-42"
  from = "v1"
  to = "v2"
  [what]
  zones = ["a", "b"]
  [limits]
  out = 3
  pod = 1`,
		Args: cobra.ExactArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			plan := release.Default()
			if err := conf.File(&plan, args[0]); err != nil {
				return err
			}
			if err := plan.Check(); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			a, err := k.Current(ctx)
			if err != nil {
				return err
			}
			s, err := release.Begin(plan, a.Endpoints)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return f.print(c.OutOrStdout(), s.Waves(), func(t *tabwriter.Writer) {
				fmt.Fprintf(t, "%s: %d servers from %s to %s, %d out at once, %v of soak after each wave, at a halt: %s\n\nWAVE\tSERVERS\tNAMES\n",
					plan.Name, len(s.Targets), plan.From, plan.To, plan.Limits.Out, plan.Soak, plan.Halt)
				for i, names := range s.Waves() {
					fmt.Fprintf(t, "%d\t%d\t%s\n", i+1, len(names), strings.Join(names, " "))
				}
			})
		}),
	}
}
