package config

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs a program's command. SIGTERM and SIGINT cancel the command's context. If the command returns an
// error, Main prints it and exits with status 1.
func Main(c *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c.SilenceUsage, c.SilenceErrors = true, true
	if err := c.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name(), err)
		os.Exit(1)
	}
}
