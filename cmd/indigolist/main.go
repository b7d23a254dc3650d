// Command indigolist is one replica of the list service.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"indigotack/internal/list/server"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "indigolist:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var path string
	d := server.Default()
	c := &cobra.Command{
		Use:   "indigolist",
		Short: "one replica of the list service",
		Long: `indigolist keeps the list of servers and tells whoever watches it of changes. Alone it needs a folder and
nothing else; 3 or 5 replicas need a file each, as docs/list.md shows. It serves until SIGTERM.`,
		Example: `  indigolist --folder /var/lib/indigolist
  curl -s 'http://127.0.0.1:8500/registry/instances'
  indigolist --config r1.toml`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().NFlag() == 0 {
				return c.Help()
			}
			config, err := load(path, c.Flags())
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("replica", config.Name)
			return server.Run(c.Context(), config, log)
		},
	}
	c.Flags().StringVar(&path, "config", "", "a TOML file; flags win over it")
	c.Flags().String("folder", d.Folder, "where the log and the snapshots are; it is made if it is not there")
	c.Flags().String("listen", d.Listen, "the address for HTTP")
	return c
}

// load puts together the defaults, the file and the flags that were given. An unknown key is an error.
func load(path string, flags *pflag.FlagSet) (server.Config, error) {
	k := koanf.New(".")
	if path != "" {
		if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
			if errors.Is(err, fs.ErrNotExist) {
				return server.Config{}, fmt.Errorf("--config: %w", err)
			}
			return server.Config{}, fmt.Errorf("%s: %w", path, err)
		}
	}
	given := pflag.NewFlagSet("given", pflag.ContinueOnError)
	flags.Visit(func(f *pflag.Flag) {
		if f.Name != "config" {
			given.AddFlag(f)
		}
	})
	if err := k.Load(posflag.Provider(given, ".", k), nil); err != nil {
		return server.Config{}, err
	}
	c := server.Default()
	err := k.UnmarshalWithConf("", &c, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{Result: &c, TagName: "koanf", ErrorUnused: true,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(), WeaklyTypedInput: false}})
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
