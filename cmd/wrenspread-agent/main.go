// Command wrenspread-agent keeps the servers of one machine running: it starts, checks and replaces their
// processes, and registers the servers as endpoints.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"wrenspread/internal/agent"
	"wrenspread/internal/config"
)

func main() { config.Main(root()) }

// root returns the program's command.
func root() *cobra.Command {
	defaults := agent.Default()
	c := &cobra.Command{
		Use:   "wrenspread-agent",
		Short: "keep the servers of one machine running",
		Long: `wrenspread-agent starts the servers that its file names, starts them again when they end,
keeps them registered in the registry, and replaces them by another version when the holder
of a release's lease orders it. The servers outlive it: the next agent on the same folder
adopts them. A configuration is in docs/agent.md. It runs until SIGTERM.`,
		Example: "  wrenspread-agent --config agent.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			settings := agent.Default()
			if err := config.Load(&settings, c.Flags()); err != nil {
				return err
			}
			return agent.Run(
				c.Context(),
				settings,
				slog.New(slog.NewTextHandler(os.Stderr, nil)).With("machine", settings.Machine),
			)
		},
	}
	c.Flags().String(config.FileFlag, "", "a TOML file; flags win over it")
	c.Flags().String("listen", defaults.Listen, "the address for calls")
	c.Flags().String("folder", defaults.Folder, "for versions, fences and the servers' output")
	return c
}
