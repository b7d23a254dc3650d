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

// scaleHarmCommand plays an experiment on real processes, with its faults and without, to count the requests
// that the faults harm.
func scaleHarmCommand(f *scaleFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "harm FILE",
		Short:   "requests harmed by an experiment's faults, against the same seeds without them",
		Example: "  wrenspread-lab scale harm lab/zone-lost.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := spec.LoadFile(args[0])
			if err != nil {
				return unplayedError{err}
			}
			dir, remove, err := f.prepare(c.Context(), "harm lab/"+filepath.Base(args[0]))
			if err != nil {
				return err
			}
			defer remove()
			p, removePrograms, err := newPlayer(
				c.Context(),
				c.OutOrStdout(),
				c.ErrOrStderr(),
				f.binDir,
				dir,
				[]*spec.Experiment{e},
			)
			if err != nil {
				return err
			}
			defer removePrograms()
			return asUnplayed(
				scale.Harm(
					c.Context(),
					f.run,
					e,
					func(ctx context.Context, e *spec.Experiment, seed uint64) (report.Run, error) {
						runDir, err := os.MkdirTemp(dir, e.Name)
						if err != nil {
							return report.Run{}, err
						}
						return fleet.Play(
							ctx,
							fleet.Options{
								Experiment:        e,
								Seed:              seed,
								Dir:               runDir,
								NodeCommand:       []string{p.proxyPath},
								ReplicaCommand:    []string{p.registryPath},
								ControllerCommand: []string{p.controllerPath},
							},
						)
					},
					pointPrinter(c),
				),
			)
		},
	}
}
