package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// maxBackupBytes is the maximum size of a backup file that is read. It is twice the size that the registry
// accepts.
const maxBackupBytes = 64 << 20

// backupCommand returns the command that writes a snapshot of the registry to a file with a checksum.
func (f *registryFlags) backupCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "backup FILE",
		Short:   "keep a copy of the list as it is now",
		Example: "  wrenspreadctl list backup list-2026-12-01.sealed",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			backup, err := k.Backup(ctx)
			if err != nil {
				return err
			}
			raw, err := checksumfile.Decode(backup)
			if err != nil {
				return fmt.Errorf("decode the registry's backup: %w", err)
			}
			s, err := registry.DecodeSnapshot(raw)
			if err != nil {
				return err
			}
			if err := checksumfile.Write(args[0], raw); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return f.print(c.OutOrStdout(), summarize(s), func(t *tabwriter.Writer) {
				besteffort.Output(
					fmt.Fprintf(t, "%s has %d entries, version %d, epoch %s\n", args[0], s.Len(), s.Version(), s.Epoch()),
				)
			})
		}),
	}
}

// backupInfo describes a backup in the JSON output.
type backupInfo struct {
	Entries int    `json:"entries"`
	Version uint64 `json:"version"`
	Epoch   string `json:"epoch"`
}

// summarize returns the description of a snapshot.
func summarize(s *registry.State) backupInfo { return backupInfo{s.Len(), s.Version(), s.Epoch()} }

// restoreCommand returns the command that replaces the registry's list by a backup. Without --over the
// command fails with an error that says what would be replaced.
func (f *registryFlags) restoreCommand() *cobra.Command {
	var epoch string
	c := &cobra.Command{
		Use:   "restore FILE --over EPOCH",
		Short: "put a copy in place of the list; what came after it is lost",
		Long: `The list gets a new epoch and a version past all that were given out, so that every watcher
takes the whole list. --over names the epoch of the list that is to go ("wrenspreadctl list
get" shows it), so that no other cluster is hit.`,
		Example: "  wrenspreadctl list restore list-2026-12-01.sealed --over 90f1c2ab73d0e544",
		Args:    cobra.ExactArgs(1),
		RunE: f.withClient(func(ctx context.Context, c *cobra.Command, k *client.Client, args []string) error {
			raw, err := checksumfile.Read(args[0], maxBackupBytes)
			if err != nil {
				return err
			}
			s, err := registry.DecodeSnapshot(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if epoch == "" {
				current, err := k.CurrentList(ctx)
				if err != nil {
					return err
				}
				return fmt.Errorf(
					"this replaces %d entries at version %d by %d of version %d; if that is meant, add --over %s",
					len(current.Endpoints),
					current.Index,
					s.Len(),
					s.Version(),
					current.Epoch,
				)
			}
			r, err := k.Restore(ctx, checksumfile.Encode(raw), epoch)
			if err != nil {
				return err
			}
			return f.print(c.OutOrStdout(), r, func(t *tabwriter.Writer) {
				besteffort.Output(fmt.Fprintf(t, "done: %d entries, the list has version %d\n", s.Len(), r.Version))
			})
		}),
	}
	c.Flags().StringVar(&epoch, "over", "", "the epoch of the list that is to go")
	return c
}
