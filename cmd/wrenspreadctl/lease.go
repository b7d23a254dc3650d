package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// leaseCommand returns the command whose subcommands read and change leases. In the command line, a lease is
// called a duty.
func leaseCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "duty",
		Short: "leases: who holds them, and who is next",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.addTo(c)
	c.AddCommand(f.listLeasesCommand(), f.showLeaseCommand(), f.transferLeaseCommand())
	c.AddCommand(f.blockCommand(true), f.blockCommand(false), f.runUnderLeaseCommand())
	return c
}

// listLeasesCommand returns the command that prints all leases.
func (f *registryFlags) listLeasesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "ls",
		Short:   "all leases with their holders",
		Example: "  wrenspreadctl duty ls",
		Args:    cobra.NoArgs,
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
			a, err := k.Leases(ctx)
			if err != nil {
				return err
			}
			return f.print(c.OutOrStdout(), a, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintln(t, "DUTY\tHOLDER\tFENCE\tWAITING\tBLOCKED\tNOTE"))
				for _, l := range a.Leases {
					besteffort.Output(
						fmt.Fprintf(
							t,
							"%s\t%s\t%d\t%d\t%s\t%s\n",
							l.Name,
							holderText(l),
							l.Token,
							len(l.Queue),
							cmp.Or(strings.Join(l.Blocked, ","), "-"),
							holderNote(l),
						),
					)
				}
				besteffort.Output(
					fmt.Fprintf(t, "\n%d duties, %d sessions, version %d\n", len(a.Leases), len(a.Sessions), a.Index),
				)
			})
		}),
	}
}

// holderText returns the name of the process that holds a lease.
func holderText(l registry.Lease) string {
	switch {
	case l.Holder == "":
		return "nobody"
	case l.TransferRequested:
		return l.Process + " (asked to hand on)"
	}
	return l.Process
}

// holderNote returns the information that the lease holder has published about itself.
func holderNote(l registry.Lease) string {
	if l.HolderInfo == nil {
		return "-"
	}
	return cmp.Or(strings.TrimSpace(l.HolderInfo.Note+" "+l.HolderInfo.Address+" "+l.HolderInfo.Version), "-")
}

// showLeaseCommand returns the command that prints one lease with its queue.
func (f *registryFlags) showLeaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show DUTY",
		Short:   "one lease with its queue",
		Example: "  wrenspreadctl duty show keeper",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			a, err := k.Leases(ctx)
			if err != nil {
				return err
			}
			for _, l := range a.Leases {
				if l.Name != args[0] {
					continue
				}
				return f.print(c.OutOrStdout(), l, func(t *tabwriter.Writer) {
					besteffort.Output(
						fmt.Fprintf(
							t,
							"duty\t%s\nholder\t%s\nfence\t%d\nsession\t%s\nword\t%s\nblocked\t%s\n",
							l.Name,
							holderText(l),
							l.Token,
							cmp.Or(l.Holder, "-"),
							holderNote(l),
							cmp.Or(strings.Join(l.Blocked, ", "), "nobody"),
						),
					)
					for i, q := range l.Queue {
						besteffort.Output(
							fmt.Fprintf(t, "waiting %d\t%s, priority %d, since version %d\n", i+1, q.Process, q.Priority, q.Since),
						)
					}
				})
			}
			return fmt.Errorf("there is no duty %s; \"wrenspreadctl duty ls\" lists all duties", args[0])
		}),
	}
}

// transferLeaseCommand returns the command that requests that the holder transfers a lease to another
// process.
func (f *registryFlags) transferLeaseCommand() *cobra.Command {
	var to string
	c := &cobra.Command{
		Use:     "yield DUTY",
		Short:   "ask the holder to hand on; it ends its work in order first",
		Example: "  wrenspreadctl duty yield keeper\n  wrenspreadctl duty yield keeper --to ops-2",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := k.TransferLease(ctx, args[0], to); err != nil {
				return err
			}
			besteffort.Output(
				fmt.Fprintln(c.OutOrStdout(), "the holder has been asked; \"wrenspreadctl duty show\" tells who has it"),
			)
			return nil
		}),
	}
	c.Flags().StringVar(&to, "to", "", "the process that is to have it next; it must be waiting for it")
	return c
}

// blockCommand returns the command that blocks a process from holding a lease, or the command that unblocks
// the process.
func (f *registryFlags) blockCommand(blocked bool) *cobra.Command {
	use, short, outcome := "block", "keep a process from holding a lease; a holder has to transfer it", "blocked"
	if !blocked {
		use, short, outcome = "unblock", "let a blocked process hold a lease again", "let again"
	}
	return &cobra.Command{
		Use:     use + " DUTY PROCESS",
		Short:   short,
		Example: "  wrenspreadctl duty " + use + " keeper ops-1",
		Args:    cobra.ExactArgs(2),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := k.BlockProcess(ctx, args[0], args[1], blocked); err != nil {
				return err
			}
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s is %s at %s\n", args[1], outcome, args[0]))
			return nil
		}),
	}
}

// runUnderLeaseCommand returns the command that waits until this process holds a lease, and then runs a
// program.
func (f *registryFlags) runUnderLeaseCommand() *cobra.Command {
	var process string
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "run DUTY -- COMMAND [ARG...]",
		Short: "run a command while holding a lease, on as many machines as you like",
		Long: `It waits until it holds the lease, runs the command, and releases the lease when the command
ends by itself. The command gets SIGTERM when the lease has to be transferred, and SIGKILL
if it has not ended within an eighth of the TTL. $INDIGO_DUTY and $INDIGO_FENCE have the
lease and its fencing token; whoever takes its orders should reject a lower one.`,
		Example: "  wrenspreadctl duty run nightly-report -- /usr/local/bin/report --all",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			k, err := client.New(client.Config{Addresses: strings.Split(f.addresses, ",")})
			if err != nil {
				return err
			}
			defer k.Close()
			session, err := lease.Open(
				lease.Config{Client: k, Process: process, TTL: ttl, Info: registry.ProcessInfo{Note: args[1]}},
			)
			if err != nil {
				return err
			}
			err = session.Run(c.Context(), args[0], func(ctx context.Context, token lease.Token) error {
				return runCommand(ctx, c, args[1:], token, ttl)
			})
			return errors.Join(err, session.Close(ttl))
		},
	}
	name, _ := os.Hostname() // empty if the machine has no name, for which lease.Open returns an error
	c.Flags().StringVar(&process, "process", name, "the name of this process, the same over its restarts")
	c.Flags().
		DurationVar(&ttl, "ttl", lease.DefaultTTL, "after so long without a renewal, others get the lease")
	return c
}

// runCommand runs a program until it ends or ctx ends. It passes the lease and the fencing token to the
// program in the environment.
func runCommand(
	ctx context.Context,
	c *cobra.Command,
	args []string,
	token lease.Token,
	ttl time.Duration,
) error {
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, c.OutOrStdout(), c.ErrOrStderr()
	cmd.Env = append(
		os.Environ(),
		"INDIGO_DUTY="+token.Lease,
		fmt.Sprintf("INDIGO_FENCE=%d", token.Number),
		"INDIGO_FENCE_HEADER="+fencing.Header+": "+fencing.Format(token),
	)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = ttl / 10 // less than the eighth of the TTL within which the command has to end
	return cmd.Run()
}
