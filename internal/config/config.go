// Package config assembles a program's configuration from its defaults, a TOML file and command-line flags.
// The file overrides the defaults, and the flags override both.
package config

import (
	"fmt"
	"reflect"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"
)

// FileFlag is the name of the flag that gives the path of the TOML file.
const FileFlag = "config"

// Load overrides the defaults in c by the file that the flag --config names, if it is set, and by the other
// flags that were set on the command line. An unknown key is an error.
func Load[T any](c *T, flags *pflag.FlagSet) error {
	k := koanf.New(".")
	path := flags.Lookup(FileFlag).Value.String()
	if path != "" {
		if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
			return fmt.Errorf("--%s %s: %w", FileFlag, path, err)
		}
	}
	given := pflag.NewFlagSet("given", pflag.ContinueOnError)
	flags.Visit(func(f *pflag.Flag) {
		if f.Name != FileFlag {
			given.AddFlag(f)
		}
	})
	if err := k.Load(posflag.Provider(given, ".", k), nil); err != nil {
		return err
	}
	return unmarshal(k, c, path)
}

// File overrides the defaults in c by a TOML file. An unknown key is an error.
func File[T any](c *T, path string) error {
	k := koanf.New(".")
	if err := k.Load(file.Provider(path), toml.Parser()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return unmarshal(k, c, path)
}

// unmarshal decodes the keys of k into c. path names the file in errors.
func unmarshal[T any](k *koanf.Koanf, c *T, path string) error {
	decoder := &mapstructure.DecoderConfig{
		Result:      c,
		TagName:     "koanf",
		ErrorUnused: true,
		ZeroFields:  true, // a list in a file replaces the default's instead of being merged with it
		DecodeHook:  mapstructure.DecodeHookFuncType(decodeDuration),
	}
	if err := k.UnmarshalWithConf("", c, koanf.UnmarshalConf{DecoderConfig: decoder}); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// decodeDuration decodes a duration from a text with its unit. It rejects a bare number, which would
// otherwise be decoded as nanoseconds.
func decodeDuration(from, to reflect.Type, data any) (any, error) {
	if to != reflect.TypeFor[time.Duration]() || from == to {
		return data, nil
	}
	text, ok := data.(string)
	if !ok {
		return nil, fmt.Errorf("invalid duration %v: want a number with its unit, as in \"30s\"", data)
	}
	return time.ParseDuration(text)
}
