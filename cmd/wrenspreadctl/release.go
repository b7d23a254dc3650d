package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/config"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/release"
)

// releaseCommand returns the command whose subcommands plan, run and control releases.
func releaseCommand() *cobra.Command {
	var f registryFlags
	c := &cobra.Command{
		Use:   "release",
		Short: "take servers from one version to another, wave by wave",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	f.addTo(c)
	c.AddCommand(
		f.planReleaseCommand(),
		f.startReleaseCommand(),
		f.releaseStatusCommand(),
		f.releaseHistoryCommand(),
		f.runReleaseCommand(),
	)
	for order, short := range map[string]string{
		release.OrderPause:    "begin nothing new until it is resumed; what is out comes back",
		release.OrderResume:   "go on after a pause or a halt",
		release.OrderSkip:     "pass over the rest of this wave's soak, and its gate",
		release.OrderAbort:    "end it; what is released stays so, what is out comes back",
		release.OrderRollBack: "take what is released back to the former version",
	} {
		c.AddCommand(f.orderReleaseCommand(order, short))
	}
	return c
}

// planReleaseCommand returns the command that checks a plan and prints the waves of its release without
// starting it.
func (f *registryFlags) planReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "check a plan, and show what it would do with the list as it is; nothing moves",
		Long: `A plan names the versions, selects servers by zone, type or name, and says how many may be
out at once. What it does not say is as careful as the defaults: one server first, then a
tenth, a half and all; one out at a time; 30 s of soak; a wait at a halt. An unknown key is
an error.`,
		Example: `  wrenspreadctl release plan app.toml

  name = "app-42"
  from = "v1"
  to = "v2"
  [what]
  zones = ["a", "b"]
  [limits]
  out = 3
  pod = 1`,
		Args: cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			s, err := loadPlan(ctx, k, args[0])
			if err != nil {
				return err
			}
			plan := s.Plan
			return f.print(c.OutOrStdout(), s.Waves(), func(t *tabwriter.Writer) {
				besteffort.Output(
					fmt.Fprintf(
						t,
						"%s: %d servers from %s to %s, %d out at once, %v of soak after each wave, at a halt: %s\n\n"+
							"WAVE\tSERVERS\tNAMES\n",
						plan.Name,
						len(s.Targets),
						plan.From,
						plan.To,
						plan.Limits.Total,
						plan.Soak,
						plan.Halt,
					),
				)
				for i, names := range s.Waves() {
					besteffort.Output(fmt.Fprintf(t, "%d\t%d\t%s\n", i+1, len(names), strings.Join(names, " ")))
				}
			})
		}),
	}
}

// loadPlan reads and checks a plan, and returns the state of its release before the start, with the servers
// or proxies that are registered at present.
func loadPlan(ctx context.Context, k *client.Client, path string) (*release.State, error) {
	plan := release.DefaultPlan()
	if err := config.File(&plan, path); err != nil {
		return nil, err
	}
	if err := plan.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	targets, err := targetsOf(ctx, k, plan)
	if err != nil {
		return nil, err
	}
	s, err := release.NewForPlan(plan, targets)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// targetsOf returns all proxies if the plan is for proxies, and all servers otherwise.
func targetsOf(ctx context.Context, k *client.Client, plan release.Plan) ([]release.Target, error) {
	if plan.IsForProxies() {
		return release.ProxyTargets(ctx, k, &http.Client{Timeout: callTimeout})
	}
	a, err := k.CurrentList(ctx)
	return release.TargetsOf(a.Endpoints), err
}

// startReleaseCommand returns the command that writes a release to the registry, from which a controller
// reads it.
func (f *registryFlags) startReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "start FILE",
		Short:   "put a release on record; whoever conducts it begins",
		Example: "  wrenspreadctl release start app.toml",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			s, err := loadPlan(ctx, k, args[0])
			if err != nil {
				return err
			}
			if err := release.Start(ctx, k, s); err != nil {
				return err
			}
			besteffort.Output(
				fmt.Fprintf(
					c.OutOrStdout(),
					"%s is on record with %d servers; \"wrenspreadctl release conduct %s\" carries it out\n",
					s.Plan.Name,
					len(s.Targets),
					s.Plan.Name,
				),
			)
			return nil
		}),
	}
}

// releaseStatusCommand returns the command that prints the progress of one release or of all. With --watch it
// prints the progress of one release again each second.
func (f *registryFlags) releaseStatusCommand() *cobra.Command {
	var watch bool
	c := &cobra.Command{
		Use:     "status [NAME]",
		Short:   "how far releases are",
		Example: "  wrenspreadctl release status\n  wrenspreadctl release status app-42 --watch",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			show := f.withClient(f.printReleases)
			for {
				if err := show(c, args); err != nil || !watch || len(args) == 0 {
					return err
				}
				if !backoff.Sleep(c.Context(), time.Second) {
					return nil
				}
			}
		},
	}
	c.Flags().BoolVar(&watch, "watch", false, "again each second, until interrupted")
	return c
}

// printReleases prints the release that args[0] names with its targets, or without args a line for each
// release.
func (f *registryFlags) printReleases(
	ctx context.Context,
	c *cobra.Command,
	k *client.Client,
	args []string,
) error {
	if len(args) == 1 {
		s, err := release.Read(ctx, k, args[0])
		if err != nil {
			return err
		}
		return f.print(c.OutOrStdout(), s, func(t *tabwriter.Writer) { printRelease(t, s) })
	}
	records, err := k.Records(ctx, release.RecordPrefix)
	if err != nil {
		return err
	}
	var states []*release.State
	for _, r := range records {
		s, err := release.Read(ctx, k, strings.TrimPrefix(r.Key, release.RecordPrefix))
		if err != nil {
			return err
		}
		states = append(states, s)
	}
	return f.print(c.OutOrStdout(), states, func(t *tabwriter.Writer) {
		besteffort.Output(fmt.Fprintln(t, "RELEASE\tPHASE\tWAVE\tRELEASED\tOUT\tWHY"))
		for _, s := range states {
			released, out := s.Count()
			besteffort.Output(
				fmt.Fprintf(
					t,
					"%s\t%s\t%d of %d\t%d of %d\t%d\t%s\n",
					s.Plan.Name,
					s.Phase,
					s.Wave+1,
					len(s.Plan.Waves),
					released,
					len(s.Targets),
					out,
					cmp.Or(s.HaltReason, "-"),
				),
			)
		}
	})
}

// printRelease prints the progress of a release, and a line for each of its targets.
func printRelease(t *tabwriter.Writer, s *release.State) {
	released, out := s.Count()
	besteffort.Output(
		fmt.Fprintf(
			t,
			"%s: %s, wave %d of %d, %d of %d servers in %s, %d out\n",
			s.Plan.Name,
			s.Phase,
			s.Wave+1,
			len(s.Plan.Waves),
			released,
			len(s.Targets),
			s.Plan.To,
			out,
		),
	)
	if s.HaltReason != "" {
		besteffort.Output(fmt.Fprintf(t, "why: %s\n", s.HaltReason))
	}
	besteffort.Output(fmt.Fprintln(t, "\nSERVER\tZONE\tVERSION\tSTEP\tTROUBLE"))
	for _, target := range s.Targets {
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%s\t%s\t%s\t%s\n",
				target.Name,
				cmp.Or(target.Zone, "-"),
				target.Version,
				target.Step,
				cmp.Or(target.Reason, "-"),
			),
		)
	}
}

// releaseHistoryCommand returns the command that prints the events of a release.
func (f *registryFlags) releaseHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history NAME",
		Short:   "what has happened, with times since its beginning",
		Example: "  wrenspreadctl release history app-42",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			s, err := release.Read(ctx, k, args[0])
			if err != nil {
				return err
			}
			return f.print(c.OutOrStdout(), s.History, func(t *tabwriter.Writer) {
				for _, n := range s.History {
					besteffort.Output(fmt.Fprintf(t, "%v\t%s\n", n.At.Round(time.Millisecond), n.Text))
				}
			})
		}),
	}
}

// orderReleaseCommand returns the command that submits an order, such as release.OrderPause, to the release's
// controller.
func (f *registryFlags) orderReleaseCommand(order, short string) *cobra.Command {
	operator := cmp.Or(os.Getenv("USER"), "an operator")
	c := &cobra.Command{
		Use:     order + " NAME",
		Short:   short,
		Example: "  wrenspreadctl release " + order + " app-42",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			if _, err := release.Read(ctx, k, args[0]); err != nil {
				return err
			}
			if err := release.SubmitOrder(
				ctx,
				k,
				args[0],
				order,
				operator,
				fmt.Sprintf("%s-%d", operator, time.Now().UnixNano()),
			); err != nil {
				return err
			}
			besteffort.Output(
				fmt.Fprintln(
					c.OutOrStdout(),
					"left for the conductor; \"wrenspreadctl release history\" tells what it did",
				),
			)
			return nil
		}),
	}
	c.Flags().StringVar(&operator, "who", operator, "the name that goes on record")
	return c
}

// controllerConfig is the configuration of a release controller.
type controllerConfig struct {
	Process  string          `koanf:"process"`
	Interval time.Duration   `koanf:"every"` // between two steps of the controller
	Grace    time.Duration   `koanf:"grace"` // time for requests in flight at a server in maintenance
	Proxies  []release.Proxy `koanf:"node"`
}

// runReleaseCommand returns the command that runs the controller of one release.
func (f *registryFlags) runReleaseCommand() *cobra.Command {
	var path string
	var ttl time.Duration
	c := &cobra.Command{
		Use:   "conduct NAME",
		Short: "carry a release out, as the holder of its lease, until it is over",
		Long: `Run it on several machines: one of them conducts, the others wait to take over. Its file
names the nodes at which servers are put into maintenance, and whose figures the gates read
(backend_stats must be on there):

  process = "ops-1"
  grace = "5s"
  [[node]]
  name = "n0"
  control = "127.0.0.1:9000"`,
		Example: "  wrenspreadctl release conduct app-42 --config conductor.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			host, _ := os.Hostname() // empty if the machine has no name, for which lease.Open returns an error
			settings := controllerConfig{Process: host, Interval: time.Second, Grace: 5 * time.Second}
			if path != "" {
				if err := config.File(&settings, path); err != nil {
					return err
				}
			}
			return f.runRelease(c, args[0], settings, ttl)
		},
	}
	c.Flags().StringVar(&path, "config", "", "a TOML file")
	c.Flags().
		DurationVar(&ttl, "ttl", lease.DefaultTTL, "after so long without a renewal, another takes over")
	return c
}

// runRelease runs the controller of a release while this process holds the release's lease, until the release
// has ended or the command's context ends.
func (f *registryFlags) runRelease(
	c *cobra.Command,
	name string,
	config controllerConfig,
	ttl time.Duration,
) error {
	log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil)).With("release", name)
	k, err := client.New(client.Config{Addresses: strings.Split(f.addresses, ",")})
	if err != nil {
		return err
	}
	defer k.Close()
	session, err := lease.Open(
		lease.Config{
			Client:  k,
			Process: config.Process,
			TTL:     ttl,
			Info:    registry.ProcessInfo{Note: "conducts " + name},
			Log:     log,
		},
	)
	if err != nil {
		return err
	}
	httpClient := &http.Client{Timeout: callTimeout}
	err = session.Run(c.Context(), release.LeaseName(name), func(ctx context.Context, token lease.Token) error {
		s, err := release.Read(ctx, k, name)
		if err != nil {
			return err
		}
		var executor release.Executor = &release.ServerExecutor{
			Registry: k,
			Token:    token,
			Proxies:  config.Proxies,
			HTTP:     httpClient,
			Grace:    config.Grace,
		}
		if s.Plan.IsForProxies() {
			executor = &release.ProxyExecutor{Registry: k, Token: token, HTTP: httpClient}
		}
		controller := &release.Controller{
			Store:    release.Records{Registry: k, Token: token, Name: name},
			Executor: executor,
			Interval: config.Interval,
			Log:      log,
		}
		return controller.Run(ctx)
	})
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Join(err, session.Close(ttl))
}

// callTimeout is the timeout of one call to a proxy or an agent.
const callTimeout = 3 * time.Second
