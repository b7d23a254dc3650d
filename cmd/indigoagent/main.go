// Command indigoagent keeps the servers of one machine running.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"indigotack/internal/agent"
	"indigotack/internal/conf"
)

func main() { conf.Main(root()) }

func root() *cobra.Command {
	d := agent.Default()
	c := &cobra.Command{
		Use:   "indigoagent",
		Short: "keep the servers of one machine running",
		Long: `indigoagent starts the servers that its file names, starts them again when they end, keeps their entries in the list
service, and replaces them by another version when the holder of a release's duty orders it. The servers outlive it:
the next agent on the same folder takes them up. A configuration is in docs/agent.md. It runs until SIGTERM.`,
		Example: "  indigoagent --config agent.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			config := agent.Default()
			if err := conf.Load(&config, c.Flags()); err != nil {
				return err
			}
			return agent.Run(c.Context(), config, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("machine", config.Machine))
		},
	}
	c.Flags().String(conf.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("listen", d.Listen, "the address for calls")
	c.Flags().String("folder", d.Folder, "for versions, fences and the servers' output")
	return c
}
