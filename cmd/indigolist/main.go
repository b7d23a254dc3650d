// Command indigolist is one replica of the list service.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"indigotack/internal/conf"
	"indigotack/internal/list/server"
)

func main() { conf.Main(root()) }

func root() *cobra.Command {
	d := server.Default()
	c := &cobra.Command{
		Use:   "indigolist",
		Short: "one replica of the list service",
		Long: `indigolist keeps the list of servers and tells whoever watches it of changes. Alone it needs a folder and
nothing else; 3 or 5 replicas need a file each, as docs/list.md shows. It serves until SIGTERM.`,
		Example: `  indigolist --folder /var/lib/indigolist
  curl -s 'http://127.0.0.1:8500/registry/instances'
  indigolist --config r1.toml`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			config := server.Default()
			if err := conf.Load(&config, c.Flags()); err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("replica", config.Name)
			return server.Run(c.Context(), config, log)
		},
	}
	c.Flags().String(conf.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("folder", d.Folder, "where the log and the snapshots are; it is made if it is not there")
	c.Flags().String("listen", d.Listen, "the address for HTTP")
	return c
}
