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

// registryFlags holds the flags of the commands that call the registry.
type registryFlags struct {
	addresses     string        // addresses of the registry's replicas, separated by commas
	json          bool          // print JSON instead of tables
	wait          time.Duration // timeout of the command
	wantedVersion int64         // the entry is changed only if it has this version; negative: always
}

// listCommand returns the command whose subcommands read and change the endpoint list.
func listCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "the endpoint list: read it, watch it, change it",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.addTo(c)
	c.AddCommand(
		f.getCommand(),
		f.watchCommand(),
		f.registerCommand(),
		f.drainCommand(),
		f.removeCommand(),
		f.membersCommand(),
		f.backupCommand(),
		f.restoreCommand(),
	)
	return c
}

// addTo adds the flags to a command and its subcommands.
func (f *registryFlags) addTo(c *cobra.Command) {
	c.PersistentFlags().
		StringVar(&f.addresses, "list", cmp.Or(os.Getenv("INDIGO_LIST"), "127.0.0.1:8500"),
			"addresses of the registry's replicas, separated by commas")
	c.PersistentFlags().BoolVar(&f.json, "json", false, "print JSON in place of tables")
	c.PersistentFlags().DurationVar(&f.wait, "wait", 10*time.Second, "how long to try")
}

// withClient returns a function that runs a command with a client of the registry, for at most the time of
// --wait.
func (f *registryFlags) withClient(
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
				"%w (tried %s for %v; is the registry running, and does it have a leader?)",
				err,
				f.addresses,
				f.wait,
			)
		}
		return err
	}
}

// versionCondition returns the version of --if, or nil if the flag is not set.
func (f *registryFlags) versionCondition() *uint64 {
	if f.wantedVersion < 0 {
		return nil
	}
	v := uint64(f.wantedVersion)
	return &v
}

// addCondition adds the flag --if to a command and returns the command.
func (f *registryFlags) addCondition(c *cobra.Command) *cobra.Command {
	c.Flags().
		Int64Var(&f.wantedVersion, "if", -1, "only if the entry has this version; 0: only if it is not there")
	return c
}

// print writes v as JSON if --json is set, and otherwise what table writes.
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

// getCommand returns the command that prints the endpoint list, or one entry.
func (f *registryFlags) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [NAME]",
		Short:   "the list as it is now, or one entry of it",
		Example: "  wrenspreadctl list get\n  wrenspreadctl list get s-5be2a07c --json",
		Args:    cobra.MaximumNArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			a, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				var matching []registry.Endpoint
				for _, e := range a.Endpoints {
					if e.Name == args[0] {
						matching = append(matching, e)
					}
				}
				if len(matching) == 0 {
					return fmt.Errorf("no entry %s in version %d of the list", args[0], a.Index)
				}
				a.Endpoints = matching
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
							formatStart(e.StartedAtMS),
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

// formatStart formats the time at which a server was started. startMS is Unix time in milliseconds; 0 means
// that the server was started long ago.
func formatStart(startMS int64) string {
	if startMS == 0 {
		return "long ago"
	}
	return time.UnixMilli(startMS).UTC().Format(time.DateTime)
}

// watchCommand returns the command that prints the entries of the list, and then each change until the
// command is interrupted.
func (f *registryFlags) watchCommand() *cobra.Command {
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
			previous := map[string]registry.Endpoint{}
			for {
				changed := k.Changed()
				list, _ := k.List()
				if err := f.printChanges(c.OutOrStdout(), list, previous); err != nil {
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

// printChanges prints the entries of list that differ from previous, and the entries of previous that list no
// longer has. It updates previous, which is keyed by name, to list.
func (f *registryFlags) printChanges(
	w io.Writer,
	list client.List,
	previous map[string]registry.Endpoint,
) error {
	present := map[string]bool{}
	var changes []registry.Endpoint
	for _, endpoint := range list.Endpoints {
		present[endpoint.Name] = true
		if previous[endpoint.Name] != endpoint {
			changes = append(changes, endpoint)
		}
		previous[endpoint.Name] = endpoint
	}
	for name, e := range previous {
		if !present[name] {
			e.Status = registry.Removed
			changes = append(changes, e)
			delete(previous, name)
		}
	}
	for _, e := range changes {
		if f.json {
			if err := json.NewEncoder(w).Encode(struct {
				Version uint64 `json:"version"`
				registry.Endpoint
			}{list.Version, e}); err != nil {
				return err
			}
		} else if _, err := fmt.Fprintf(
			w, "%d  %-9s %s %s\n", list.Version, e.Status, e.Name, e.Address,
		); err != nil {
			return err
		}
	}
	return nil
}

// registerCommand returns the command that registers an endpoint, or changes its entry.
func (f *registryFlags) registerCommand() *cobra.Command {
	var e registry.Endpoint
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "register NAME ADDRESS",
		Short: "put a server into the list, or change its entry",
		Example: "  wrenspreadctl list register s-5be2a07c 10.1.0.18:5000 --zone a --type m2 --group 3\n" +
			"  wrenspreadctl list register s-new 10.1.0.19:5000 --if 0",
		Args: cobra.ExactArgs(2),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			e.Name, e.Address, e.Status = args[0], args[1], registry.Ready
			r, err := k.Register(ctx, e, ttl, f.versionCondition())
			return f.printResult(c, r, err)
		}),
	}
	c.Flags().StringVar(&e.Zone, "zone", "", "its zone")
	c.Flags().StringVar(&e.Type, "type", "", "its kind of machine")
	c.Flags().IntVar(&e.Cell, "group", 0, "its pod")
	c.Flags().Float64Var(&e.Weight, "weight", 1, "its weight")
	c.Flags().Int64Var(&e.StartedAtMS, "since-ms", 0, "Unix time of its last start in milliseconds; 0: long ago")
	c.Flags().DurationVar(&ttl, "ttl", 0, "it goes unless it is renewed within this time; 0: it stays")
	return f.addCondition(c)
}

// printResult prints the versions of the entry and the list after a change, or returns err if it is not nil.
func (f *registryFlags) printResult(c *cobra.Command, result registry.Result, err error) error {
	if err != nil {
		return err
	}
	return f.print(c.OutOrStdout(), result, func(t *tabwriter.Writer) {
		besteffort.Output(
			fmt.Fprintf(t, "done: the entry has version %d, the list %d\n", result.EntryVersion, result.Version),
		)
	})
}

// drainCommand returns the command that sets the status of an entry to draining.
func (f *registryFlags) drainCommand() *cobra.Command {
	return f.entryCommand(
		"drain",
		"let a server finish its requests in flight; proxies send it nothing new",
		(*client.Client).Drain,
	)
}

// removeCommand returns the command that removes an entry.
func (f *registryFlags) removeCommand() *cobra.Command {
	return f.entryCommand("remove", "take a server off the list", (*client.Client).Remove)
}

// entryCommand returns a command that applies do to one entry.
func (f *registryFlags) entryCommand(
	verb, short string,
	do func(*client.Client, context.Context, string, *uint64) (registry.Result, error),
) *cobra.Command {
	return f.addCondition(&cobra.Command{
		Use:   verb + " NAME",
		Short: short,
		Example: "  wrenspreadctl list " + verb + " s-5be2a07c\n" +
			"  wrenspreadctl list " + verb + " s-5be2a07c --if 41",
		Args: cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			r, err := do(k, ctx, args[0], f.versionCondition())
			return f.printResult(c, r, err)
		}),
	})
}
