// Command indigokeeper looks whether the list of servers, the servers and the nodes agree.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"indigotack/internal/conf"
	"indigotack/internal/keeper"
)

func main() { conf.Main(root()) }

func root() *cobra.Command {
	d := keeper.Default()
	c := &cobra.Command{
		Use:   "indigokeeper",
		Short: "look whether list, servers and nodes agree",
		Long: `indigokeeper looks at the list of servers, at each server's address and at each node's control address. What does not
agree for a while is reported (/report, /metrics, log); a server that is leaving, takes no connections and that nobody
would take off the list is taken off. Run it on several machines: one of them holds the duty, the others wait.
A configuration is in docs/duties.md. It runs until SIGTERM.`,
		Example: "  indigokeeper --config keeper.toml\n  indigokeeper --process ops-1 --list 127.0.0.1:8500",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			config := keeper.Default()
			if err := conf.Load(&config, c.Flags()); err != nil {
				return err
			}
			return keeper.Run(c.Context(), config, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("process", config.Process))
		},
	}
	c.Flags().String(conf.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("process", d.Process, "the name of this process, the same over its restarts")
	c.Flags().StringSlice("list", nil, "addresses of the list service's replicas")
	c.Flags().String("listen", d.Listen, "the address for /report, /healthz and /metrics")
	c.Flags().Bool("repair", d.Repair, "take orphans off the list; else it only reports")
	return c
}
