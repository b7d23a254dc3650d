// Command wrenspread-controller compares the endpoint list with the servers and the proxies, and allocates
// limits to proxies if its configuration names a fleet.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"wrenspread/internal/config"
	"wrenspread/internal/controller"
)

func main() { config.Main(root()) }

// root returns the program's command.
func root() *cobra.Command {
	defaults := controller.Default()
	c := &cobra.Command{
		Use:   "wrenspread-controller",
		Short: "compare the endpoint list, the servers and the proxies",
		Long: `wrenspread-controller compares the endpoint list with each server's address and each proxy's
control address. What does not agree for a while is reported (/report, /metrics, log); a
server that is draining, takes no connections and that nobody removes is removed from the
list. Run it on several machines: one of them holds the lease, the others wait. A
configuration is in docs/duties.md. It runs until SIGTERM.`,
		Example: "  wrenspread-controller --config keeper.toml\n" +
			"  wrenspread-controller --process ops-1 --list 127.0.0.1:8500",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			settings := controller.Default()
			if err := config.Load(&settings, c.Flags()); err != nil {
				return err
			}
			return controller.Run(
				c.Context(),
				settings,
				slog.New(slog.NewTextHandler(os.Stderr, nil)).With("process", settings.Process),
			)
		},
	}
	c.Flags().String(config.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("process", defaults.Process, "the name of this process, the same over its restarts")
	c.Flags().StringSlice("list", nil, "addresses of the registry's replicas")
	c.Flags().String("listen", defaults.Listen, "the address for /report, /healthz and /metrics")
	c.Flags().Bool("repair", defaults.Repair, "take orphans off the list; else it only reports")
	return c
}
