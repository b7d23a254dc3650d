package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// membersCommand returns the command that prints the replicas of the registry, with subcommands that add and
// remove replicas.
func (f *registryFlags) membersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "members",
		Short: "the replicas of the registry, and which of them leads",
		Example: "  wrenspreadctl list members\n" +
			"  wrenspreadctl list members add r3 --raft 10.1.0.9:8600 --http 10.1.0.9:8500\n" +
			"  wrenspreadctl list members remove r0",
		Args: cobra.NoArgs,
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
			replicas, err := k.Replicas(ctx)
			if err != nil {
				return err
			}
			return f.printReplicas(c, replicas)
		}),
	}
	c.AddCommand(f.addReplicaCommand(), f.removeReplicaCommand())
	return c
}

// printReplicas prints a line for each replica.
func (f *registryFlags) printReplicas(c *cobra.Command, replicas []registry.Replica) error {
	return f.print(c.OutOrStdout(), replicas, func(t *tabwriter.Writer) {
		besteffort.Output(fmt.Fprintln(t, "NAME\tROLE\tVOTES\tADDED AT"))
		for _, m := range replicas {
			role, address := "follows", "-"
			if m.Leader {
				role = "leads"
			}
			if m.Address != nil {
				address = m.Address.HTTP
			}
			besteffort.Output(fmt.Fprintf(t, "%s\t%s\t%v\t%s\n", m.Name, role, m.Voter, address))
		}
	})
}

// addReplicaCommand returns the command that adds a replica to the registry's cluster.
func (f *registryFlags) addReplicaCommand() *cobra.Command {
	var address registry.Address
	c := &cobra.Command{
		Use:   "add NAME",
		Short: "add a replica that was started on an empty folder",
		Long: `The replica is started first: on an empty folder, with a file that names itself and the
present replicas, and no begin. It learns the list and gets its vote once it is up to date.
Without --raft and --http it is meant to be where the present replicas' files have it, as
one whose folder was lost (remove it first).`,
		Example: "  wrenspreadctl list members add r3 --raft 10.1.0.9:8600 --http 10.1.0.9:8500",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			m, err := k.AddReplica(ctx, args[0], address)
			if err != nil {
				return err
			}
			return f.printReplicas(c, []registry.Replica{m})
		}),
	}
	c.Flags().StringVar(&address.Raft, "raft", "", "where the other replicas reach it")
	c.Flags().StringVar(&address.HTTP, "http", "", "where the other replicas pass calls on to it")
	return c
}

// removeReplicaCommand returns the command that removes a replica from the registry's cluster.
func (f *registryFlags) removeReplicaCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "remove NAME",
		Short:   "take a replica out of the cluster; end its process afterwards",
		Example: "  wrenspreadctl list members remove r0",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := k.RemoveReplica(ctx, args[0]); err != nil {
				return err
			}
			replicas, err := k.Replicas(ctx)
			if err != nil {
				return err
			}
			return f.printReplicas(c, replicas)
		}),
	}
}
