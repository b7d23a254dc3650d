// Command wrenspread-lab is a fault-injection test lab. It starts real processes of the project, emulates
// backends, clients and the network around them, injects faults, checks the recorded history and writes a
// report with a verdict.
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

// unplayedError marks the error of a run that could not be played, or whose result does not count because the
// machine was too late.
type unplayedError struct{ error }

// Unwrap returns the marked error.
func (e unplayedError) Unwrap() error { return e.error }

// errRuleBroken is the error of a run that broke a rule or a bound. The run has already printed what was
// broken, so main prints nothing more.
var errRuleBroken = errors.New("a bound or a rule was broken")

// main runs the command and exits with 0 on success, 1 if a run broke a bound or a rule, and 2 if a run could
// not be played or does not count.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	switch {
	case err == nil:
	case errors.Is(err, errRuleBroken):
		os.Exit(int(report.Fail))
	default:
		fmt.Fprintln(os.Stderr, "wrenspread-lab:", err)
		os.Exit(int(report.Void))
	}
}

// rootCommand returns the wrenspread-lab command with all its subcommands.
func rootCommand() *cobra.Command {
	command := &cobra.Command{
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
	command.AddCommand(
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
	return command
}
