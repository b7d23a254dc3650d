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

func leaseCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "duty",
		Short: "leases: who holds them, and who is next",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.add(c)
	c.AddCommand(f.listLeases(), f.showLease(), f.transferLease())
	c.AddCommand(f.block(true), f.block(false), f.runUnderLease())
	return c
}

func (f *registryFlags) listLeases() *cobra.Command {
	return &cobra.Command{
		Use:     "ls",
		Short:   "all leases with their holders",
		Example: "  wrenspreadctl duty ls",
		Args:    cobra.NoArgs,
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
			a, err := k.Leases(ctx)
			if err != nil {
				return err
			}
			return f.print(c.OutOrStdout(), a, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintln(t, "DUTY\tHOLDER\tFENCE\tWAITING\tBLOCKED\tNOTE"))
				for _, d := range a.Leases {
					besteffort.Output(
						fmt.Fprintf(
							t,
							"%s\t%s\t%d\t%d\t%s\t%s\n",
							d.Name,
							holder(d),
							d.Token,
							len(d.Queue),
							cmp.Or(strings.Join(d.Blocked, ","), "-"),
							note(d),
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

func holder(d registry.Lease) string {
	switch {
	case d.Holder == "":
		return "nobody"
	case d.TransferRequested:
		return d.Process + " (asked to hand on)"
	}
	return d.Process
}

func note(d registry.Lease) string {
	if d.HolderInfo == nil {
		return "-"
	}
	return cmp.Or(strings.TrimSpace(d.HolderInfo.Note+" "+d.HolderInfo.Address+" "+d.HolderInfo.Version), "-")
}

func (f *registryFlags) showLease() *cobra.Command {
	return &cobra.Command{
		Use:     "show DUTY",
		Short:   "one lease with its queue",
		Example: "  wrenspreadctl duty show keeper",
		Args:    cobra.ExactArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			a, err := k.Leases(ctx)
			if err != nil {
				return err
			}
			for _, d := range a.Leases {
				if d.Name != args[0] {
					continue
				}
				return f.print(c.OutOrStdout(), d, func(t *tabwriter.Writer) {
					besteffort.Output(
						fmt.Fprintf(
							t,
							"duty\t%s\nholder\t%s\nfence\t%d\nsession\t%s\nword\t%s\nblocked\t%s\n",
							d.Name,
							holder(d),
							d.Token,
							cmp.Or(d.Holder, "-"),
							note(d),
							cmp.Or(strings.Join(d.Blocked, ", "), "nobody"),
						),
					)
					for i, q := range d.Queue {
						besteffort.Output(
							fmt.Fprintf(t, "waiting %d\t%s, priority %d, since version %d\n", i+1, q.Process, q.Priority, q.Since),
						)
					}
				})
			}
			return fmt.Errorf("there is no duty %s; \"wrenspreadctl duty ls\" shows those there are", args[0])
		}),
	}
}

func (f *registryFlags) transferLease() *cobra.Command {
	var to string
	c := &cobra.Command{
		Use:     "yield DUTY",
		Short:   "ask the holder to hand on; it ends its work in order first",
		Example: "  wrenspreadctl duty yield keeper\n  wrenspreadctl duty yield keeper --to ops-2",
		Args:    cobra.ExactArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
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

func (f *registryFlags) block(on bool) *cobra.Command {
	use, short, done := "block", "keep a process from holding a lease; a holder has to transfer it", "blocked"
	if !on {
		use, short, done = "unblock", "let a blocked process hold a lease again", "let again"
	}
	return &cobra.Command{
		Use:     use + " DUTY PROCESS",
		Short:   short,
		Example: "  wrenspreadctl duty " + use + " keeper ops-1",
		Args:    cobra.ExactArgs(2),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := k.BlockProcess(ctx, args[0], args[1], on); err != nil {
				return err
			}
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s is %s at %s\n", args[1], done, args[0]))
			return nil
		}),
	}
}

// runUnderLease runs a command of any kind while this process holds a lease.
func (f *registryFlags) runUnderLease() *cobra.Command {
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
			p, err := lease.Open(
				lease.Config{Client: k, Process: process, TTL: ttl, Info: registry.ProcessInfo{Note: args[1]}},
			)
			if err != nil {
				return err
			}
			err = p.Run(c.Context(), args[0], func(ctx context.Context, fenced lease.Token) error {
				return runCommand(ctx, c, args[1:], fenced, ttl)
			})
			return errors.Join(err, p.Close(ttl))
		},
	}
	name, _ := os.Hostname() // empty where there is none, which Open tells
	c.Flags().StringVar(&process, "process", name, "the name of this process, the same over its restarts")
	c.Flags().
		DurationVar(&ttl, "ttl", lease.DefaultTTL, "after so long without a renewal, others get the lease")
	return c
}

func runCommand(
	ctx context.Context,
	c *cobra.Command,
	args []string,
	f lease.Token,
	ttl time.Duration,
) error {
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, c.OutOrStdout(), c.ErrOrStderr()
	cmd.Env = append(
		os.Environ(),
		"INDIGO_DUTY="+f.Lease,
		fmt.Sprintf("INDIGO_FENCE=%d", f.Number),
		"INDIGO_FENCE_HEADER="+fencing.Header+": "+fencing.Format(f),
	)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = ttl / 10 // under the part of the TTL that work has to stop in
	return cmd.Run()
}
