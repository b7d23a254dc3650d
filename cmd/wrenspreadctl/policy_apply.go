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

// applyPolicyCommand returns the command that compiles a policy and writes its table to the registry, from
// which the proxies read it.
func (f *registryFlags) applyPolicyCommand() *cobra.Command {
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
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			t, err := compilePolicy(c.ErrOrStderr(), args[0], settings)
			if err != nil {
				return err
			}
			value, err := record.EncodeTable(t)
			if err != nil {
				return err
			}
			previous, err := currentPolicyVersion(ctx, k)
			if err != nil {
				return err
			}
			r, err := k.Put(ctx, record.CurrentKey, value, &previous)
			if err != nil {
				return fmt.Errorf("policy version %d stays in force: %w", previous, err)
			}
			_, err = fmt.Fprintf(
				c.OutOrStdout(),
				"version %d holds, digest %s, %d limits; version %d before\n",
				r.EntryVersion,
				t.Digest,
				len(t.Limits),
				previous,
			)
			return err
		}),
	}
	c.Flags().StringVar(&settings, "settings", "", "file with the names that the fleet knows")
	f.addTo(c)
	return c
}

// currentPolicyVersion returns the version of the policy table in the registry, or 0 if there is none.
func currentPolicyVersion(ctx context.Context, k *client.Client) (uint64, error) {
	r, err := k.Record(ctx, record.CurrentKey)
	var rejection *client.Error
	if errors.As(err, &rejection) && rejection.Status == 404 {
		return 0, nil
	}
	return r.Version, err
}

// showPolicyCommand returns the command that prints the policy table in the registry.
func (f *registryFlags) showPolicyCommand() *cobra.Command {
	var limits bool
	c := &cobra.Command{
		Use:     "show",
		Short:   "the table that holds",
		Example: "  wrenspreadctl policy show --limits",
		Args:    cobra.NoArgs,
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, _ []string) error {
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
	f.addTo(c)
	return c
}
