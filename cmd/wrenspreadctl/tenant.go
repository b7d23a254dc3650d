package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

// tenantCommand returns the command whose subcommands submit orders for tenants, print their state and run
// the tenants' controller.
func tenantCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "tenant",
		Short: "tenants: onboard, change, remove on every proxy, or on none",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.addTo(c)
	f.wait = time.Minute
	c.PersistentFlags().Lookup("wait").DefValue = f.wait.String()
	c.AddCommand(
		f.orderTenantCommand(
			tenant.OrderAdd, "NAME FILE", "bring a tenant in; FILE is its form in JSON", specExample,
		),
		f.orderTenantCommand(
			tenant.OrderChange, "NAME FILE", "give a tenant another spec, on all proxies or on none", "",
		),
		f.orderTenantCommand(tenant.OrderSuspend, "NAME", "have all proxies reject a tenant's requests", ""),
		f.orderTenantCommand(tenant.OrderResume, "NAME", "serve a suspended tenant again", ""),
		f.orderTenantCommand(
			tenant.OrderRemove, "NAME", "refuse a tenant, let what is open end, and free its quotas", "",
		),
		f.orderTenantCommand(
			tenant.OrderForgetMember,
			"NODE",
			"vouch that a proxy that is gone serves nothing any more, so that nobody waits for it",
			"",
		),
		f.tenantStatusCommand(),
		f.runTenantsCommand(),
	)
	return c
}

// specExample is the example of a tenant's file in the help text.
const specExample = `
  {"names": ["kalahari"], "classes": ["ledger-view"], "drain_ms": 5000,
   "quotas": [{"limit": "book/kalahari"}], "routes": [{"zones": ["a", "b"], "kinds": ["m"], "least": 2}]}`

// orderTenantCommand returns the command that submits an order to the tenants' controller, and waits until
// the order has ended. args are the names of the command's arguments: a name, and a file for orders with a
// spec.
func (f *registryFlags) orderTenantCommand(op, args, short, moreExample string) *cobra.Command {
	return &cobra.Command{
		Use:     op + " " + args,
		Short:   short,
		Example: "  wrenspreadctl tenant " + op + " " + strings.ToLower(args) + "\n" + moreExample,
		Args:    cobra.ExactArgs(len(strings.Fields(args))),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := tenant.CheckName(args[0]); err != nil {
				return err
			}
			operator := cmp.Or(os.Getenv("USER"), "an operator")
			order := tenant.Order{
				ID: fmt.Sprintf("%s-%d", operator, time.Now().UnixNano()), Op: op, Operator: operator,
			}
			if len(args) > 1 {
				raw, err := os.ReadFile(args[1])
				if err != nil {
					return err
				}
				if err := json.Unmarshal(raw, &order.Spec); err != nil {
					return fmt.Errorf("%s: %w", args[1], err)
				}
				if err := order.Spec.Check(); err != nil {
					return fmt.Errorf("%s: %w", args[1], err)
				}
			}
			return f.submitAndWait(ctx, c, k, args[0], order)
		}),
	}
}

// pollInterval is the interval between two reads of an order's progress, and between two steps of the
// controller.
const pollInterval = 200 * time.Millisecond

// submitAndWait waits until no other order is pending for the tenant, submits the order o, and waits until o
// has ended.
func (f *registryFlags) submitAndWait(
	ctx context.Context,
	c *cobra.Command,
	k *client.Client,
	name string,
	o tenant.Order,
) error {
	for {
		submitted, err := tenant.SubmitOrder(ctx, k, name, o)
		if err != nil {
			return err
		}
		if submitted {
			break
		}
		if !backoff.Sleep(ctx, pollInterval) {
			return fmt.Errorf(
				"%s: another order is pending; does a controller of the tenants run (wrenspreadctl tenant conduct)?",
				name,
			)
		}
	}
	progress := "waits for a controller of the tenants (wrenspreadctl tenant conduct)"
	for {
		done, current, err := orderProgress(ctx, k, name, o)
		if err == nil && done {
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: %s is done\n", name, o.Op))
			return nil
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
		if progress = cmp.Or(current, progress); !backoff.Sleep(ctx, pollInterval) {
			return fmt.Errorf("%s: %s has not ended after %v and continues: %s", name, o.Op, f.wait, progress)
		}
	}
}

// orderProgress reports whether an order is done, and otherwise describes its progress, with "" if the
// progress is unknown. It returns an error if the order was rejected.
func orderProgress(
	ctx context.Context,
	k *client.Client,
	name string,
	o tenant.Order,
) (done bool, progress string, err error) {
	if o.Op == tenant.OrderForgetMember {
		pending, err := tenant.OrderPending(ctx, k, name, o)
		return !pending, "", err
	}
	s, found, err := tenant.ReadProgress(ctx, k, name)
	if err != nil || !found {
		return false, "", err
	}
	if outcome, ended := s.Outcome(o.ID); ended && outcome.Reason != "" {
		return false, "", errors.New(outcome.Reason)
	} else if ended {
		return true, "", nil
	}
	return false, progressText(s), nil
}

// progressText describes the state of a tenant and the proxies that the order waits for.
func progressText(s tenant.Progress) string {
	text := string(s.State)
	if !s.Published {
		text += ", proxies are not notified yet"
	} else if len(s.WaitingFor) > 0 {
		text += ", waits for " + strings.Join(s.WaitingFor, ", ")
	}
	return text
}

// readAllProgress reads the progress of all tenants.
func readAllProgress(ctx context.Context, k *client.Client) ([]tenant.Progress, error) {
	s, err := tenant.ReadStored(ctx, k)
	if err != nil {
		return nil, err
	}
	sessions, err := tenant.ReadSessions(ctx, k)
	return tenant.AllProgress(s, sessions), err
}

// tenantStatusCommand returns the command that prints the progress of all tenants, or of one.
func (f *registryFlags) tenantStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status [NAME]",
		Short:   "where tenants are, and which proxies they wait for",
		Example: "  wrenspreadctl tenant status\n  wrenspreadctl tenant status kalahari --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			tenants, err := readAllProgress(ctx, k)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				if tenants = slices.DeleteFunc(
					tenants,
					func(s tenant.Progress) bool { return s.Name != args[0] },
				); len(
					tenants,
				) == 0 {
					return fmt.Errorf("there is no tenant %s", args[0])
				}
			}
			return f.print(c.OutOrStdout(), tenants, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintln(t, "TENANT\tSTANDS\tCATALOGUE\tLAST ORDER"))
				for _, s := range tenants {
					last := "-"
					if n := len(s.Outcomes); n > 0 {
						last = cmp.Or(s.Outcomes[n-1].Reason, "done")
					}
					besteffort.Output(fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", s.Name, progressText(s), s.Number, last))
				}
			})
		}),
	}
}

// runTenantsCommand returns the command that runs the tenants' controller while this process holds the
// controller's lease.
func (f *registryFlags) runTenantsCommand() *cobra.Command {
	var ttl time.Duration
	var process string
	var hashTree bool
	c := &cobra.Command{
		Use:     "conduct",
		Short:   "carry orders out, as the lease holder; run it on several machines",
		Example: "  wrenspreadctl tenant conduct --process ops-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
			k, err := client.New(client.Config{Addresses: strings.Split(f.addresses, ",")})
			if err != nil {
				return err
			}
			defer k.Close()
			session, err := lease.Open(
				lease.Config{
					Client:  k,
					Process: process,
					TTL:     ttl,
					Info:    registry.ProcessInfo{Note: "conducts tenants"},
					Log:     log,
				},
			)
			if err != nil {
				return err
			}
			err = session.Run(c.Context(), tenant.LeaseName, func(ctx context.Context, token lease.Token) error {
				controller := tenant.Controller{
					Store:       &tenant.RecordStore{Registry: k, Token: token},
					Environment: tenant.RegistryEnvironment{Registry: k},
					Interval:    pollInterval,
					Times:       tenant.DefaultTimes(),
					Log:         log,
					HashTree:    hashTree,
				}
				return controller.Run(ctx)
			})
			if errors.Is(err, context.Canceled) {
				err = nil
			}
			return errors.Join(err, session.Close(ttl))
		},
	}
	host, _ := os.Hostname() // empty if the machine has no name, for which lease.Open returns an error
	c.Flags().StringVar(&process, "process", host, "the name of this process, the same over its restarts")
	c.Flags().
		DurationVar(&ttl, "ttl", lease.DefaultTTL, "after so long without a renewal, another takes over")
	c.Flags().
		BoolVar(&hashTree, "hash-tree", false, "write the catalogue as a hash tree, of which a proxy with "+
			"govern.tenants_on_demand reads leaves; programs before it reject it")
	return c
}
