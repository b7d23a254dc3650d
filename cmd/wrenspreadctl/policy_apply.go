package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry/client"
)

// apply puts a compiled policy on record; the proxies that follow it take it up from there.
func (f *registryFlags) applyPolicy() *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "compile a policy and apply it on all proxies",
		Long: `apply compiles a policy, as check does, and puts its table on record as the one that holds.
Nodes with govern.policy take it up whole, each between two requests; wrenspreadctl fleet
shows at which version each is. Two that apply at once: the second is turned down and has to
look again.`,
		Example: "  wrenspreadctl policy apply site.hcl --settings node.json",
		Args:    cobra.ExactArgs(1),
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			t, err := compilePolicy(c.ErrOrStderr(), args[0], settings)
			if err != nil {
				return err
			}
			value, err := record.EncodeTable(t)
			if err != nil {
				return err
			}
			before, err := currentPolicy(ctx, k)
			if err != nil {
				return err
			}
			r, err := k.Put(ctx, record.CurrentKey, value, &before)
			if err != nil {
				return fmt.Errorf("the policy of version %d stays: %w", before, err)
			}
			_, err = fmt.Fprintf(
				c.OutOrStdout(),
				"version %d holds, digest %s, %d limits; version %d before\n",
				r.EntryVersion,
				t.Digest,
				len(t.Limits),
				before,
			)
			return err
		}),
	}
	c.Flags().StringVar(&settings, "settings", "", "file with the names that the fleet knows")
	f.add(c)
	return c
}

// currentPolicy is the version of the table that holds, 0 for none.
func currentPolicy(ctx context.Context, k *client.Client) (uint64, error) {
	r, err := k.Record(ctx, record.CurrentKey)
	var no *client.Error
	if errors.As(err, &no) && no.Status == 404 {
		return 0, nil
	}
	return r.Version, err
}

func (f *registryFlags) showPolicy() *cobra.Command {
	var limits bool
	c := &cobra.Command{
		Use:     "show",
		Short:   "the table that holds",
		Example: "  wrenspreadctl policy show --limits",
		Args:    cobra.NoArgs,
		RunE: f.with(func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
			r, err := k.Record(ctx, record.CurrentKey)
			if err != nil {
				return err
			}
			t, err := record.DecodeTable(r)
			if err != nil {
				return err
			}
			if !f.json {
				besteffort.Output(fmt.Fprintf(c.OutOrStdout(), "version %d\n", r.Version))
			}
			return printTable(c.OutOrStdout(), t, limits, f.json)
		}),
	}
	c.Flags().BoolVar(&limits, "limits", false, "print each limit")
	f.add(c)
	return c
}
