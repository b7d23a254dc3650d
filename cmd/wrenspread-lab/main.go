// Command wrenspread-lab plays experiments: real processes of the program, emulated
// backends and clients, and faults between them. It gives a verdict and a report.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/report"
)

// unplayed is the error of a run that could not be played, or does not count.
type unplayed struct{ error }

func (u unplayed) Unwrap() error { return u.error }

// errRuleBroken is the error of a run in which a rule or bound was broken. It has been told already.
var errRuleBroken = errors.New("a bound or a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errRuleBroken):
		os.Exit(int(report.Fail))
	default:
		fmt.Fprintln(os.Stderr, "wrenspread-lab:", err)
		os.Exit(int(report.Unplayed))
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "wrenspread-lab",
		Short: "play experiments on real processes of wrenspread-proxy, with faults between them",
		Long: `wrenspread-lab starts real nodes on this machine's loopback, emulates the app boxes, clients, discovery and
network around them, breaks things as an experiment's file says, and judges the whole history.

Begin with "wrenspread-lab demo". How to write an experiment and read a report is in docs/lab.md.
Exit status: 0 all kept, 1 a bound or rule was broken, 2 it could not be played or the machine was too late to count.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		demoCommand(),
		runCommand(),
		listCommand(),
		checkCommand(),
		compareCommand(),
		allCommand(),
		scheduleCommand(),
		quorumCommand(),
		listCostCommand(),
		dutiesCommand(),
		dutyCostCommand(),
		dutyWorkerCommand(),
		boxesCommand(),
		costCommand(),
		simCommand(),
		scaleCommand(),
	)
	return c
}
