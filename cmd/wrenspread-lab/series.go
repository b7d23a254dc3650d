package main

import (
	"errors"
	"fmt"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/report"
)

// series is runs of one kind, a seed each.
type series struct {
	kind           string
	seed           uint64
	runs, together int
}

// outcome is what a run of a series shows.
type outcome struct {
	line   string
	broken bool
	unsure bool // its history could not be decided in its time
}

// tally counts runs by how they ended.
type tally struct{ passed, broken, unsure int }

// play plays all runs and prints a line for each, and one for all: about gives what
// that one says after the kind.
func (s series) play(
	c *cobra.Command,
	one func(seed uint64) (outcome, error),
	about func(t tally, unplayed int) string,
) error {
	var mu sync.Mutex // of the tally and the output
	var t tally
	var g errgroup.Group
	g.SetLimit(s.together)
	for i := range s.runs {
		g.Go(func() error {
			o, err := one(s.seed + uint64(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return unplayed{fmt.Errorf("seed %d: %w", s.seed+uint64(i), err)}
			}
			besteffort.Output(fmt.Fprintln(c.OutOrStdout(), o.line))
			switch {
			case o.broken:
				t.broken++
			case o.unsure:
				t.unsure++
			default:
				t.passed++
			}
			return nil
		})
	}
	err := g.Wait()
	worst := report.Pass
	if t.broken > 0 {
		worst = report.Fail
	} else if t.passed < s.runs {
		worst = report.Unplayed
	}
	besteffort.Output(
		fmt.Fprintf(
			c.OutOrStdout(),
			"%s %s: %s\n",
			words[worst],
			s.kind,
			about(t, s.runs-t.passed-t.broken-t.unsure),
		),
	)
	switch {
	case t.broken > 0:
		return errRuleBroken
	case err != nil:
		return err
	case t.unsure > 0:
		return unplayed{errors.New("some histories could not be decided in their time")}
	}
	return nil
}
