// Command wrenspreadctl is the operators' command line: it shows and changes the endpoint list, leases,
// releases, the policy and tenants, and shows the fleet's membership.
package main

import (
	"github.com/spf13/cobra"

	"wrenspread/internal/config"
)

func main() { config.Main(root()) }

// root returns the program's command.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "wrenspreadctl",
		Short: "operate the fleet's services",
		Long: `wrenspreadctl reads and changes the state of a fleet. Every command has its own --help with
an example. The registry is looked for at $INDIGO_LIST, or at --list: the replicas'
addresses, separated by commas.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		listCommand(),
		leaseCommand(),
		releaseCommand(),
		policyCommand(),
		fleetCommand(),
		tenantCommand(),
	)
	return c
}
