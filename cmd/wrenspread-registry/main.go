// Command wrenspread-registry runs one replica of the registry, the service that stores the endpoint list,
// sessions, leases and records.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"wrenspread/internal/config"
	"wrenspread/internal/registry/server"
)

func main() { config.Main(root()) }

// root returns the program's command.
func root() *cobra.Command {
	d := server.Default()
	c := &cobra.Command{
		Use:   "wrenspread-registry",
		Short: "one replica of the registry",
		Long: `wrenspread-registry keeps the endpoint list and notifies watchers of changes. Alone it needs
a folder and nothing else; 3 or 5 replicas need a file each, as docs/list.md shows. It
serves until SIGTERM.`,
		Example: `  wrenspread-registry --folder /var/lib/wrenspread-registry
  curl -s 'http://127.0.0.1:8500/registry/instances'
  wrenspread-registry --config r1.toml`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			settings := server.Default()
			if err := config.Load(&settings, c.Flags()); err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("replica", settings.Name)
			return server.Run(c.Context(), settings, log)
		},
	}
	c.Flags().String(config.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("folder", d.Folder, "where the log and the snapshots are; it is made if it is not there")
	c.Flags().String("listen", d.Listen, "the address for HTTP")
	return c
}
