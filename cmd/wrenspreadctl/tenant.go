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

func tenantCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "tenant",
		Short: "tenants: onboard, change, remove on every proxy, or on none",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.add(c)
	f.wait = time.Minute
	c.PersistentFlags().Lookup("wait").DefValue = f.wait.String()
	c.AddCommand(
		f.orderTenant(tenant.OrderAdd, "NAME FILE", "bring a tenant in; FILE is its form in JSON", formExample),
		f.orderTenant(tenant.OrderChange, "NAME FILE", "give a tenant another spec, on all proxies or on none", ""),
		f.orderTenant(tenant.OrderSuspend, "NAME", "have all proxies reject a tenant's requests", ""),
		f.orderTenant(tenant.OrderResume, "NAME", "serve a suspended tenant again", ""),
		f.orderTenant(tenant.OrderRemove, "NAME", "refuse a tenant, let what is open end, and free its quotas", ""),
		f.orderTenant(
			tenant.OrderForgetMember,
			"NODE",
			"vouch that a proxy that is gone serves nothing any more, so that nobody waits for it",
			"",
		),
		f.tenantStatus(),
		f.conductTenants(),
	)
	return c
}

const formExample = `
  {"names": ["kalahari"], "classes": ["ledger-view"], "drain_ms": 5000,
   "quotas": [{"limit": "book/kalahari"}], "routes": [{"zones": ["a", "b"], "kinds": ["m"], "least": 2}]}`

// orderTenant leaves an order for the controller, and waits until it is done.
func (f *registryFlags) orderTenant(do, args, short, more string) *cobra.Command {
	return &cobra.Command{
		Use:     do + " " + args,
		Short:   short,
		Example: "  wrenspreadctl tenant " + do + " " + strings.ToLower(args) + "\n" + more,
		Args:    cobra.ExactArgs(len(strings.Fields(args))),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if err := tenant.CheckName(args[0]); err != nil {
				return err
			}
			who := cmp.Or(os.Getenv("USER"), "an operator")
			o := tenant.Order{ID: fmt.Sprintf("%s-%d", who, time.Now().UnixNano()), Op: do, Operator: who}
			if len(args) > 1 {
				raw, err := os.ReadFile(args[1])
				if err != nil {
					return err
				}
				if err := json.Unmarshal(raw, &o.Spec); err != nil {
					return fmt.Errorf("%s: %w", args[1], err)
				}
				if err := o.Spec.Check(); err != nil {
					return fmt.Errorf("%s: %w", args[1], err)
				}
			}
			return f.await(ctx, c, k, args[0], o)
		}),
	}
}

const lookEvery = 200 * time.Millisecond

// await places an order once no other waits, and follows it to its end.
func (f *registryFlags) await(
	ctx context.Context,
	c *cobra.Command,
	k *client.Client,
	name string,
	o tenant.Order,
) error {
	for {
		placed, err := tenant.SubmitOrder(ctx, k, name, o)
		if err != nil {
			return err
		}
		if placed {
			break
		}
		if !backoff.Sleep(ctx, lookEvery) {
			return fmt.Errorf(
				"%s: an order waits there already; does a conductor run (wrenspreadctl tenant conduct)?",
				name,
			)
		}
	}
	where := "it waits for a conductor (wrenspreadctl tenant conduct)"
	for {
		done, now, err := came(ctx, k, name, o)
		if err == nil && done {
			besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "%s: %s is done\n", name, o.Op))
			return nil
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
		if where = cmp.Or(now, where); !backoff.Sleep(ctx, lookEvery) {
			return fmt.Errorf("%s: %s is not done after %v and goes on: %s", name, o.Op, f.wait, where)
		}
	}
}

// came reports whether an order is done, or where it stands; one that was not followed is an error.
func came(
	ctx context.Context,
	k *client.Client,
	name string,
	o tenant.Order,
) (done bool, where string, err error) {
	if o.Op == tenant.OrderForgetMember {
		waits, err := tenant.OrderPending(ctx, k, name, o)
		return !waits, "", err
	}
	s, there, err := tenant.ReadProgress(ctx, k, name)
	if err != nil || !there {
		return false, "", err
	}
	if out, over := s.Outcome(o.ID); over && out.Reason != "" {
		return false, "", errors.New(out.Reason)
	} else if over {
		return true, "", nil
	}
	return false, standing(s), nil
}

func standing(s tenant.Progress) string {
	where := string(s.State)
	if !s.Published {
		where += ", proxies are not notified yet"
	} else if len(s.WaitingFor) > 0 {
		where += ", waits for " + strings.Join(s.WaitingFor, ", ")
	}
	return where
}

func standings(ctx context.Context, k *client.Client) ([]tenant.Progress, error) {
	s, err := tenant.ReadStored(ctx, k)
	if err != nil {
		return nil, err
	}
	sessions, err := tenant.ReadSessions(ctx, k)
	return tenant.AllProgress(s, sessions), err
}

func (f *registryFlags) tenantStatus() *cobra.Command {
	return &cobra.Command{
		Use:     "status [NAME]",
		Short:   "where tenants are, and which proxies they wait for",
		Example: "  wrenspreadctl tenant status\n  wrenspreadctl tenant status kalahari --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			all, err := standings(ctx, k)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				if all = slices.DeleteFunc(
					all,
					func(s tenant.Progress) bool { return s.Name != args[0] },
				); len(
					all,
				) == 0 {
					return fmt.Errorf("there is no tenant %s", args[0])
				}
			}
			return f.print(c.OutOrStdout(), all, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintln(t, "TENANT\tSTANDS\tCATALOGUE\tLAST ORDER"))
				for _, s := range all {
					last := "-"
					if n := len(s.Outcomes); n > 0 {
						last = cmp.Or(s.Outcomes[n-1].Reason, "done")
					}
					besteffort.Output(fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", s.Name, standing(s), s.Number, last))
				}
			})
		}),
	}
}

// conductTenants holds the lease of the tenants' controller.
func (f *registryFlags) conductTenants() *cobra.Command {
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
			p, err := lease.Open(
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
			err = p.Run(c.Context(), tenant.LeaseName, func(ctx context.Context, fenced lease.Token) error {
				conductor := tenant.Controller{
					Store:       &tenant.Records{Registry: k, Token: fenced},
					Environment: tenant.RegistryEnvironment{Registry: k},
					Interval:    lookEvery,
					Times:       tenant.DefaultTimes(),
					Log:         log,
					HashTree:    hashTree,
				}
				return conductor.Run(ctx)
			})
			if errors.Is(err, context.Canceled) {
				err = nil
			}
			return errors.Join(err, p.Close(ttl))
		},
	}
	host, _ := os.Hostname() // empty where there is none, which the lease tells
	c.Flags().StringVar(&process, "process", host, "the name of this process, the same over its restarts")
	c.Flags().
		DurationVar(&ttl, "ttl", lease.DefaultTTL, "after so long without a renewal, another takes over")
	c.Flags().
		BoolVar(&hashTree, "hash-tree", false, "write the catalogue as a hash tree, of which a proxy with "+
			"govern.tenants_on_demand reads leaves; programs before it reject it")
	return c
}
