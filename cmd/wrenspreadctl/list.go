package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// flags that all list commands take.
type registryFlags struct {
	addresses string
	json      bool
	wait      time.Duration
	cond      int64
}

func listCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "the endpoint list: read it, watch it, change it",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.add(c)
	c.AddCommand(f.get(), f.watch(), f.register(), f.drain(), f.remove(), f.members(), f.backup(), f.restore())
	return c
}

// add sets the flags of a command and of its subcommands.
func (f *registryFlags) add(c *cobra.Command) {
	c.PersistentFlags().
		StringVar(&f.addresses, "list", cmp.Or(os.Getenv("INDIGO_LIST"), "127.0.0.1:8500"),
			"addresses of the registry's replicas, separated by commas")
	c.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON in place of tables")
	c.PersistentFlags().DurationVar(&f.wait, "wait", 10*time.Second, "how long to try")
}

// with runs a command against the service, for as long as it may take.
func (f *registryFlags) with(
	do func(context.Context, *cobra.Command, *client.Client, []string) error,
) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		k, err := client.New(client.Config{Addresses: strings.Split(f.addresses, ",")})
		if err != nil {
			return err
		}
		defer k.Close()
		ctx, cancel := context.WithTimeout(c.Context(), f.wait)
		defer cancel()
		err = do(ctx, c, k, args)
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, client.ErrOutcomeUnknown) {
			return fmt.Errorf(
				"%w (asked %s for %v; is it running, and does it have a leader?)",
				err,
				f.addresses,
				f.wait,
			)
		}
		return err
	}
}

// condition is the version that the entry must have, if one was given.
func (f *registryFlags) condition() *uint64 {
	if f.cond < 0 {
		return nil
	}
	v := uint64(f.cond)
	return &v
}

func (f *registryFlags) conditional(c *cobra.Command) *cobra.Command {
	c.Flags().Int64Var(&f.cond, "if", -1, "only if the entry has this version; 0: only if it is not there")
	return c
}

func (f *registryFlags) print(w io.Writer, v any, table func(*tabwriter.Writer)) error {
	if f.json {
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	table(t)
	return t.Flush()
}

func (f *registryFlags) get() *cobra.Command {
	return &cobra.Command{
		Use:     "get [NAME]",
		Short:   "the list as it is now, or one entry of it",
		Example: "  wrenspreadctl list get\n  wrenspreadctl list get s-5be2a07c --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			a, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				var one []registry.Endpoint
				for _, e := range a.Endpoints {
					if e.Name == args[0] {
						one = append(one, e)
					}
				}
				if len(one) == 0 {
					return fmt.Errorf("there is no %s in version %d of the list", args[0], a.Index)
				}
				a.Endpoints = one
			}
			return f.print(c.OutOrStdout(), a, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintln(t, "NAME\tSTATUS\tADDRESS\tZONE\tTYPE\tGROUP\tVERSION\tSINCE"))
				for _, e := range a.Endpoints {
					besteffort.Output(
						fmt.Fprintf(
							t,
							"%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
							e.Name,
							e.Status,
							e.Address,
							cmp.Or(e.Zone, "-"),
							cmp.Or(e.Type, "-"),
							e.Cell,
							cmp.Or(e.Version, "-"),
							since(e.StartedAtMS),
						),
					)
				}
				besteffort.Output(
					fmt.Fprintf(t, "\n%d entries, version %d, epoch %s\n", len(a.Endpoints), a.Index, a.Epoch),
				)
			})
		}),
	}
}

// since is a start of a server for a reader.
func since(ms int64) string {
	if ms == 0 {
		return "long ago"
	}
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

func (f *registryFlags) watch() *cobra.Command {
	return &cobra.Command{
		Use:     "watch",
		Short:   "follow the list until interrupted, over failures of the service",
		Example: "  wrenspreadctl list watch --list 127.0.0.1:8500,127.0.0.1:8501",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
			k, err := client.New(client.Config{Addresses: strings.Split(f.addresses, ","), Log: log})
			if err != nil {
				return err
			}
			defer k.Close()
			go k.Follow(c.Context())
			before := map[string]registry.Endpoint{}
			for {
				changed := k.Changed()
				v, _ := k.List()
				if err := f.differences(c.OutOrStdout(), v, before); err != nil {
					return err
				}
				select {
				case <-changed:
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
}

// differences prints what a view has that the one before had not, and takes it over.
func (f *registryFlags) differences(w io.Writer, v client.List, before map[string]registry.Endpoint) error {
	there := map[string]bool{}
	var all []registry.Endpoint
	for _, e := range v.Endpoints {
		there[e.Name] = true
		if before[e.Name] != e {
			all = append(all, e)
		}
		before[e.Name] = e
	}
	for name, e := range before {
		if !there[name] {
			e.Status = registry.Removed
			all = append(all, e)
			delete(before, name)
		}
	}
	for _, e := range all {
		if f.json {
			if err := json.NewEncoder(w).Encode(struct {
				Version uint64 `json:"version"`
				registry.Endpoint
			}{v.Version, e}); err != nil {
				return err
			}
		} else if _, err := fmt.Fprintf(w, "%d  %-9s %s %s\n", v.Version, e.Status, e.Name, e.Address); err != nil {
			return err
		}
	}
	return nil
}

func (f *registryFlags) register() *cobra.Command {
	var e registry.Endpoint
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "register NAME ADDRESS",
		Short: "put a server into the list, or change its entry",
		Example: "  wrenspreadctl list register s-5be2a07c 10.1.0.18:5000 --zone a --type m2 --group 3\n" +
			"  wrenspreadctl list register s-new 10.1.0.19:5000 --if 0",
		Args: cobra.ExactArgs(2),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			e.Name, e.Address, e.Status = args[0], args[1], registry.Ready
			r, err := k.Register(ctx, e, ttl, f.condition())
			return f.done(c, r, err)
		}),
	}
	c.Flags().StringVar(&e.Zone, "zone", "", "its zone")
	c.Flags().StringVar(&e.Type, "type", "", "its kind of machine")
	c.Flags().IntVar(&e.Cell, "group", 0, "its pod")
	c.Flags().Float64Var(&e.Weight, "weight", 1, "its weight")
	c.Flags().Int64Var(&e.StartedAtMS, "since-ms", 0, "Unix time of its last start in milliseconds; 0: long ago")
	c.Flags().DurationVar(&ttl, "ttl", 0, "it goes unless it is renewed within this time; 0: it stays")
	return f.conditional(c)
}

func (f *registryFlags) done(c *cobra.Command, r registry.Result, err error) error {
	if err != nil {
		return err
	}
	return f.print(c.OutOrStdout(), r, func(t *tabwriter.Writer) {
		besteffort.Output(
			fmt.Fprintf(t, "done: the entry has version %d, the list %d\n", r.EntryVersion, r.Version),
		)
	})
}

func (f *registryFlags) drain() *cobra.Command {
	return f.onEntry(
		"drain",
		"let a server finish its requests in flight; proxies send it nothing new",
		(*client.Client).Drain,
	)
}

func (f *registryFlags) remove() *cobra.Command {
	return f.onEntry("remove", "take a server off the list", (*client.Client).Remove)
}

// onEntry makes a command that changes one entry.
func (f *registryFlags) onEntry(
	verb, short string,
	do func(*client.Client, context.Context, string, *uint64) (registry.Result, error),
) *cobra.Command {
	return f.conditional(&cobra.Command{
		Use:   verb + " NAME",
		Short: short,
		Example: "  wrenspreadctl list " + verb + " s-5be2a07c\n" +
			"  wrenspreadctl list " + verb + " s-5be2a07c --if 41",
		Args: cobra.ExactArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			r, err := do(k, ctx, args[0], f.condition())
			return f.done(c, r, err)
		}),
	})
}
