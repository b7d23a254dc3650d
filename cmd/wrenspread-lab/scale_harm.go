package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/scale"
	"wrenspread/internal/lab/spec"
)

// scaleHarmCommand plays a fault in the small lab, where real requests are.
func scaleHarmCommand(f *scaleFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "harm FILE",
		Short:   "requests harmed by an experiment's faults, against the same seeds without them",
		Example: "  wrenspread-lab scale harm lab/zone-lost.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := spec.LoadFile(args[0])
			if err != nil {
				return unplayed{err}
			}
			dir, done, err := f.begin(c.Context(), "harm lab/"+filepath.Base(args[0]))
			if err != nil {
				return err
			}
			defer done()
			p, found, err := newPlayer(
				c.Context(),
				c.OutOrStdout(),
				c.ErrOrStderr(),
				f.bin,
				dir,
				[]*spec.Experiment{e},
			)
			if err != nil {
				return err
			}
			defer found()
			return told(
				scale.Harm(
					c.Context(),
					f.run,
					e,
					func(ctx context.Context, e *spec.Experiment, seed uint64) (report.Run, error) {
						run, err := os.MkdirTemp(dir, e.Name)
						if err != nil {
							return report.Run{}, err
						}
						return fleet.Play(
							ctx,
							fleet.Options{
								Experiment: e,
								Seed:       seed,
								Dir:        run,
								Node:       []string{p.node},
								List:       []string{p.list},
								Keeper:     []string{p.keeper},
							},
						)
					},
					saying(c),
				),
			)
		},
	}
}
